package io.radishwinch.server.fleet;

import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.EnginePoolSpec;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.LoadReport;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.server.proxy.ContactLookup;
import io.radishwinch.server.proxy.EndpointContact;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Tracks the endpoints and their holdings from the platform's list and from status reports, and posts changes to the
 * core. Used on the control thread; contacts may be read by any thread.
 *
 * <p>Each lifetime of an endpoint has its own identifier, because no state of an endpoint survives a restart.
 */
final class EndpointRegistry implements ContactLookup {

    private static final System.Logger LOG = System.getLogger(EndpointRegistry.class.getName());

    /** Time for which a removed endpoint is retained to finish its requests, in ms; the longest deadline. */
    private static final long REMOVED_RETENTION_MS = 20_000;

    /**
     * Time after a restore of the store in which it may list endpoints that have left, in ms; by then it removes those
     * that no longer write their entries.
     */
    private static final long RELISTED_HOLD_MS = 6_000;

    /** Maximum number of lifetimes that are remembered after they have left; the oldest are forgotten above it. */
    private static final int MAX_DEPARTED = 4_096;

    /**
     * First backoff before an unreachable endpoint is checked again, in ms; doubles with each check once the endpoint
     * has been silent for longer than a sound one.
     */
    private static final long INITIAL_BACKOFF_MS = 500;

    private static final long MAX_BACKOFF_MS = 4_000;
    private static final int MAX_DOUBLINGS = 10;

    /** Maximum number of lifetimes whose announced leaving is remembered; the oldest are forgotten above it. */
    private static final int MAX_ANNOUNCED_LEAVING = 4_096;

    /** Identifier of a lifetime: instance and incarnation, see {@link #newId}. */
    private static final Pattern ENDPOINT_ID = Pattern.compile("(.+)@(\\d{1,18})(?:~\\d+)?");

    /** KV cache memory reported for an endpoint without a KV cache, in bytes. */
    private static final long UNLIMITED_KV_BYTES = Long.MAX_VALUE / 4;

    private final Consumer<Event> events;
    private final EndpointStateListener listener;
    private final FleetLog log;
    private final long relistGraceMs;
    private final Map<String, EndpointLifetime> byInstance = new TreeMap<>();
    private final Map<String, EndpointLifetime> byId = new TreeMap<>();
    private final Map<String, EndpointContact> contacts = new ConcurrentHashMap<>();
    private final Map<String, Long> incarnations = new ConcurrentHashMap<>();
    private final Map<String, String> idsByAddress = new ConcurrentHashMap<>();
    private final Set<String> unreadableInstances = ConcurrentHashMap.newKeySet();

    /** Lifetimes that announced themselves that they leave, by instance; they outlive the endpoint and its entry. */
    private final Map<String, EndpointEntry> announcedLeaving = new RecentEntries(MAX_ANNOUNCED_LEAVING);

    /** Lifetimes that have left and are no longer retained, by instance. */
    private final Map<String, EndpointEntry> departed = new RecentEntries(MAX_DEPARTED);

    /** Entries of lifetimes that have left and that the restored store lists again, by instance. */
    private final Map<String, EndpointEntry> relisted = new TreeMap<>();

    private final Set<String> announcedLeavingIds = ConcurrentHashMap.newKeySet();
    private FleetConfig config = FleetConfig.empty();
    private long relistGraceUntilMs;
    private long relistedHoldUntilMs;
    private boolean isPlatformUnreachable;

    /** Receives endpoint states that this router detected and should share with other routers. */
    interface EndpointStateListener {

        /** Called when an endpoint no longer receives new work. */
        void endpointLeaving(String endpointId);

        /** Called when an endpoint does not respond to this router. */
        void endpointUnreachable(String endpointId);
    }

    /** Entries by instance, of which the oldest are forgotten above a maximum number. */
    private static final class RecentEntries extends LinkedHashMap<String, EndpointEntry> {
        private static final long serialVersionUID = 1L;

        private final int maxEntries;

        RecentEntries(int maxEntries) {
            this.maxEntries = maxEntries;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, EndpointEntry> eldest) {
            return size() > maxEntries;
        }
    }

    /** State of an endpoint from its start to its removal. */
    private static final class EndpointLifetime {
        private final String endpointId;
        private EndpointEntry entry;
        private boolean isJoined;
        private boolean isLeaving;
        private boolean isMissing;
        private long acceptedOrders;
        private int failures;
        private int doublings;
        private long silentSinceMs;
        private long nextCheckAtMs = Long.MAX_VALUE;
        private long evictAtMs = Long.MAX_VALUE;

        EndpointLifetime(String endpointId, EndpointEntry entry) {
            this.endpointId = endpointId;
            this.entry = entry;
        }

        void backOff(long nowMs) {
            if (failures == 0) {
                silentSinceMs = nowMs;
                doublings = 0;
            } else if (nowMs - silentSinceMs >= Event.EndpointRemoved.MAX_SILENCE_MS && doublings < MAX_DOUBLINGS) {
                doublings++;
            }
            nextCheckAtMs = nowMs + Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << doublings);
            failures++;
        }
    }

    /**
     * Creates a registry without endpoints.
     *
     * @param events receives the events for the core
     * @param listener receives the states to share with other routers
     * @param relistGraceMs time within which endpoints are listed again after a platform outage, in ms
     */
    EndpointRegistry(Consumer<Event> events, EndpointStateListener listener, FleetLog log, long relistGraceMs) {
        this.events = events;
        this.listener = listener;
        this.log = log;
        this.relistGraceMs = relistGraceMs;
    }

    @Override
    public Optional<EndpointContact> contact(String endpointId) {
        return Optional.ofNullable(contacts.get(endpointId));
    }

    @Override
    public Optional<String> endpointAt(String address) {
        return Optional.ofNullable(idsByAddress.get(address));
    }

    @Override
    public boolean isFollowedByLaterLifetime(String endpointId) {
        Matcher id = ENDPOINT_ID.matcher(endpointId);
        return !contacts.containsKey(endpointId)
                && id.matches()
                && incarnations.getOrDefault(id.group(1), Long.MIN_VALUE) > Long.parseLong(id.group(2));
    }

    /** Returns the entry of an endpoint, or empty if it is unknown or evicted. */
    Optional<EndpointEntry> entry(String endpointId) {
        return Optional.ofNullable(byId.get(endpointId)).map(endpoint -> endpoint.entry);
    }

    /** Returns the number of endpoints that may receive new work. */
    int activeEndpointCount() {
        return (int) byId.values().stream()
                .filter(endpoint -> endpoint.isJoined && !endpoint.isLeaving)
                .count();
    }

    /** Applies a configuration. Endpoints of services that it adds join. */
    void configure(FleetConfig newConfig, long nowMs) {
        boolean affectsEndpoints = !newConfig.enginePools().equals(config.enginePools())
                || !newConfig.services().keySet().equals(config.services().keySet())
                || !newConfig.models().equals(config.models());
        config = newConfig;
        if (affectsEndpoints) {
            for (EndpointLifetime endpoint : List.copyOf(byId.values())) {
                if (endpoint.isJoined) {
                    postLoadReport(endpoint, nowMs);
                } else if (endpoint.failures == 0) {
                    join(endpoint, nowMs);
                }
            }
        }
    }

    /** Applies a listed or changed entry of the platform's list. */
    void applyEntry(String instanceId, EndpointEntry entry, long nowMs) {
        if (!namesLayersBeyondModel(entry)) {
            unreadableInstances.remove(instanceId);
        }
        EndpointLifetime known = byInstance.get(instanceId);
        EndpointEntry announced = announcedLeaving.get(instanceId);
        if (announced != null && announced.isSameLifetime(entry)) {
            // The list may lag behind what the endpoint itself has announced.
            if (known != null) {
                known.isMissing = false;
            }
            return;
        }
        relisted.remove(instanceId);
        if (nowMs < relistedHoldUntilMs && !entry.isLeaving() && hasLeft(instanceId, entry)) {
            // The copy that the store was restored from is older than the end of this lifetime.
            relisted.put(instanceId, entry);
            return;
        }
        boolean isContinued =
                known != null && known.entry.isSameLifetime(entry) && !(known.isLeaving && !entry.isLeaving());
        if (!isContinued) {
            if (known != null) {
                endLifetime(known, entry, nowMs);
            }
            startLifetime(instanceId, entry, nowMs);
            return;
        }
        boolean hasOtherLayers = !known.entry.layers().equals(entry.layers());
        known.isMissing = false;
        known.entry = entry;
        if (entry.isLeaving()) {
            startLeaving(known, "draining", nowMs);
        } else if (known.isJoined && hasOtherLayers) {
            postLoadReport(known, nowMs);
        } else if (!known.isJoined && known.failures == 0) {
            join(known, nowMs);
        }
    }

    /**
     * Applies an encoded entry, which may be unreadable. A decoder that fails makes only this entry unreadable, so that
     * the entries after it are applied.
     */
    void applyEncoded(String instanceId, Supplier<Either<String, EndpointEntry>> decoder, long nowMs) {
        try {
            decoder.get()
                    .peek(entry -> applyEntry(instanceId, entry, nowMs))
                    .peekLeft(problem -> markUnreadable(instanceId, problem));
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "entry of endpoint " + instanceId + " cannot be applied", e);
            markUnreadable(instanceId, e.getClass().getSimpleName());
        }
    }

    /** Returns the number of entries that cannot be read; safe for use by any thread. */
    int unreadableCount() {
        return unreadableInstances.size();
    }

    /** Records an entry that cannot be decoded; the previous entry stays in effect. */
    void markUnreadable(String instanceId, String problem) {
        if (unreadableInstances.add(instanceId)) {
            log.stateChanged("endpoint-unreadable", instanceId, problem);
        }
    }

    /** Applies the removal of an entry. An entry that expired during a platform outage may be listed again. */
    void applyRemoval(String instanceId, long nowMs) {
        unreadableInstances.remove(instanceId);
        relisted.remove(instanceId);
        EndpointLifetime known = byInstance.get(instanceId);
        if (known == null) {
            return;
        }
        if (isPlatformUnreachable || nowMs < relistGraceUntilMs) {
            known.isMissing = true;
        } else {
            startLeaving(known, "removed from the list", nowMs);
        }
    }

    /** Marks an endpoint as leaving because another router reported it. */
    void markLeavingByPeer(String endpointId, long nowMs) {
        EndpointLifetime endpoint = byId.get(endpointId);
        if (endpoint != null && !endpoint.isLeaving) {
            startLeaving(endpoint, "reported as leaving by another router", nowMs);
        }
    }

    /** Returns whether an endpoint has announced that it leaves; safe for use by any thread. */
    boolean hasAnnouncedLeaving(String endpointId) {
        return announcedLeavingIds.contains(endpointId);
    }

    /**
     * Marks an endpoint as leaving because it has announced so itself. Unlike other sources, no list revokes this: the
     * endpoint receives new work again only after a restart.
     */
    void markLeavingByItself(String endpointId, long nowMs) {
        EndpointLifetime endpoint = byId.get(endpointId);
        if (endpoint != null && announcedLeavingIds.add(endpointId)) {
            announcedLeaving.put(endpoint.entry.instanceId(), endpoint.entry);
            startLeaving(endpoint, "announced by itself in a response", nowMs);
        }
    }

    /** Records whether the platform is reachable. */
    void setPlatformReachable(boolean isReachable, long nowMs) {
        if (isPlatformUnreachable && isReachable) {
            relistGraceUntilMs = nowMs + relistGraceMs;
        }
        isPlatformUnreachable = !isReachable;
    }

    /**
     * Prepares for the list of a store that was restored from an older copy. Endpoints that it lacks may be listed
     * again, and those that have left stay out of use until they cannot be listed by mistake.
     */
    void onStoreRestored(long nowMs) {
        extendRelistGrace(nowMs + relistGraceMs);
        relistedHoldUntilMs = nowMs + RELISTED_HOLD_MS;
    }

    /** Returns whether an entry is that of a lifetime that has left or was followed by another one. */
    private boolean hasLeft(String instanceId, EndpointEntry entry) {
        EndpointLifetime known = byInstance.get(instanceId);
        if (known != null && !known.isLeaving) {
            return entry.incarnation() < known.entry.incarnation();
        }
        EndpointEntry left = known != null ? known.entry : departed.get(instanceId);
        return left != null && (left.isSameLifetime(entry) || entry.incarnation() < left.incarnation());
    }

    /** Returns the remaining time in which removed endpoints may be listed again, in ms. */
    long relistGraceMs(long nowMs) {
        return Math.max(0, relistGraceUntilMs - nowMs);
    }

    /** Extends the time in which removed endpoints may be listed again, as another router that saw an outage asks. */
    void extendRelistGrace(long untilMs) {
        relistGraceUntilMs = Math.max(relistGraceUntilMs, untilMs);
    }

    /**
     * Takes an unresponsive endpoint out of use until a health check succeeds.
     *
     * @return whether it was in use
     */
    boolean markUnreachable(String endpointId, String cause, long nowMs) {
        boolean wasInUse = takeOutOfUse(endpointId, cause, nowMs);
        if (wasInUse) {
            // The endpoint may be unreachable rather than dead, so its requests are not suspected of crashing it.
            events.accept(Event.EndpointRemoved.suspected(endpointId));
        }
        return wasInUse;
    }

    /** Takes an endpoint at whose address nothing listens out of use until a health check succeeds. */
    void markEnded(String endpointId, String cause, long nowMs) {
        takeOutOfUse(endpointId, cause, nowMs);
        if (byId.containsKey(endpointId)) {
            // An endpoint that was only suspected so far has ended as well.
            events.accept(new Event.EndpointRemoved(endpointId, false));
        }
    }

    private boolean takeOutOfUse(String endpointId, String cause, long nowMs) {
        EndpointLifetime endpoint = byId.get(endpointId);
        if (endpoint == null || !endpoint.isJoined) {
            return false;
        }
        endpoint.isJoined = false;
        endpoint.backOff(nowMs);
        log.stateChanged("endpoint-unreachable", endpointId, cause);
        listener.endpointUnreachable(endpointId);
        return true;
    }

    private void recordResponse(EndpointLifetime endpoint, long nowMs) {
        if (endpoint.isLeaving) {
            // It is not used again, but its attempts may go on.
            endpoint.failures = 0;
            events.accept(new Event.EndpointResponded(endpoint.endpointId));
            return;
        }
        log.stateChanged("endpoint-reachable", endpoint.endpointId, "responds again");
        join(endpoint, nowMs);
    }

    /** Marks an endpoint as reachable that responded without a status report. */
    void markReachable(String endpointId, long nowMs) {
        EndpointLifetime endpoint = byId.get(endpointId);
        if (endpoint != null && !endpoint.isJoined) {
            recordResponse(endpoint, nowMs);
        }
    }

    /**
     * Applies a status report. Reports of another incarnation are ignored. A report with fewer accepted orders than an
     * earlier one arrived late or twice: it shows that the endpoint responds, but not which layers it holds.
     */
    void applyStatusReport(String endpointId, StatusReport report, long nowMs) {
        EndpointLifetime endpoint = byId.get(endpointId);
        if (endpoint == null || report.incarnation() != endpoint.entry.incarnation()) {
            return;
        }
        Optional<LayerRange> layers =
                report.acceptedOrders() >= endpoint.acceptedOrders ? report.layers() : endpoint.entry.layers();
        endpoint.acceptedOrders = Math.max(endpoint.acceptedOrders, report.acceptedOrders());
        boolean hasOtherLayers = !endpoint.entry.layers().equals(layers);
        endpoint.entry = endpoint.entry.withLayers(layers);
        if (!endpoint.isJoined) {
            recordResponse(endpoint, nowMs);
        } else if (hasOtherLayers) {
            postLoadReport(endpoint, nowMs);
        }
    }

    /** Returns the contacts of the endpoints that are in use in the data centres that a predicate accepts. */
    List<EndpointContact> joinedContacts(Predicate<String> dataCentres) {
        List<EndpointContact> joined = new ArrayList<>();
        for (EndpointLifetime endpoint : byId.values()) {
            if (endpoint.isJoined && !endpoint.isLeaving && dataCentres.test(endpoint.entry.dataCentre())) {
                joined.add(contacts.get(endpoint.endpointId));
            }
        }
        return joined;
    }

    /**
     * Returns the unreachable endpoints whose backoff has passed, and starts their next backoff.
     *
     * @param canBeChecked returns whether an endpoint can be checked now; the check of another one stays due
     */
    List<String> takeDueHealthChecks(long nowMs, Predicate<String> canBeChecked) {
        List<String> due = new ArrayList<>();
        for (EndpointLifetime endpoint : byId.values()) {
            if (!endpoint.isJoined
                    && isLatestAtItsAddress(endpoint)
                    && nowMs >= endpoint.nextCheckAtMs
                    && canBeChecked.test(endpoint.endpointId)) {
                endpoint.backOff(nowMs);
                due.add(endpoint.endpointId);
            }
        }
        return due;
    }

    /** Returns whether what responds at the address of an endpoint can be this lifetime. */
    private boolean isLatestAtItsAddress(EndpointLifetime endpoint) {
        EndpointContact contact = contacts.get(endpoint.endpointId);
        return byInstance.get(endpoint.entry.instanceId()) == endpoint
                && endpoint.endpointId.equals(idsByAddress.get(contact.address()));
    }

    /** Ends the grace period of entries that were not listed again, and evicts endpoints after their retention time. */
    void tick(long nowMs) {
        if (nowMs >= relistedHoldUntilMs && !relisted.isEmpty()) {
            Map<String, EndpointEntry> listedStill = Map.copyOf(relisted);
            relisted.clear();
            listedStill.forEach((instanceId, entry) -> applyEntry(instanceId, entry, nowMs));
        }
        boolean isRelistGraceOver = !isPlatformUnreachable && nowMs >= relistGraceUntilMs;
        for (EndpointLifetime endpoint : List.copyOf(byId.values())) {
            if (endpoint.isMissing && isRelistGraceOver) {
                endpoint.isMissing = false;
                startLeaving(endpoint, "not listed again after the platform became reachable", nowMs);
            }
            if (nowMs >= endpoint.evictAtMs) {
                evict(endpoint);
            }
        }
    }

    private void startLifetime(String instanceId, EndpointEntry entry, long nowMs) {
        EndpointLifetime endpoint = new EndpointLifetime(newId(instanceId, entry), entry);
        EndpointContact contact = new EndpointContact(endpoint.endpointId, instanceId, entry.host(), entry.port());
        byInstance.put(instanceId, endpoint);
        incarnations.put(instanceId, entry.incarnation());
        byId.put(endpoint.endpointId, endpoint);
        contacts.put(endpoint.endpointId, contact);
        idsByAddress.put(contact.address(), endpoint.endpointId);
        if (!entry.isLeaving()) {
            join(endpoint, nowMs);
        } else {
            endpoint.isLeaving = true;
            endpoint.evictAtMs = nowMs + REMOVED_RETENTION_MS;
        }
    }

    /** Returns an identifier that is the same on all routers, unless this one saw the endpoint leave and return. */
    private String newId(String instanceId, EndpointEntry entry) {
        String id = instanceId + "@" + entry.incarnation();
        String candidate = id;
        for (int i = 1; byId.containsKey(candidate); i++) {
            candidate = id + "~" + i;
        }
        return candidate;
    }

    private void join(EndpointLifetime endpoint, long nowMs) {
        EndpointEntry entry = endpoint.entry;
        if (!isConfigured(entry.service()) || endpoint.isLeaving) {
            return;
        }
        if (namesLayersBeyondModel(entry)) {
            logLayersBeyondModel(entry);
            return;
        }
        endpoint.isJoined = true;
        endpoint.failures = 0;
        endpoint.nextCheckAtMs = Long.MAX_VALUE;
        events.accept(new Event.EndpointJoined(new EndpointSpec(
                endpoint.endpointId,
                entry.dataCentre(),
                entry.host(),
                entry.port(),
                entry.acceleratorKind(),
                entry.slots(),
                false,
                false)));
        postLoadReport(endpoint, nowMs);
    }

    private boolean isConfigured(String service) {
        return config.enginePools().containsKey(service) || config.services().containsKey(service);
    }

    private void postLoadReport(EndpointLifetime endpoint, long nowMs) {
        EndpointEntry entry = endpoint.entry;
        if (!isConfigured(entry.service())) {
            // Streams that began before the service was deleted resume at the layers known so far.
            return;
        }
        EnginePoolSpec engines = config.enginePools().get(entry.service());
        List<Holding> holdings = new ArrayList<>();
        long kvBytes = UNLIMITED_KV_BYTES;
        double layerTimeUs = 0;
        if (engines == null) {
            holdings.add(new Holding(ModelSpec.SERVICE_PREFIX + entry.service(), new LayerRange(0, 1)));
        } else {
            ModelSpec model = config.models().get(entry.service());
            Optional<LayerRange> held = entry.layers();
            if (namesLayersBeyondModel(entry)) {
                logLayersBeyondModel(entry);
                held = Optional.empty();
            }
            held.ifPresent(layers -> holdings.add(new Holding(entry.service(), layers)));
            int layers = held.map(LayerRange::size).orElse(0);
            kvBytes = engines.kvBytes(entry.acceleratorKind(), layers, model);
            layerTimeUs = engines.layerTimeUs(entry.acceleratorKind(), model);
        }
        events.accept(new Event.LoadReported(
                new LoadReport(endpoint.endpointId, holdings, 0, 0, kvBytes, layerTimeUs, nowMs)));
    }

    private void startLeaving(EndpointLifetime endpoint, String cause, long nowMs) {
        if (endpoint.isLeaving) {
            return;
        }
        endpoint.isLeaving = true;
        endpoint.evictAtMs = nowMs + REMOVED_RETENTION_MS;
        log.stateChanged("endpoint-leaving", endpoint.endpointId, cause);
        events.accept(new Event.EndpointLeaving(endpoint.endpointId));
        listener.endpointLeaving(endpoint.endpointId);
    }

    /** Returns whether an entry names layers that the configured model of its service lacks. */
    private boolean namesLayersBeyondModel(EndpointEntry entry) {
        ModelSpec model = config.models().get(entry.service());
        return model != null
                && entry.layers()
                        .filter(layers -> layers.end() > model.layerCount())
                        .isPresent();
    }

    private void logLayersBeyondModel(EndpointEntry entry) {
        markUnreadable(
                entry.instanceId(),
                "layers end at " + entry.layers().map(LayerRange::end).orElse(0) + ", beyond the "
                        + config.models().get(entry.service()).layerCount() + " of the model");
    }

    /** Ends the lifetime of an endpoint that has restarted, or that had left and is listed again. */
    private void endLifetime(EndpointLifetime endpoint, EndpointEntry successor, long nowMs) {
        // The process of an older incarnation has ended, so that nothing it was running ends by itself.
        if (!endpoint.isLeaving || endpoint.entry.incarnation() < successor.incarnation()) {
            log.stateChanged("endpoint-restarted", endpoint.endpointId, "the list contains a new lifetime");
            events.accept(new Event.EndpointRemoved(endpoint.endpointId, !endpoint.isLeaving));
        }
        endpoint.isLeaving = true;
        endpoint.evictAtMs = nowMs + REMOVED_RETENTION_MS;
    }

    private void evict(EndpointLifetime endpoint) {
        // An entry may expire while its endpoint runs.
        events.accept(Event.EndpointRemoved.unlisted(endpoint.endpointId));
        byId.remove(endpoint.endpointId);
        announcedLeavingIds.remove(endpoint.endpointId);
        if (byInstance.remove(endpoint.entry.instanceId(), endpoint)) {
            departed.put(endpoint.entry.instanceId(), endpoint.entry);
            incarnations.remove(endpoint.entry.instanceId());
        }
        EndpointContact contact = contacts.remove(endpoint.endpointId);
        idsByAddress.remove(contact.address(), endpoint.endpointId);
    }
}

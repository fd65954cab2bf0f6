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
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * Follows which endpoints exist and what they hold, by the platform's list and by their own reports, and tells the
 * core. Used on the control thread; contacts may be read by any thread.
 *
 * <p>Every lifetime of an endpoint has an identifier of its own, since one that starts again knows nothing of before.
 */
final class EndpointRegistry implements ContactLookup {

    /** Time for which a removed endpoint may still work on its last requests, in ms; the longest deadline. */
    private static final long REMOVED_RETENTION_MS = 20_000;

    /** First pause before an unreachable endpoint is asked again, in ms; doubles each time. */
    private static final long INITIAL_BACKOFF_MS = 500;

    private static final long MAX_BACKOFF_MS = 4_000;
    private static final int MAX_DOUBLINGS = 10;

    /** Memory that an endpoint without a KV cache reports, in bytes. */
    private static final long UNLIMITED_KV_BYTES = Long.MAX_VALUE / 4;

    private final Consumer<Event> events;
    private final EndpointStateListener listener;
    private final FleetLog log;
    private final long relistGraceMs;
    private final Map<String, EndpointLifetime> byInstance = new TreeMap<>();
    private final Map<String, EndpointLifetime> byId = new TreeMap<>();
    private final Map<String, EndpointContact> contacts = new ConcurrentHashMap<>();
    private final Map<String, String> idsByAddress = new ConcurrentHashMap<>();
    private final Set<String> unreadableInstances = new HashSet<>();
    private FleetConfig config = FleetConfig.empty();
    private long relistGraceUntilMs = Long.MIN_VALUE;
    private boolean isPlatformUnreachable;

    /** What other routers should know of an endpoint. */
    interface EndpointStateListener {

        /** The endpoint receives no new work any more. */
        void endpointLeaving(String endpointId);

        /** The endpoint does not answer this router. */
        void endpointUnreachable(String endpointId);
    }

    /** One lifetime of an endpoint. */
    private static final class EndpointLifetime {
        private final String endpointId;
        private EndpointEntry entry;
        private boolean isJoined;
        private boolean isLeaving;
        private boolean isMissing;
        private int failures;
        private long nextCheckAtMs = Long.MAX_VALUE;
        private long evictAtMs = Long.MAX_VALUE;

        EndpointLifetime(String endpointId, EndpointEntry entry) {
            this.endpointId = endpointId;
            this.entry = entry;
        }

        void backOff(long nowMs) {
            nextCheckAtMs = nowMs + Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(failures, MAX_DOUBLINGS));
            failures++;
        }
    }

    /**
     * Creates a registry without endpoints.
     *
     * @param core takes events
     * @param news is told what the other routers should know
     * @param readmissionMs time within which endpoints are listed again after the platform was away, in ms
     */
    EndpointRegistry(Consumer<Event> core, EndpointStateListener news, FleetLog log, long readmissionMs) {
        this.events = core;
        this.listener = news;
        this.log = log;
        this.relistGraceMs = readmissionMs;
    }

    // Access

    @Override
    public Optional<EndpointContact> contact(String endpointId) {
        return Optional.ofNullable(contacts.get(endpointId));
    }

    @Override
    public Optional<String> endpointAt(String address) {
        return Optional.ofNullable(idsByAddress.get(address));
    }

    /** Returns the entry of an endpoint, or empty if it is not known any more. */
    Optional<EndpointEntry> entry(String endpointId) {
        return Optional.ofNullable(byId.get(endpointId)).map(tracked -> tracked.entry);
    }

    /** Returns the number of endpoints that may receive work. */
    int activeEndpointCount() {
        return (int) byId.values().stream()
                .filter(tracked -> tracked.isJoined && !tracked.isLeaving)
                .count();
    }

    // The platform's list

    /** Applies a new configuration, which says what services the endpoints belong to. */
    void configure(FleetConfig newConfig, long nowMs) {
        boolean concernsEndpoints = !newConfig.enginePools().equals(config.enginePools())
                || !newConfig.services().keySet().equals(config.services().keySet())
                || !newConfig.models().equals(config.models());
        config = newConfig;
        if (concernsEndpoints) {
            for (EndpointLifetime tracked : List.copyOf(byId.values())) {
                if (tracked.isJoined) {
                    postLoadReport(tracked, nowMs);
                } else if (tracked.failures == 0) {
                    join(tracked, nowMs);
                }
            }
        }
    }

    /** Applies a listed or changed entry. */
    void applyEntry(String instanceId, EndpointEntry entry, long nowMs) {
        unreadableInstances.remove(instanceId);
        EndpointLifetime known = byInstance.get(instanceId);
        boolean isContinued =
                known != null && known.entry.isSameLifetime(entry) && !(known.isLeaving && !entry.isLeaving());
        if (!isContinued) {
            if (known != null) {
                endLifetime(known, nowMs);
            }
            startLifetime(instanceId, entry, nowMs);
            return;
        }
        boolean holdsOther = !known.entry.layers().equals(entry.layers());
        known.isMissing = false;
        known.entry = entry;
        if (entry.isLeaving()) {
            startLeaving(known, "draining", nowMs);
        } else if (known.isJoined && holdsOther) {
            postLoadReport(known, nowMs);
        } else if (!known.isJoined && known.failures == 0) {
            join(known, nowMs);
        }
    }

    /** Notes an entry that cannot be read; what was known before stays in force. */
    void markUnreadable(String instanceId, String problem) {
        if (unreadableInstances.add(instanceId)) {
            log.stateChanged("endpoint-unreadable", instanceId, problem);
        }
    }

    /** Applies the removal of an entry. Entries that lapsed while the platform was away may come back. */
    void applyRemoval(String instanceId, long nowMs) {
        unreadableInstances.remove(instanceId);
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

    /** Applies that another router saw an endpoint leave. */
    void markLeavingByPeer(String endpointId, long nowMs) {
        EndpointLifetime tracked = byId.get(endpointId);
        if (tracked != null && !tracked.isLeaving) {
            startLeaving(tracked, "leaving by another router", nowMs);
        }
    }

    /** Notes whether the platform answers. */
    void setPlatformReachable(boolean reachable, long nowMs) {
        if (isPlatformUnreachable && reachable) {
            relistGraceUntilMs = nowMs + relistGraceMs;
        }
        isPlatformUnreachable = !reachable;
    }

    // Endpoints

    /** Takes an endpoint that does not answer out of use until it does again. */
    void markUnreachable(String endpointId, String cause, long nowMs) {
        EndpointLifetime tracked = byId.get(endpointId);
        if (tracked == null || !tracked.isJoined) {
            return;
        }
        tracked.isJoined = false;
        tracked.backOff(nowMs);
        log.stateChanged("endpoint-unreachable", endpointId, cause);
        listener.endpointUnreachable(endpointId);
        // It may be cut off as well as dead, so that its requests are not suspected of having crashed it.
        events.accept(new Event.EndpointRemoved(endpointId, false));
    }

    /** Notes that an endpoint answers, though it says nothing of itself. */
    void markReachable(String endpointId, long nowMs) {
        EndpointLifetime tracked = byId.get(endpointId);
        if (tracked != null && !tracked.isJoined) {
            log.stateChanged("endpoint-reachable", endpointId, "answers again");
            join(tracked, nowMs);
        }
    }

    /** Applies what an endpoint says of itself. */
    void applyStatusReport(String endpointId, StatusReport report, long nowMs) {
        EndpointLifetime tracked = byId.get(endpointId);
        if (tracked == null || report.incarnation() != tracked.entry.incarnation()) {
            return;
        }
        boolean holdsOther = !tracked.entry.layers().equals(report.layers());
        tracked.entry = tracked.entry.withLayers(report.layers());
        if (!tracked.isJoined) {
            log.stateChanged("endpoint-reachable", endpointId, "answers again");
            join(tracked, nowMs);
        } else if (holdsOther) {
            postLoadReport(tracked, nowMs);
        }
    }

    /** Returns the unreachable endpoints that should be asked again now. */
    List<String> takeDueHealthChecks(long nowMs) {
        List<String> due = new ArrayList<>();
        for (EndpointLifetime tracked : byId.values()) {
            if (!tracked.isJoined && !tracked.isLeaving && nowMs >= tracked.nextCheckAtMs) {
                tracked.backOff(nowMs);
                due.add(tracked.endpointId);
            }
        }
        return due;
    }

    /** Applies what depends on time. */
    void tick(long nowMs) {
        boolean readmissionOver = !isPlatformUnreachable && nowMs >= relistGraceUntilMs;
        for (EndpointLifetime tracked : List.copyOf(byId.values())) {
            if (tracked.isMissing && readmissionOver) {
                tracked.isMissing = false;
                startLeaving(tracked, "not listed again after the platform came back", nowMs);
            }
            if (nowMs >= tracked.evictAtMs) {
                evict(tracked);
            }
        }
    }

    private void startLifetime(String instanceId, EndpointEntry entry, long nowMs) {
        EndpointLifetime tracked = new EndpointLifetime(newId(instanceId, entry), entry);
        EndpointContact contact = new EndpointContact(tracked.endpointId, instanceId, entry.host(), entry.port());
        byInstance.put(instanceId, tracked);
        byId.put(tracked.endpointId, tracked);
        contacts.put(tracked.endpointId, contact);
        idsByAddress.put(contact.address(), tracked.endpointId);
        if (!entry.isLeaving()) {
            join(tracked, nowMs);
        } else {
            tracked.isLeaving = true;
            tracked.evictAtMs = nowMs + REMOVED_RETENTION_MS;
        }
    }

    /** All routers use the same identifier, unless one of them saw the endpoint leave and come back. */
    private String newId(String instanceId, EndpointEntry entry) {
        String id = instanceId + "@" + entry.incarnation();
        String unused = id;
        for (int i = 1; byId.containsKey(unused); i++) {
            unused = id + "~" + i;
        }
        return unused;
    }

    private void join(EndpointLifetime tracked, long nowMs) {
        EndpointEntry entry = tracked.entry;
        boolean isKnown = config.enginePools().containsKey(entry.service())
                || config.services().containsKey(entry.service());
        if (!isKnown || tracked.isLeaving) {
            return;
        }
        tracked.isJoined = true;
        tracked.nextCheckAtMs = Long.MAX_VALUE;
        events.accept(new Event.EndpointJoined(new EndpointSpec(
                tracked.endpointId,
                entry.dataCentre(),
                entry.host(),
                entry.port(),
                entry.acceleratorKind(),
                entry.slots(),
                false,
                false)));
        postLoadReport(tracked, nowMs);
    }

    private void postLoadReport(EndpointLifetime tracked, long nowMs) {
        EndpointEntry entry = tracked.entry;
        EnginePoolSpec engines = config.enginePools().get(entry.service());
        List<Holding> holdings = new ArrayList<>();
        long kvBytes = UNLIMITED_KV_BYTES;
        double layerTimeUs = 0;
        if (engines == null) {
            holdings.add(new Holding(ModelSpec.SERVICE_PREFIX + entry.service(), new LayerRange(0, 1)));
        } else {
            ModelSpec model = config.models().get(entry.service());
            entry.layers().ifPresent(layers -> holdings.add(new Holding(entry.service(), layers)));
            int layers = entry.layers().map(LayerRange::size).orElse(0);
            kvBytes = engines.kvBytes(entry.acceleratorKind(), layers, model);
            layerTimeUs = engines.layerTimeUs(entry.acceleratorKind(), model);
        }
        events.accept(new Event.LoadReported(
                new LoadReport(tracked.endpointId, holdings, 0, 0, kvBytes, layerTimeUs, nowMs)));
    }

    private void startLeaving(EndpointLifetime tracked, String cause, long nowMs) {
        if (tracked.isLeaving) {
            return;
        }
        tracked.isLeaving = true;
        tracked.evictAtMs = nowMs + REMOVED_RETENTION_MS;
        log.stateChanged("endpoint-leaving", tracked.endpointId, cause);
        events.accept(new Event.EndpointLeaving(tracked.endpointId));
        listener.endpointLeaving(tracked.endpointId);
    }

    /** Ends a lifetime whose endpoint has started again. */
    private void endLifetime(EndpointLifetime tracked, long nowMs) {
        if (!tracked.isLeaving) {
            log.stateChanged("endpoint-restarted", tracked.endpointId, "the list names a new lifetime");
            events.accept(new Event.EndpointRemoved(tracked.endpointId, true));
        }
        tracked.isLeaving = true;
        tracked.evictAtMs = nowMs + REMOVED_RETENTION_MS;
    }

    private void evict(EndpointLifetime tracked) {
        events.accept(new Event.EndpointRemoved(tracked.endpointId, false));
        byId.remove(tracked.endpointId);
        byInstance.remove(tracked.entry.instanceId(), tracked);
        EndpointContact contact = contacts.remove(tracked.endpointId);
        idsByAddress.remove(contact.address(), tracked.endpointId);
    }
}

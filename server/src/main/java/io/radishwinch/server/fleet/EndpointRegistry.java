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
    private static final long REMOVED_KEEP_MS = 20_000;

    /** First pause before an unreachable endpoint is asked again, in ms; doubles each time. */
    private static final long FIRST_RETRY_MS = 500;

    private static final long MAX_RETRY_MS = 4_000;
    private static final int MAX_DOUBLINGS = 10;

    /** Memory that an endpoint without a KV cache reports, in bytes. */
    private static final long UNBOUNDED_BYTES = Long.MAX_VALUE / 4;

    private final Consumer<Event> core;
    private final News news;
    private final FleetLog log;
    private final long readmissionMs;
    private final Map<String, Tracked> byInstance = new TreeMap<>();
    private final Map<String, Tracked> byId = new TreeMap<>();
    private final Map<String, EndpointContact> contacts = new ConcurrentHashMap<>();
    private final Map<String, String> idsByAddress = new ConcurrentHashMap<>();
    private final Set<String> unreadable = new HashSet<>();
    private FleetConfig config = FleetConfig.empty();
    private long readmissionUntilMs = Long.MIN_VALUE;
    private boolean platformAway;

    /** What other routers should know of an endpoint. */
    interface News {

        /** The endpoint receives no new work any more. */
        void leaving(String endpointId);

        /** The endpoint does not answer this router. */
        void unreachable(String endpointId);
    }

    /** One lifetime of an endpoint. */
    private static final class Tracked {
        private final String endpointId;
        private EndpointEntry entry;
        private boolean joined;
        private boolean leaving;
        private boolean missing;
        private int failures;
        private long retryAtMs = Long.MAX_VALUE;
        private long forgetAtMs = Long.MAX_VALUE;

        Tracked(String endpointId, EndpointEntry entry) {
            this.endpointId = endpointId;
            this.entry = entry;
        }

        void backOff(long nowMs) {
            retryAtMs = nowMs + Math.min(MAX_RETRY_MS, FIRST_RETRY_MS << Math.min(failures, MAX_DOUBLINGS));
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
    EndpointRegistry(Consumer<Event> core, News news, FleetLog log, long readmissionMs) {
        this.core = core;
        this.news = news;
        this.log = log;
        this.readmissionMs = readmissionMs;
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
    int size() {
        return (int) byId.values().stream()
                .filter(tracked -> tracked.joined && !tracked.leaving)
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
            for (Tracked tracked : List.copyOf(byId.values())) {
                if (tracked.joined) {
                    report(tracked, nowMs);
                } else if (tracked.failures == 0) {
                    join(tracked, nowMs);
                }
            }
        }
    }

    /** Applies a listed or changed entry. */
    void listed(String instanceId, EndpointEntry entry, long nowMs) {
        unreadable.remove(instanceId);
        Tracked known = byInstance.get(instanceId);
        boolean isContinued =
                known != null && known.entry.isSameLifetime(entry) && !(known.leaving && !entry.isLeaving());
        if (!isContinued) {
            if (known != null) {
                remove(known, nowMs);
            }
            begin(instanceId, entry, nowMs);
            return;
        }
        boolean holdsOther = !known.entry.layers().equals(entry.layers());
        known.missing = false;
        known.entry = entry;
        if (entry.isLeaving()) {
            leave(known, "draining", nowMs);
        } else if (known.joined && holdsOther) {
            report(known, nowMs);
        } else if (!known.joined && known.failures == 0) {
            join(known, nowMs);
        }
    }

    /** Notes an entry that cannot be read; what was known before stays in force. */
    void unreadable(String instanceId, String problem) {
        if (unreadable.add(instanceId)) {
            log.belief("endpoint-unreadable", instanceId, problem);
        }
    }

    /** Applies the removal of an entry. Entries that lapsed while the platform was away may come back. */
    void unlisted(String instanceId, long nowMs) {
        unreadable.remove(instanceId);
        Tracked known = byInstance.get(instanceId);
        if (known == null) {
            return;
        }
        if (platformAway || nowMs < readmissionUntilMs) {
            known.missing = true;
        } else {
            leave(known, "removed from the list", nowMs);
        }
    }

    /** Applies that another router saw an endpoint leave. */
    void leavingAtPeer(String endpointId, long nowMs) {
        Tracked tracked = byId.get(endpointId);
        if (tracked != null && !tracked.leaving) {
            leave(tracked, "leaving by another router", nowMs);
        }
    }

    /** Notes whether the platform answers. */
    void platformReachable(boolean reachable, long nowMs) {
        if (platformAway && reachable) {
            readmissionUntilMs = nowMs + readmissionMs;
        }
        platformAway = !reachable;
    }

    // Endpoints

    /** Takes an endpoint that does not answer out of use until it does again. */
    void unreachable(String endpointId, String cause, long nowMs) {
        Tracked tracked = byId.get(endpointId);
        if (tracked == null || !tracked.joined) {
            return;
        }
        tracked.joined = false;
        tracked.backOff(nowMs);
        log.belief("endpoint-unreachable", endpointId, cause);
        news.unreachable(endpointId);
        // It may be cut off as well as dead, so that its requests are not suspected of having crashed it.
        core.accept(new Event.EndpointRemoved(endpointId, false));
    }

    /** Notes that an endpoint answers, though it says nothing of itself. */
    void answered(String endpointId, long nowMs) {
        Tracked tracked = byId.get(endpointId);
        if (tracked != null && !tracked.joined) {
            log.belief("endpoint-reachable", endpointId, "answers again");
            join(tracked, nowMs);
        }
    }

    /** Applies what an endpoint says of itself. */
    void reported(String endpointId, EndpointReport report, long nowMs) {
        Tracked tracked = byId.get(endpointId);
        if (tracked == null || report.incarnation() != tracked.entry.incarnation()) {
            return;
        }
        boolean holdsOther = !tracked.entry.layers().equals(report.layers());
        tracked.entry = tracked.entry.withLayers(report.layers());
        if (!tracked.joined) {
            log.belief("endpoint-reachable", endpointId, "answers again");
            join(tracked, nowMs);
        } else if (holdsOther) {
            report(tracked, nowMs);
        }
    }

    /** Returns the unreachable endpoints that should be asked again now. */
    List<String> dueForRetry(long nowMs) {
        List<String> due = new ArrayList<>();
        for (Tracked tracked : byId.values()) {
            if (!tracked.joined && !tracked.leaving && nowMs >= tracked.retryAtMs) {
                tracked.backOff(nowMs);
                due.add(tracked.endpointId);
            }
        }
        return due;
    }

    /** Applies what depends on time. */
    void tick(long nowMs) {
        boolean readmissionOver = !platformAway && nowMs >= readmissionUntilMs;
        for (Tracked tracked : List.copyOf(byId.values())) {
            if (tracked.missing && readmissionOver) {
                tracked.missing = false;
                leave(tracked, "not listed again after the platform came back", nowMs);
            }
            if (nowMs >= tracked.forgetAtMs) {
                forget(tracked);
            }
        }
    }

    private void begin(String instanceId, EndpointEntry entry, long nowMs) {
        Tracked tracked = new Tracked(newId(instanceId, entry), entry);
        EndpointContact contact = new EndpointContact(tracked.endpointId, instanceId, entry.host(), entry.port());
        byInstance.put(instanceId, tracked);
        byId.put(tracked.endpointId, tracked);
        contacts.put(tracked.endpointId, contact);
        idsByAddress.put(contact.address(), tracked.endpointId);
        if (!entry.isLeaving()) {
            join(tracked, nowMs);
        } else {
            tracked.leaving = true;
            tracked.forgetAtMs = nowMs + REMOVED_KEEP_MS;
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

    private void join(Tracked tracked, long nowMs) {
        EndpointEntry entry = tracked.entry;
        boolean isKnown = config.enginePools().containsKey(entry.service())
                || config.services().containsKey(entry.service());
        if (!isKnown || tracked.leaving) {
            return;
        }
        tracked.joined = true;
        tracked.retryAtMs = Long.MAX_VALUE;
        core.accept(new Event.EndpointJoined(new EndpointSpec(
                tracked.endpointId,
                entry.dataCentre(),
                entry.host(),
                entry.port(),
                entry.acceleratorKind(),
                entry.slots(),
                false,
                false)));
        report(tracked, nowMs);
    }

    private void report(Tracked tracked, long nowMs) {
        EndpointEntry entry = tracked.entry;
        EnginePoolSpec engines = config.enginePools().get(entry.service());
        List<Holding> holdings = new ArrayList<>();
        long kvBytes = UNBOUNDED_BYTES;
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
        core.accept(new Event.LoadReported(
                new LoadReport(tracked.endpointId, holdings, 0, 0, kvBytes, layerTimeUs, nowMs)));
    }

    private void leave(Tracked tracked, String cause, long nowMs) {
        if (tracked.leaving) {
            return;
        }
        tracked.leaving = true;
        tracked.forgetAtMs = nowMs + REMOVED_KEEP_MS;
        log.belief("endpoint-leaving", tracked.endpointId, cause);
        core.accept(new Event.EndpointLeaving(tracked.endpointId));
        news.leaving(tracked.endpointId);
    }

    /** Ends a lifetime whose endpoint has started again. */
    private void remove(Tracked tracked, long nowMs) {
        if (!tracked.leaving) {
            log.belief("endpoint-restarted", tracked.endpointId, "the list names a new lifetime");
            core.accept(new Event.EndpointRemoved(tracked.endpointId, true));
        }
        tracked.leaving = true;
        tracked.forgetAtMs = nowMs + REMOVED_KEEP_MS;
    }

    private void forget(Tracked tracked) {
        core.accept(new Event.EndpointRemoved(tracked.endpointId, false));
        byId.remove(tracked.endpointId);
        byInstance.remove(tracked.entry.instanceId(), tracked);
        EndpointContact contact = contacts.remove(tracked.endpointId);
        idsByAddress.remove(contact.address(), tracked.endpointId);
    }
}

package io.radishwinch.server;

import io.radishwinch.cluster.PeerListener;
import io.radishwinch.cluster.PeerNode;
import io.radishwinch.cluster.allotment.CallerLimits;
import io.radishwinch.cluster.allotment.LoadVector;
import io.radishwinch.cluster.allotment.Share;
import io.radishwinch.cluster.configuration.ConfigurationObject;
import io.radishwinch.cluster.gossip.GossipEntry;
import io.radishwinch.cluster.load.EndpointLoad;
import io.radishwinch.cluster.load.EndpointLoadCodec;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.core.DecisionCore.CoreView;
import io.radishwinch.core.DecisionCore.EndpointView;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.RankTerms;
import io.radishwinch.core.quarantine.PartQuarantineSettings;
import io.radishwinch.core.quarantine.PromptCrash;
import io.radishwinch.protocol.generated.EntryKind;
import io.radishwinch.protocol.generated.Message;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Translates between the decision core and the gossip state of the routers; must be used on the control thread. */
public final class PeerStateBridge implements PeerListener {
    private static final System.Logger LOG = System.getLogger(PeerStateBridge.class.getName());
    /** Time after which unchanged loads are passed to the core again, in ms; it discards loads after five seconds. */
    private static final long LOAD_REFRESH_INTERVAL_MS = 2_000;

    private static final long CRASH_TTL_MS = 600_000;
    /** Time-to-live of the crashes and proofs of prompt parts, in ms; as long as they count. */
    private static final long PROMPT_CRASH_TTL_MS =
            PartQuarantineSettings.defaults().quarantineMs();

    private static final long LEAVING_TTL_MS = 3_600_000;
    private static final long UNREACHABLE_TTL_MS = 10_000;
    private static final String CRASH_SEPARATOR = "|";

    private final PeerNode node;
    private final ControlLoop control;
    private final PeerEndpointListener endpointListener;
    private final Consumer<ConfigurationObject> configurationReceiver;
    private final BiConsumer<MemberInfo, Message> journalReceiver;
    private final Map<Integer, String> endpointsByHash = new HashMap<>();
    private Map<String, EndpointLoad> loadsOfPeers = Map.of();
    private long nextLoadRefreshMs = Long.MIN_VALUE;
    private boolean isPublishing;

    /**
     * Creates a bridge.
     *
     * @param endpointListener receives endpoint states that peers detected
     * @param configurationReceiver receives each configuration object that takes effect, from the platform or a peer
     * @param journalReceiver receives journal messages of peers
     */
    public PeerStateBridge(
            PeerNode node,
            ControlLoop control,
            PeerEndpointListener endpointListener,
            Consumer<ConfigurationObject> configurationReceiver,
            BiConsumer<MemberInfo, Message> journalReceiver) {
        this.node = node;
        this.control = control;
        this.endpointListener = endpointListener;
        this.configurationReceiver = configurationReceiver;
        this.journalReceiver = journalReceiver;
    }

    /** Receives endpoint states that another router detected. */
    public interface PeerEndpointListener {

        /** Called when another router published that an endpoint is leaving. */
        void endpointLeaving(String endpointId);

        /** Called when an endpoint does not respond to another router. */
        void endpointUnreachable(String endpointId);

        /** Called when an endpoint named another request limit to a peer, in requests/s, or none any more. */
        default void requestLimitChanged(String endpointId, OptionalDouble limitPerS) {}

        /** Called when another router has released a lease. */
        default void leaseReleased(String leaseKey) {}
    }

    /** Applies the caller limits of a configuration. */
    public void applyLimits(FleetConfig config) {
        Map<String, CallerLimits> limits = new HashMap<>();
        for (Contract contract : config.contracts().values()) {
            double floor = contract.ranks().values().stream()
                    .mapToDouble(RankTerms::floorTokensPerS)
                    .sum();
            LoadVector amounts = new LoadVector(
                    contract.limits().requestsPerS(),
                    contract.limits().tokensPerS(),
                    contract.limits().concurrentRequests());
            limits.put(contract.caller(), new CallerLimits(amounts, floor));
        }
        node.setLimits(limits);
    }

    private void publish(EntryKind kind, String key, byte[] value, long deadlineMs) {
        isPublishing = true;
        try {
            node.publish(kind, key, value, deadlineMs, control.nowMs());
        } finally {
            isPublishing = false;
        }
    }

    /** Publishes a quarantined fingerprint. */
    public void publishQuarantine(Action.ShareQuarantine action) {
        publish(EntryKind.QUARANTINE, action.fingerprint(), new byte[0], action.untilMs());
    }

    /** Publishes a fingerprint that ran on an endpoint when the endpoint crashed. */
    public void publishCrash(Action.ShareCrash action) {
        String key = action.fingerprint() + CRASH_SEPARATOR + action.endpointId();
        publish(EntryKind.CRASH, key, new byte[0], control.nowMs() + CRASH_TTL_MS);
    }

    /** Publishes a request that failed before its answer began because its endpoint crashed. */
    public void publishPromptCrash(Action.SharePromptCrash action) {
        PromptCrash crash = action.crash();
        String key = crash.fingerprint() + CRASH_SEPARATOR + crash.endpointId();
        publish(EntryKind.PROMPT_CRASH, key, PromptCrashCodec.encode(crash), crash.crashedAtMs() + PROMPT_CRASH_TTL_MS);
    }

    /** Publishes that an answer to a prompt with these parts has begun. */
    public void publishProvenParts(Action.ShareProvenParts action) {
        for (long part : action.parts()) {
            publish(
                    EntryKind.PROVEN_PART,
                    PromptCrashCodec.partKey(part),
                    new byte[0],
                    control.nowMs() + PROMPT_CRASH_TTL_MS);
        }
    }

    /**
     * Publishes the requests/s that an endpoint takes from all routers together, or that it names no limit any more.
     *
     * @param ttlMs time-to-live of the entry, in ms
     */
    public void publishRequestLimit(String endpointId, OptionalDouble limitPerS, long ttlMs) {
        byte[] value = limitPerS.isEmpty()
                ? new byte[0]
                : ByteBuffer.allocate(Double.BYTES)
                        .putDouble(limitPerS.getAsDouble())
                        .array();
        publish(EntryKind.REQUEST_LIMIT, endpointId, value, control.nowMs() + ttlMs);
    }

    /** Publishes that an endpoint is leaving, with the default time-to-live. */
    public void publishLeaving(String endpointId) {
        publishLeaving(endpointId, LEAVING_TTL_MS);
    }

    /**
     * Publishes that an endpoint is leaving.
     *
     * @param ttlMs time-to-live of the entry, in ms; routers that start later do not receive it
     */
    public void publishLeaving(String endpointId, long ttlMs) {
        if (node.entry(EntryKind.LEAVING, endpointId).isEmpty()) {
            publish(EntryKind.LEAVING, endpointId, new byte[0], control.nowMs() + ttlMs);
        }
    }

    /** Publishes that an endpoint does not respond to this router. */
    public void publishUnreachable(String endpointId) {
        publish(EntryKind.EJECTION, endpointId, new byte[0], control.nowMs() + UNREACHABLE_TTL_MS);
    }

    /**
     * Publishes that this router has released a lease, whose other candidates do not read it while its holder is alive.
     *
     * @param ttlMs time-to-live of the entry, in ms
     */
    public void publishLeaseReleased(String leaseKey, long ttlMs) {
        publish(EntryKind.PLACEMENT, leaseKey, new byte[0], control.nowMs() + ttlMs);
    }

    /** Publishes the load of this router on each endpoint. */
    public void publishLoad(CoreView view) {
        Map<Integer, EndpointLoad> loads = new HashMap<>();
        for (EndpointView endpoint : view.endpoints()) {
            if (endpoint.running() > 0) {
                loads.put(
                        EndpointLoadCodec.hash(endpoint.endpointId()),
                        new EndpointLoad(endpoint.running(), endpoint.kvBytes()));
            }
        }
        node.publishLoads(loads);
    }

    @Override
    public void memberChanged(MemberInfo member) {
        LOG.log(System.Logger.Level.INFO, "router {0} is {1}", member.id(), member.state());
    }

    @Override
    public void configurationChanged(ConfigurationObject object) {
        configurationReceiver.accept(object);
    }

    @Override
    public void shareChanged(String caller, Share share) {
        control.post(new Event.AllotmentChanged(
                caller,
                share.limits().requestsPerS(),
                share.limits().tokensPerS(),
                share.limits().concurrentRequests(),
                share.floorShare()));
    }

    @Override
    public void journalMessage(MemberInfo sender, Message message) {
        journalReceiver.accept(sender, message);
    }

    @Override
    public void entryChanged(GossipEntry entry) {
        // The origin does not tell: entries of an earlier process of this router return from its peers after a restart.
        if (isPublishing) {
            return;
        }
        switch (entry.kind()) {
            case QUARANTINE -> {
                if (!entry.isTombstone()) {
                    control.post(new Event.QuarantineShared(entry.key(), entry.deadlineMs()));
                }
            }
            case CRASH -> applyCrashEntry(entry);
            case PROMPT_CRASH -> applyPromptCrashEntry(entry);
            case PROVEN_PART -> applyProvenPartEntry(entry);
            case LEAVING -> {
                if (!entry.isTombstone()) {
                    endpointListener.endpointLeaving(entry.key());
                }
            }
            case REQUEST_LIMIT -> applyRequestLimitEntry(entry);
            case EJECTION -> {
                if (!entry.isTombstone()) {
                    endpointListener.endpointUnreachable(entry.key());
                }
            }
            case PLACEMENT -> {
                if (!entry.isTombstone()) {
                    endpointListener.leaseReleased(entry.key());
                }
            }
            default -> {
                // PeerNode handles the other kinds.
            }
        }
    }

    private void applyCrashEntry(GossipEntry entry) {
        int separator = entry.key().indexOf(CRASH_SEPARATOR);
        if (!entry.isTombstone() && separator > 0) {
            String fingerprint = entry.key().substring(0, separator);
            control.post(new Event.CrashShared(fingerprint, entry.key().substring(separator + 1)));
        }
    }

    private void applyPromptCrashEntry(GossipEntry entry) {
        int separator = entry.key().indexOf(CRASH_SEPARATOR);
        if (entry.isTombstone() || separator <= 0) {
            return;
        }
        PromptCrashCodec.decode(
                        entry.key().substring(0, separator),
                        entry.key().substring(separator + 1),
                        entry.value(),
                        entry.deadlineMs() - PROMPT_CRASH_TTL_MS)
                .peek(crash -> control.post(new Event.PromptCrashShared(crash)))
                .peekLeft(
                        problem -> LOG.log(System.Logger.Level.WARNING, "prompt crash {0}: {1}", entry.key(), problem));
    }

    private void applyRequestLimitEntry(GossipEntry entry) {
        if (entry.isTombstone() || entry.value().length == 0) {
            endpointListener.requestLimitChanged(entry.key(), OptionalDouble.empty());
        } else if (entry.value().length == Double.BYTES) {
            double perS = ByteBuffer.wrap(entry.value()).getDouble();
            endpointListener.requestLimitChanged(entry.key(), OptionalDouble.of(Math.max(0, perS)));
        } else {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "request limit of {0}: value has {1} bytes, expected 8 or none",
                    entry.key(),
                    entry.value().length);
        }
    }

    private void applyProvenPartEntry(GossipEntry entry) {
        if (entry.isTombstone()) {
            return;
        }
        PromptCrashCodec.parsePartKey(entry.key())
                .peek(part ->
                        control.post(new Event.PartsProven(List.of(part), entry.deadlineMs() - PROMPT_CRASH_TTL_MS)))
                .peekLeft(
                        problem -> LOG.log(System.Logger.Level.WARNING, "proven part {0}: {1}", entry.key(), problem));
    }

    @Override
    public void endpointLoadsChanged(Map<Integer, EndpointLoad> loads) {
        if (!endpointsByHash.keySet().containsAll(loads.keySet())) {
            rebuildEndpointHashes();
        }
        long nowMs = control.nowMs();
        boolean isRefreshDue = nowMs >= nextLoadRefreshMs;
        if (isRefreshDue) {
            nextLoadRefreshMs = nowMs + LOAD_REFRESH_INTERVAL_MS;
        }
        Map<String, EndpointLoad> current = new HashMap<>();
        loads.forEach((hash, load) -> {
            // The load on an unknown endpoint is counted with the next total after the endpoint joins.
            String endpointId = endpointsByHash.get(hash);
            if (endpointId != null) {
                current.put(endpointId, load);
            }
        });
        List<Event> events = new ArrayList<>();
        current.forEach((id, load) -> {
            if (isRefreshDue || !load.equals(loadsOfPeers.get(id))) {
                events.add(new Event.PeerLoad(id, load.running(), load.kvBytes()));
            }
        });
        loadsOfPeers.keySet().stream()
                .filter(id -> !current.containsKey(id))
                .forEach(id -> events.add(new Event.PeerLoad(id, 0, 0)));
        loadsOfPeers = current;
        control.postAll(events);
    }

    private void rebuildEndpointHashes() {
        endpointsByHash.clear();
        for (EndpointView endpoint : control.core().view().endpoints()) {
            endpointsByHash.put(EndpointLoadCodec.hash(endpoint.endpointId()), endpoint.endpointId());
        }
    }
}

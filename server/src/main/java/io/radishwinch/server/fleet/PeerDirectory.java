package io.radishwinch.server.fleet;

import io.micrometer.core.instrument.Counter;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.server.LogFields;
import io.radishwinch.server.metrics.RouterMetrics;
import io.radishwinch.server.proxy.EndpointContact;
import io.radishwinch.server.proxy.PeerRelays;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Chooses the routers to which requests are relayed, at random: those of the own data centre first, unless one of them
 * took no request lately, because a partition may isolate all routers of a data centre. Thread-safe.
 */
final class PeerDirectory implements PeerRelays {

    /** Time for which a router that takes no relayed requests is not chosen, in ms. */
    private static final long UNAVAILABLE_MS = 1_000;

    private final String dataCentre;
    private final OptionalInt relayPort;
    private final EndpointReachability reachability;
    private final Consumer<Runnable> control;
    private final LongSupplier clockMs;
    private final FleetLog log;
    private final Counter relays;
    private final Map<String, Long> unavailableUntilMs = new ConcurrentHashMap<>();
    private volatile List<MemberInfo> peers = List.of();

    /**
     * Creates an empty directory.
     *
     * @param dataCentre data centre of this router
     * @param relayPort port on which all routers take relayed requests, or empty if they take none
     * @param reachability tells whether this router reaches no endpoint
     * @param control runs tasks on the control thread
     */
    PeerDirectory(
            String dataCentre,
            OptionalInt relayPort,
            EndpointReachability reachability,
            Consumer<Runnable> control,
            LongSupplier clockMs,
            FleetLog log,
            RouterMetrics metrics) {
        this.dataCentre = dataCentre;
        this.relayPort = relayPort;
        this.reachability = reachability;
        this.control = control;
        this.clockMs = clockMs;
        this.log = log;
        this.relays = metrics.counter("radishwinch.relays", "requests that were relayed to another router");
    }

    /** Replaces the live routers other than this one. */
    void setPeers(Collection<MemberInfo> newPeers) {
        peers = List.copyOf(newPeers);
        unavailableUntilMs.keySet().removeIf(id -> newPeers.stream()
                .noneMatch(peer -> peer.id().equals(id)));
    }

    @Override
    public boolean isIsolated() {
        return reachability.isIsolated();
    }

    @Override
    public void suspectIsolation() {
        control.accept(() -> reachability.suspect(""));
    }

    @Override
    public Optional<EndpointContact> choose(Set<String> excludedIds) {
        long nowMs = clockMs.getAsLong();
        List<MemberInfo> local = new ArrayList<>();
        List<MemberInfo> remote = new ArrayList<>();
        boolean hasUnavailableLocalPeer = false;
        for (MemberInfo peer : peers) {
            boolean isLocal = peer.dataCentre().equals(dataCentre);
            boolean isAvailable = nowMs >= unavailableUntilMs.getOrDefault(peer.id(), Long.MIN_VALUE);
            hasUnavailableLocalPeer |= isLocal && !isAvailable;
            if (isAvailable && !excludedIds.contains(peer.id())) {
                (isLocal ? local : remote).add(peer);
            }
        }
        boolean prefersRemote = local.isEmpty() || hasUnavailableLocalPeer && !remote.isEmpty();
        List<MemberInfo> candidates = prefersRemote ? remote : local;
        if (candidates.isEmpty() || relayPort.isEmpty()) {
            return Optional.empty();
        }
        MemberInfo chosen = candidates.get(ThreadLocalRandom.current().nextInt(candidates.size()));
        return Optional.of(
                new EndpointContact(chosen.id(), chosen.id(), chosen.address().host(), relayPort.getAsInt()));
    }

    @Override
    public void markUnavailable(String routerId) {
        unavailableUntilMs.put(routerId, clockMs.getAsLong() + UNAVAILABLE_MS);
    }

    @Override
    public void relayed(String requestId, String routerId, long resumeAfterEventId) {
        relays.increment();
        log.request(() -> LogFields.of("relayed")
                .with("id", requestId)
                .with("router", routerId)
                .with("resumeAfter", resumeAfterEventId));
    }
}

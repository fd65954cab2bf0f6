package io.radishwinch.cluster.load;

import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.Envelope;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.cluster.membership.RendezvousHash;
import io.radishwinch.protocol.generated.EndpointLoads;
import io.radishwinch.protocol.generated.LoadScope;
import io.radishwinch.protocol.generated.Message;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Tells every router the load that all others put on the endpoints.
 *
 * <p>The members of a data centre send their loads to {@link #COLLECTORS} of them, chosen by rendezvous hash. A
 * collector adds them up, exchanges the sum with the collectors of the other data centres and sends the total to all
 * members, which subtract their own part. A router therefore handles a few messages per interval, however many routers
 * there are; two collectors keep the totals flowing while one fails.
 *
 * <p>Endpoints are identified by a hash, see {@link EndpointLoadCodec}. Times are in ms of this router's monotonic
 * clock. Not thread-safe.
 */
public final class LoadExchange {

    /** Collectors of each data centre. */
    static final int COLLECTORS = 2;

    /** Time between two messages to the same receiver, in ms; totals that exceed the byte rate are sent less often. */
    static final long INTERVAL_MS = 500;

    /** Time for which a received load is valid, in ms; a router that is silent for longer has failed. */
    static final long LOAD_TTL_MS = 3_000;

    /** Maximum size of the encoded loads in a message, in bytes. */
    static final int MAX_LOAD_BYTES = 64 * 1024;

    private static final long MS_PER_S = 1_000;
    private static final String KEY = "load-collector";

    private final LoadPeers peers;
    private final Consumer<Map<Integer, EndpointLoad>> listener;
    private final Map<String, TimedLoads> loadsByMember = new HashMap<>();
    private final Map<String, TimedLoads> loadsByDataCentre = new HashMap<>();
    private Map<Integer, EndpointLoad> ownLoads = Map.of();
    private Map<Integer, EndpointLoad> sentLoads = Map.of();
    private long bytesPerS;
    private boolean isFleetWide;
    private long nextSendMs = Long.MIN_VALUE;
    private long nextTotalMs = Long.MIN_VALUE;

    private record TimedLoads(Map<Integer, EndpointLoad> loads, long deadlineMs) {}

    /**
     * Creates an exchange without loads.
     *
     * @param bytesPerS rate of totals to one member, in bytes/s
     * @param listener receives the sums of the loads that the other routers put on the endpoints
     */
    public LoadExchange(LoadPeers peers, long bytesPerS, Consumer<Map<Integer, EndpointLoad>> listener) {
        this.peers = peers;
        this.bytesPerS = bytesPerS;
        this.listener = listener;
    }

    /** Sets the loads of this router. */
    public void setOwnLoads(Map<Integer, EndpointLoad> loads) {
        ownLoads = Map.copyOf(loads);
    }

    /** Sets whether data centres exchange their sums, and the rate of totals to one member, in bytes/s. */
    public void configure(boolean newIsFleetWide, long newBytesPerS) {
        isFleetWide = newIsFleetWide;
        bytesPerS = newBytesPerS;
    }

    /** Advances the time and sends what is due. */
    public void tick(long nowMs, List<Envelope> out) {
        if (nowMs < nextSendMs) {
            return;
        }
        nextSendMs = nowMs + INTERVAL_MS;
        List<String> collectors = RendezvousHash.top(KEY, peers.localIds(), COLLECTORS);
        sendOwnLoads(collectors, out);
        if (collectors.contains(peers.selfId()) && nowMs >= nextTotalMs) {
            sendTotals(nowMs, out);
        }
    }

    /** Handles the loads that another router sent. */
    public void onLoads(MemberInfo sender, boolean isLocal, EndpointLoads message, long nowMs) {
        Map<Integer, EndpointLoad> loads = EndpointLoadCodec.decode(message.getLoads());
        TimedLoads timed = new TimedLoads(loads, nowMs + LOAD_TTL_MS);
        switch (message.getScope()) {
            case ROUTER -> {
                if (isLocal) {
                    loadsByMember.put(sender.id(), timed);
                }
            }
            case DATA_CENTRE -> {
                if (!isLocal) {
                    loadsByDataCentre.put(sender.dataCentre(), timed);
                }
            }
            case FLEET -> {
                boolean isCollector =
                        RendezvousHash.top(KEY, peers.localIds(), COLLECTORS).contains(peers.selfId());
                if (isLocal && !isCollector) {
                    listener.accept(subtract(loads, sentLoads));
                }
            }
        }
    }

    private void sendOwnLoads(List<String> collectors, List<Envelope> out) {
        boolean isStillIdle = ownLoads.isEmpty() && sentLoads.isEmpty();
        sentLoads = ownLoads;
        if (isStillIdle) {
            return;
        }
        Message message = message(LoadScope.ROUTER, ownLoads);
        for (String collector : collectors) {
            Address address = collector.equals(peers.selfId()) ? null : peers.localAddress(collector);
            if (address != null) {
                out.add(new Envelope(address, message));
            }
        }
    }

    private void sendTotals(long nowMs, List<Envelope> out) {
        loadsByMember.values().removeIf(timed -> timed.deadlineMs <= nowMs);
        loadsByDataCentre.values().removeIf(timed -> timed.deadlineMs <= nowMs);
        List<String> ids = peers.localIds();
        loadsByMember.keySet().retainAll(ids);
        Map<Integer, EndpointLoad> local = new HashMap<>(ownLoads);
        loadsByMember.values().forEach(timed -> addTo(local, timed.loads));
        if (isFleetWide) {
            sendToDataCentres(local, out);
        }
        Map<Integer, EndpointLoad> total = new HashMap<>(local);
        loadsByDataCentre.values().forEach(timed -> addTo(total, timed.loads));
        byte[] encoded = EndpointLoadCodec.encode(total, MAX_LOAD_BYTES);
        Message message = Message.endpointLoads(new EndpointLoads(LoadScope.FLEET, java.nio.ByteBuffer.wrap(encoded)));
        for (String id : ids) {
            Address address = id.equals(peers.selfId()) ? null : peers.localAddress(id);
            if (address != null) {
                out.add(new Envelope(address, message));
            }
        }
        nextTotalMs = nowMs + Math.max(INTERVAL_MS, encoded.length * MS_PER_S / bytesPerS);
        listener.accept(subtract(total, ownLoads));
    }

    private void sendToDataCentres(Map<Integer, EndpointLoad> local, List<Envelope> out) {
        Message message = message(LoadScope.DATA_CENTRE, local);
        for (String dataCentre : peers.remoteDataCentres()) {
            List<MemberInfo> members = peers.remoteMembers(dataCentre);
            List<String> collectors =
                    RendezvousHash.top(KEY, members.stream().map(MemberInfo::id).toList(), COLLECTORS);
            for (MemberInfo member : members) {
                if (collectors.contains(member.id())) {
                    out.add(new Envelope(member.address(), message));
                }
            }
        }
    }

    private static Message message(LoadScope scope, Map<Integer, EndpointLoad> loads) {
        byte[] encoded = EndpointLoadCodec.encode(loads, MAX_LOAD_BYTES);
        return Message.endpointLoads(new EndpointLoads(scope, java.nio.ByteBuffer.wrap(encoded)));
    }

    private static void addTo(Map<Integer, EndpointLoad> sums, Map<Integer, EndpointLoad> loads) {
        loads.forEach((endpoint, load) -> sums.merge(endpoint, load, EndpointLoad::plus));
    }

    private static Map<Integer, EndpointLoad> subtract(
            Map<Integer, EndpointLoad> total, Map<Integer, EndpointLoad> part) {
        Map<Integer, EndpointLoad> rest = new HashMap<>(total);
        part.forEach((endpoint, load) -> rest.computeIfPresent(endpoint, (key, sum) -> sum.minus(load)));
        return rest;
    }
}

package io.radishwinch.cluster.load;

import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.Envelope;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.cluster.membership.RendezvousHash;
import io.radishwinch.protocol.generated.EndpointLoads;
import io.radishwinch.protocol.generated.LoadScope;
import io.radishwinch.protocol.generated.Message;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Tells every router the load that all others put on the endpoints.
 *
 * <p>The members of a data centre send their loads to {@link #COLLECTORS} of them, chosen by rendezvous hash. A
 * collector adds them up, exchanges the sum with the collectors of the other data centres and sends the total along a
 * tree of all members, which subtract their own part. A router therefore handles a few messages per interval, however
 * many routers there are. Two collectors, whose trees have other inner members, keep the totals flowing while one
 * router fails.
 *
 * <p>Endpoints are identified by a hash, see {@link EndpointLoadCodec}. Times are in ms of this router's monotonic
 * clock. Not thread-safe.
 */
public final class LoadExchange {

    /** Collectors of each data centre. */
    static final int COLLECTORS = 2;

    /** Time between two sums, in ms; totals that exceed the byte rate are sent less often. */
    static final long INTERVAL_MS = 500;

    /**
     * Shortest time for which a received load is valid, in ms; a router that is silent for longer has failed. Loads
     * that are sent less often are valid for {@link #TTL_INTERVALS} intervals.
     */
    static final long LOAD_TTL_MS = 3_000;

    /** Intervals for which a load is valid. */
    static final long TTL_INTERVALS = 3;

    /** Members to which a member forwards a total. */
    static final int CHILDREN = 2;

    /** Maximum number of senders of a total, in case that routers disagree on the members. */
    static final int MAX_HOPS = 10;

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
    private boolean wasTotalEmpty = true;
    private long nextSendMs = Long.MIN_VALUE;
    private long nextTotalMs = Long.MIN_VALUE;

    private record TimedLoads(Map<Integer, EndpointLoad> loads, long deadlineMs) {}

    /**
     * Creates an exchange without loads.
     *
     * @param bytesPerS rate at which a member forwards the totals of one collector, in bytes/s
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

    /** Sets whether data centres exchange their sums, and the rate of the totals of one collector, in bytes/s. */
    public void configure(boolean newIsFleetWide, long newBytesPerS) {
        isFleetWide = newIsFleetWide;
        bytesPerS = newBytesPerS;
    }

    /** Advances the time and sends what is due. */
    public void tick(long nowMs, List<Envelope> out) {
        if (nowMs < nextSendMs && nowMs < nextTotalMs) {
            return;
        }
        List<String> collectors = RendezvousHash.top(KEY, peers.localIds(), COLLECTORS);
        if (nowMs >= nextSendMs) {
            nextSendMs = nowMs + sendOwnLoads(collectors, out);
        }
        if (nowMs >= nextTotalMs) {
            nextTotalMs = nowMs + (collectors.contains(peers.selfId()) ? sendTotals(nowMs, out) : INTERVAL_MS);
        }
    }

    /** Returns the time between two messages of a size to a number of receivers that keeps the byte rate, in ms. */
    private long intervalMs(int receivers, int bytes) {
        return Math.max(INTERVAL_MS, receivers * bytes * MS_PER_S / bytesPerS);
    }

    /** Handles the loads that another router sent. */
    public void onLoads(MemberInfo sender, boolean isLocal, EndpointLoads message, long nowMs, List<Envelope> out) {
        Map<Integer, EndpointLoad> loads = EndpointLoadCodec.decode(message.getLoads());
        long ttlMs = Math.max(
                LOAD_TTL_MS,
                TTL_INTERVALS * intervalMs(COLLECTORS, message.bufferForLoads().remaining()));
        TimedLoads timed = new TimedLoads(loads, nowMs + ttlMs);
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
                if (isLocal && message.isSetCollector()) {
                    onTotal(message, loads, out);
                }
            }
        }
    }

    private void onTotal(EndpointLoads message, Map<Integer, EndpointLoad> total, List<Envelope> out) {
        if (message.getHops() < MAX_HOPS) {
            sendToChildren(message.getCollector(), message.getHops(), message.bufferForLoads(), out);
        }
        boolean isCollector =
                RendezvousHash.top(KEY, peers.localIds(), COLLECTORS).contains(peers.selfId());
        if (!isCollector) {
            listener.accept(subtract(total, sentLoads));
        }
    }

    /** Sends the loads of this router and returns the time until they are sent again, in ms. */
    private long sendOwnLoads(List<String> collectors, List<Envelope> out) {
        boolean isStillIdle = ownLoads.isEmpty() && sentLoads.isEmpty();
        sentLoads = ownLoads;
        if (isStillIdle) {
            return INTERVAL_MS;
        }
        Message message = message(LoadScope.ROUTER, ownLoads);
        for (String collector : collectors) {
            Address address = collector.equals(peers.selfId()) ? null : peers.localAddress(collector);
            if (address != null) {
                out.add(new Envelope(address, message));
            }
        }
        return intervalMs(
                COLLECTORS, message.getEndpointLoads().bufferForLoads().remaining());
    }

    /** Adds up and sends the loads of all routers, and returns the time until that is due again, in ms. */
    private long sendTotals(long nowMs, List<Envelope> out) {
        loadsByMember.values().removeIf(timed -> timed.deadlineMs <= nowMs);
        loadsByDataCentre.values().removeIf(timed -> timed.deadlineMs <= nowMs);
        List<String> ids = peers.localIds();
        loadsByMember.keySet().retainAll(ids);
        Map<Integer, EndpointLoad> local = new HashMap<>(ownLoads);
        loadsByMember.values().forEach(timed -> addTo(local, timed.loads));
        if (isFleetWide && !local.isEmpty()) {
            sendToDataCentres(local, out);
        }
        Map<Integer, EndpointLoad> total = new HashMap<>(local);
        loadsByDataCentre.values().forEach(timed -> addTo(total, timed.loads));
        byte[] encoded = EndpointLoadCodec.encode(total, MAX_LOAD_BYTES);
        if (!total.isEmpty() || !wasTotalEmpty) {
            sendToChildren(peers.selfId(), 0, ByteBuffer.wrap(encoded), out);
        }
        wasTotalEmpty = total.isEmpty();
        listener.accept(subtract(total, ownLoads));
        return intervalMs(CHILDREN, encoded.length);
    }

    /**
     * Returns the members in the order in which the tree of a collector is filled. The other collectors come last,
     * because the tree of a collector matters most when another one fails.
     */
    private List<String> treeOrder(String collector) {
        List<String> ids = peers.localIds();
        List<String> order = new ArrayList<>(List.of(collector));
        List<String> collectors = RendezvousHash.top(KEY, ids, COLLECTORS);
        for (String id : RendezvousHash.top(KEY + "/" + collector, ids, ids.size())) {
            if (!id.equals(collector) && !collectors.contains(id)) {
                order.add(id);
            }
        }
        collectors.stream().filter(id -> !id.equals(collector)).forEach(order::add);
        return order;
    }

    /** Sends a total to the members below this one in the tree of its collector, which is a binary heap. */
    private void sendToChildren(String collector, int hops, ByteBuffer loads, List<Envelope> out) {
        List<String> order = treeOrder(collector);
        int position = order.indexOf(peers.selfId());
        EndpointLoads total = new EndpointLoads(LoadScope.FLEET, loads);
        total.setCollector(collector);
        total.setHops(hops + 1);
        Message message = Message.endpointLoads(total);
        for (int child = CHILDREN * position + 1; child <= CHILDREN * (position + 1); child++) {
            Address address = child < order.size() ? peers.localAddress(order.get(child)) : null;
            if (address != null) {
                out.add(new Envelope(address, message));
            }
        }
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
        return Message.endpointLoads(new EndpointLoads(scope, ByteBuffer.wrap(encoded)));
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

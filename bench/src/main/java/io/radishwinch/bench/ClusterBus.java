package io.radishwinch.bench;

import io.radishwinch.cluster.OutgoingFrame;
import io.radishwinch.cluster.PeerNode;
import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.Seed;
import io.radishwinch.protocol.FrameCodec;
import io.radishwinch.protocol.FrameDecoder;
import io.radishwinch.protocol.FrameException;
import io.radishwinch.protocol.generated.Frame;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;

/** Routers' shared state on a virtual clock: delivers encoded frames between nodes, with loss and delay. */
final class ClusterBus {
    private static final long START_MS = 1_700_000_000_000L;
    private static final long SETTLE_MS = 8_000;
    private static final long MAX_DELAY_MS = 2;

    final List<Router> routers = new ArrayList<>();
    final Random random;
    double loss;
    long nowMs = START_MS;

    /** Told of every millisecond, for other parts on the same clock. */
    LongConsumer clock = ms -> {};

    private final PriorityQueue<InFlight> queue = new PriorityQueue<>();
    private long order;

    /** A node and its counters. */
    static final class Router {
        final PeerNode node;
        final Address address;
        boolean alive = true;
        long sentBytes;
        long cpuNs;

        Router(PeerNode node, Address address) {
            this.node = node;
            this.address = address;
        }
    }

    private record InFlight(long atMs, long order, Address to, byte[] bytes) implements Comparable<InFlight> {
        @Override
        public int compareTo(InFlight other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** Starts the routers and lets them find each other. */
    ClusterBus(int dataCentres, int perDataCentre, long seed) {
        random = new Random(seed);
        List<Seed> seeds = new ArrayList<>();
        for (int d = 0; d < dataCentres; d++) {
            for (int i = 0; i < perDataCentre; i++) {
                seeds.add(new Seed("dc" + d + "-r" + i, "dc" + d, new Address("10.0." + d + "." + i, 7_400)));
            }
        }
        for (Seed seedOf : seeds) {
            PeerNode node = new PeerNode(seedOf.id(), seedOf.dataCentre(), seedOf.address(), nowMs, random.nextLong());
            Router router = new Router(node, seedOf.address());
            routers.add(router);
            send(router, node.join(seeds, nowMs));
        }
        runFor(SETTLE_MS);
    }

    List<PeerNode> nodes() {
        return routers.stream().filter(r -> r.alive).map(r -> r.node).toList();
    }

    void runFor(long durationMs) {
        runUntil(nowMs + durationMs, () -> false);
    }

    /** Runs until a condition holds; returns the time it took in ms, or infinity. */
    double runUntilHolds(long durationMs, BooleanSupplier condition) {
        long startMs = nowMs;
        runUntil(nowMs + durationMs, condition);
        return condition.getAsBoolean() ? nowMs - startMs : Double.POSITIVE_INFINITY;
    }

    private void runUntil(long endMs, BooleanSupplier condition) {
        while (nowMs < endMs && !condition.getAsBoolean()) {
            nowMs++;
            clock.accept(nowMs);
            while (!queue.isEmpty() && queue.peek().atMs() <= nowMs) {
                deliver(queue.poll());
            }
            for (Router router : routers) {
                long phase = Math.floorMod(router.address.hashCode(), PeerNode.TICK_INTERVAL_MS);
                if (router.alive && nowMs % PeerNode.TICK_INTERVAL_MS == phase) {
                    long startNs = System.nanoTime();
                    List<OutgoingFrame> outgoing = router.node.tick(nowMs);
                    router.cpuNs += System.nanoTime() - startNs;
                    send(router, outgoing);
                }
            }
        }
    }

    private void send(Router sender, List<OutgoingFrame> outgoing) {
        for (OutgoingFrame next : outgoing) {
            try {
                byte[] bytes = FrameCodec.encode(next.frame());
                sender.sentBytes += bytes.length;
                if (random.nextDouble() >= loss) {
                    queue.add(new InFlight(
                            nowMs + random.nextLong(MAX_DELAY_MS + 1), order++, next.destination(), bytes));
                }
            } catch (FrameException e) {
                throw new IllegalStateException("frame cannot be encoded", e);
            }
        }
    }

    private void deliver(InFlight next) {
        for (Router receiver : routers) {
            if (!receiver.alive || !receiver.address.equals(next.to())) {
                continue;
            }
            try {
                for (Frame frame : new FrameDecoder().feed(next.bytes(), 0, next.bytes().length)) {
                    long startNs = System.nanoTime();
                    List<OutgoingFrame> outgoing = receiver.node.receive(frame, nowMs);
                    receiver.cpuNs += System.nanoTime() - startNs;
                    send(receiver, outgoing);
                }
            } catch (FrameException e) {
                throw new IllegalStateException("frame cannot be decoded", e);
            }
        }
    }
}

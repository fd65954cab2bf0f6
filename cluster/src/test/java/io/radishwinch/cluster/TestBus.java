package io.radishwinch.cluster;

import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.Seed;
import io.radishwinch.protocol.FrameCodec;
import io.radishwinch.protocol.FrameDecoder;
import io.radishwinch.protocol.FrameException;
import io.radishwinch.protocol.generated.Frame;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/** Message bus with a virtual clock, which delivers encoded frames between nodes and injects faults. */
final class TestBus {

    final Map<Address, Router> routers = new TreeMap<>(java.util.Comparator.comparing(Address::toString));
    final Random random;
    double lossProbability;
    double duplicationProbability;
    long maxDelayMs = 2;
    BiPredicate<Address, Address> isBlocked = (from, to) -> false;
    long nowMs;
    private long order;
    private final PriorityQueue<InFlight> queue = new PriorityQueue<>(
            java.util.Comparator.comparingLong(InFlight::atMs).thenComparingLong(InFlight::order));

    /** A node with its clock skew and traffic counters. */
    static final class Router {
        final PeerNode node;
        final long clockSkewMs;
        final Map<String, Long> bytesByMessage = new HashMap<>();
        boolean isPaused;
        long sentBytes;
        long sentFrames;
        long cpuNs;

        Router(PeerNode node, long skewMs) {
            this.node = node;
            this.clockSkewMs = skewMs;
        }
    }

    private record InFlight(long atMs, long order, Address from, Address to, byte[] bytes) {}

    TestBus(long seed) {
        random = new Random(seed);
    }

    static Address address(String dataCentre, int index) {
        return new Address("10.0." + dataCentre.substring(2) + "." + index, 7400);
    }

    static Seed seed(String dataCentre, int index) {
        return new Seed(dataCentre + "-r" + index, dataCentre, address(dataCentre, index));
    }

    static List<Seed> seeds(int dataCentres, int perDataCentre) {
        List<Seed> seeds = new ArrayList<>();
        for (int d = 0; d < dataCentres; d++) {
            for (int i = 0; i < perDataCentre; i++) {
                seeds.add(seed("dc" + d, i));
            }
        }
        return seeds;
    }

    /** Starts a process at the address of the seed. */
    Router start(Seed self, List<Seed> seeds, long skewMs) {
        long incarnation = 1_700_000_000_000L + nowMs + skewMs;
        Router router = new Router(
                new PeerNode(self.id(), self.dataCentre(), self.address(), incarnation, random.nextLong()), skewMs);
        routers.put(self.address(), router);
        send(self.address(), router.node.join(seeds, nowMs + skewMs));
        return router;
    }

    void startAll(List<Seed> seeds) {
        seeds.forEach(seed -> start(seed, seeds, 0));
    }

    PeerNode node(String dataCentre, int index) {
        return routers.get(address(dataCentre, index)).node;
    }

    void send(Address from, List<OutgoingFrame> outgoing) {
        for (OutgoingFrame next : outgoing) {
            byte[] bytes;
            try {
                bytes = FrameCodec.encode(next.frame());
            } catch (FrameException e) {
                throw new AssertionError(e);
            }
            Router sender = routers.get(from);
            if (sender != null) {
                sender.sentBytes += bytes.length;
                sender.sentFrames++;
                sender.bytesByMessage.merge(
                        next.frame().getMessage().getSetField().name(), (long) bytes.length, Long::sum);
            }
            int copies =
                    random.nextDouble() < lossProbability ? 0 : random.nextDouble() < duplicationProbability ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                long delayMs = random.nextLong(maxDelayMs + 1);
                queue.add(new InFlight(nowMs + delayMs, order++, from, next.destination(), bytes));
            }
        }
    }

    /** Runs until the given time. */
    void runUntil(long endMs) {
        while (nowMs < endMs) {
            nowMs++;
            while (!queue.isEmpty() && queue.peek().atMs() <= nowMs) {
                deliver(queue.poll());
            }
            for (Map.Entry<Address, Router> entry : List.copyOf(routers.entrySet())) {
                Router router = entry.getValue();
                long phase = Math.floorMod(entry.getKey().hashCode(), PeerNode.TICK_INTERVAL_MS);
                if (!router.isPaused && nowMs % PeerNode.TICK_INTERVAL_MS == phase) {
                    long startNs = System.nanoTime();
                    List<OutgoingFrame> outgoing = router.node.tick(nowMs + router.clockSkewMs);
                    router.cpuNs += System.nanoTime() - startNs;
                    send(entry.getKey(), outgoing);
                }
            }
        }
    }

    void runFor(long durationMs) {
        runUntil(nowMs + durationMs);
    }

    private void deliver(InFlight next) {
        Router receiver = routers.get(next.to());
        if (receiver == null || isBlocked.test(next.from(), next.to())) {
            return;
        }
        if (receiver.isPaused) {
            // The sockets of a paused process buffer arriving frames until it resumes.
            queue.add(new InFlight(nowMs + 50, order++, next.from(), next.to(), next.bytes()));
            return;
        }
        try {
            for (Frame frame : new FrameDecoder().feed(next.bytes(), 0, next.bytes().length)) {
                long startNs = System.nanoTime();
                List<OutgoingFrame> outgoing = receiver.node.receive(frame, nowMs + receiver.clockSkewMs);
                receiver.cpuNs += System.nanoTime() - startNs;
                send(next.to(), outgoing);
            }
        } catch (FrameException e) {
            throw new AssertionError(e);
        }
    }
}

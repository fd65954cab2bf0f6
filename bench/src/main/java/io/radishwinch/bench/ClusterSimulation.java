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

/** Simulates the peer protocol of routers on a virtual clock, with loss and delay of the encoded frames. */
final class ClusterSimulation {
    private static final long START_MS = 1_700_000_000_000L;
    private static final long MEMBERSHIP_CONVERGENCE_MS = 8_000;
    private static final long MAX_DELAY_MS = 2;

    final List<SimulatedRouter> routers = new ArrayList<>();
    final Random random;
    double frameLossRatio;
    long nowMs = START_MS;

    /** Called with the time of each simulated millisecond, to drive other components on the same clock. */
    LongConsumer clockListener = ms -> {};

    private final PriorityQueue<InFlightFrame> inFlightFrames = new PriorityQueue<>();
    private long nextSequence;

    /** A peer node with the bytes that it sent and the CPU time that it used. */
    static final class SimulatedRouter {
        final PeerNode node;
        final Address address;
        boolean isAlive = true;
        long sentBytes;
        long cpuNs;

        SimulatedRouter(PeerNode node, Address address) {
            this.node = node;
            this.address = address;
        }
    }

    private record InFlightFrame(long deliverAtMs, long sequence, Address receiver, byte[] bytes)
            implements Comparable<InFlightFrame> {
        @Override
        public int compareTo(InFlightFrame other) {
            int byTime = Long.compare(deliverAtMs, other.deliverAtMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** Starts the routers and runs the simulation until the membership has converged. */
    ClusterSimulation(int dataCentres, int routersPerDataCentre, long seed) {
        random = new Random(seed);
        List<Seed> seeds = new ArrayList<>();
        for (int d = 0; d < dataCentres; d++) {
            for (int i = 0; i < routersPerDataCentre; i++) {
                seeds.add(new Seed("dc" + d + "-r" + i, "dc" + d, new Address("10.0." + d + "." + i, 7_400)));
            }
        }
        for (Seed routerSeed : seeds) {
            PeerNode node = new PeerNode(
                    routerSeed.id(), routerSeed.dataCentre(), routerSeed.address(), nowMs, random.nextLong());
            SimulatedRouter router = new SimulatedRouter(node, routerSeed.address());
            routers.add(router);
            send(router, node.join(seeds, nowMs));
        }
        runFor(MEMBERSHIP_CONVERGENCE_MS);
    }

    List<PeerNode> liveNodes() {
        return routers.stream().filter(r -> r.isAlive).map(r -> r.node).toList();
    }

    void runFor(long durationMs) {
        runUntil(nowMs + durationMs, () -> false);
    }

    /** Runs until a condition is true; returns the elapsed time in ms, or infinity after {@code durationMs}. */
    double runUntilTrue(long durationMs, BooleanSupplier condition) {
        long startMs = nowMs;
        runUntil(nowMs + durationMs, condition);
        return condition.getAsBoolean() ? nowMs - startMs : Double.POSITIVE_INFINITY;
    }

    private void runUntil(long endMs, BooleanSupplier condition) {
        while (nowMs < endMs && !condition.getAsBoolean()) {
            nowMs++;
            clockListener.accept(nowMs);
            while (!inFlightFrames.isEmpty() && inFlightFrames.peek().deliverAtMs() <= nowMs) {
                deliver(inFlightFrames.poll());
            }
            for (SimulatedRouter router : routers) {
                long phaseMs = Math.floorMod(router.address.hashCode(), PeerNode.TICK_INTERVAL_MS);
                if (router.isAlive && nowMs % PeerNode.TICK_INTERVAL_MS == phaseMs) {
                    long startNs = System.nanoTime();
                    List<OutgoingFrame> outgoing = router.node.tick(nowMs);
                    router.cpuNs += System.nanoTime() - startNs;
                    send(router, outgoing);
                }
            }
        }
    }

    private void send(SimulatedRouter sender, List<OutgoingFrame> outgoing) {
        for (OutgoingFrame message : outgoing) {
            try {
                byte[] bytes = FrameCodec.encode(message.frame());
                sender.sentBytes += bytes.length;
                if (random.nextDouble() >= frameLossRatio) {
                    inFlightFrames.add(new InFlightFrame(
                            nowMs + random.nextLong(MAX_DELAY_MS + 1), nextSequence++, message.destination(), bytes));
                }
            } catch (FrameException e) {
                throw new IllegalStateException("frame cannot be encoded", e);
            }
        }
    }

    private void deliver(InFlightFrame inFlight) {
        for (SimulatedRouter receiver : routers) {
            if (!receiver.isAlive || !receiver.address.equals(inFlight.receiver())) {
                continue;
            }
            try {
                for (Frame frame : new FrameDecoder().feed(inFlight.bytes(), 0, inFlight.bytes().length)) {
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

package io.radishwinch.bench;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RequestSpec;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/** Time and memory of the decision core in real time: one decision, one tick, one tracked entity. */
final class SpeedMeasures {
    static final int DESIGN_ENDPOINTS = 480;
    static final int LARGE_ENDPOINTS = 5_800;
    static final int CALLERS = 1_300;

    private static final int LINKS_PER_ENDPOINT = 16;
    private static final int WARM_UP_DECISIONS = 20_000;
    private static final int DECISIONS = 20_000;
    private static final int WARM_UP_TICKS = 2_000;
    private static final int TICKS = 2_000;
    private static final int MANY_CALLERS = 20_000;
    private static final int MANY_REQUESTS = 9_000;
    private static final int TICKS_PER_S = 20;
    private static final long TICK_MS = 50;

    /** Share of the slots that is in use while decisions are measured. */
    private static final double OCCUPANCY = 0.5;

    private SpeedMeasures() {}

    /** A core without engines behind it: attempts are accepted and stay until they are finished. */
    static final class Bench {
        final CoreParts parts;
        final List<Action.StartAttempt> running = new ArrayList<>();
        long nowMs;
        private long number;

        Bench(int endpoints, int callers) {
            parts = new CoreParts(new EnginePool(endpoints, Runs.SEED, LINKS_PER_ENDPOINT), config(callers));
            // Slow start and the estimate of the bound end within 30 s.
            for (; nowMs < 30_000; nowMs += TICK_MS) {
                if (nowMs % 1_000 == 0) {
                    parts.report(nowMs);
                }
                parts.core.handle(new Event.Tick(), nowMs);
            }
        }

        /** Fills the pool up to the given share of the chains it can run, or until a request waits. */
        void fill(double occupancy) {
            int slots = parts.pool.specs.stream().mapToInt(spec -> spec.slots()).sum();
            long used = 0;
            while (used < occupancy * slots) {
                Action.StartAttempt start = arrive();
                if (start == null) {
                    return;
                }
                used += start.chain().stages().size();
            }
        }

        /** Lets a request arrive and returns its attempt, or null if it waits. */
        Action.StartAttempt arrive() {
            String id = "r" + number++;
            RequestSpec spec = new RequestSpec(
                    id,
                    "caller-" + number % 10,
                    Rank.INTERACTIVE,
                    EnginePool.MODEL.name(),
                    150,
                    150,
                    nowMs,
                    nowMs + 60_000,
                    id,
                    List.of(),
                    true);
            for (Action action : parts.core.handle(new Event.RequestArrived(spec), nowMs)) {
                if (action instanceof Action.StartAttempt start) {
                    running.add(start);
                    return start;
                }
            }
            return null;
        }

        /** Finishes the attempt that runs for the longest time. */
        void finish(int index) {
            Action.StartAttempt done = running.remove(index);
            parts.core.handle(new Event.AttemptFinished(done.requestId(), done.epoch(), 150), nowMs);
        }
    }

    static FleetConfig config(int callers) {
        Contract[] contracts = new Contract[callers];
        for (int i = 0; i < callers; i++) {
            contracts[i] = Runs.contract("caller-" + i, 10);
        }
        return Runs.config(contracts);
    }

    /** One decision is an arrival up to its start; an attempt of before has finished. */
    static List<Figure> decision() {
        List<Figure> figures = new ArrayList<>();
        double small = decisionNs(DESIGN_ENDPOINTS, figures);
        double large = decisionNs(LARGE_ENDPOINTS, figures);
        figures.add(Figure.of(
                "speed.decision.growth-of-median-480-to-5800", large / small, Targets.DECISION_GROWTH, "ratio"));
        return figures;
    }

    private static double decisionNs(int endpoints, List<Figure> figures) {
        Bench bench = new Bench(endpoints, 10);
        bench.fill(OCCUPANCY);
        Histogram histogram = new Histogram(3);
        for (int i = 0; i < WARM_UP_DECISIONS + DECISIONS; i++) {
            bench.nowMs += i % 50 == 0 ? 1 : 0;
            long startNs = System.nanoTime();
            Action.StartAttempt start = bench.arrive();
            long ns = System.nanoTime() - startNs;
            if (i >= WARM_UP_DECISIONS) {
                histogram.recordValue(ns);
            }
            if (start != null) {
                bench.finish(i % bench.running.size());
            }
        }
        boolean design = endpoints == DESIGN_ENDPOINTS;
        figures.add(Figure.of(
                "speed.decision.p50-at-" + endpoints,
                histogram.getValueAtPercentile(50) / 1e3,
                Figure.Target.NONE,
                "us"));
        figures.add(Figure.of(
                "speed.decision.p99-at-" + endpoints,
                histogram.getValueAtPercentile(99) / 1e3,
                design ? Targets.DECISION_P99_US : Figure.Target.NONE,
                "us"));
        return histogram.getValueAtPercentile(50);
    }

    /** Ticks with half of the slots in use; load reports of all endpoints arrive once a second and count too. */
    static List<Figure> tick() {
        List<Figure> figures = new ArrayList<>();
        for (int endpoints : new int[] {DESIGN_ENDPOINTS, LARGE_ENDPOINTS}) {
            Bench bench = new Bench(endpoints, CALLERS);
            bench.fill(OCCUPANCY);
            Histogram histogram = new Histogram(3);
            long reportNs = 0;
            for (int i = 0; i < WARM_UP_TICKS + TICKS; i++) {
                bench.nowMs += TICK_MS;
                if (i % TICKS_PER_S == 0) {
                    long startNs = System.nanoTime();
                    bench.parts.report(bench.nowMs);
                    reportNs += i >= WARM_UP_TICKS ? System.nanoTime() - startNs : 0;
                }
                long startNs = System.nanoTime();
                bench.parts.core.handle(new Event.Tick(), bench.nowMs);
                if (i >= WARM_UP_TICKS) {
                    histogram.recordValue(System.nanoTime() - startNs);
                }
            }
            double seconds = (double) TICKS / TICKS_PER_S;
            String at = "-at-" + endpoints + "-endpoints";
            Figure.Target share = endpoints == DESIGN_ENDPOINTS ? Targets.CONTROL_CORE_SHARE : Figure.Target.NONE;
            figures.add(Figure.of(
                    "speed.tick.p99" + at, histogram.getValueAtPercentile(99) / 1e3, Figure.Target.NONE, "us"));
            figures.add(Figure.of(
                    "speed.tick.core-share" + at, histogram.getMean() * TICKS / 1e9 / seconds, share, "cores"));
            figures.add(Figure.of(
                    "speed.tick.reports-core-share" + at, reportNs / 1e9 / seconds, Figure.Target.NONE, "cores"));
        }
        return figures;
    }

    /** Used heap of a core with many more entities than another, divided by their number. */
    static List<Figure> memory() {
        // The first round loads classes and fills caches.
        heapBytes(() -> new Bench(DESIGN_ENDPOINTS, 10));
        double small = heapBytes(() -> new Bench(DESIGN_ENDPOINTS, 10));
        double endpoints = heapBytes(() -> new Bench(LARGE_ENDPOINTS, 10));
        double callers = heapBytes(() -> new Bench(DESIGN_ENDPOINTS, MANY_CALLERS + 10));
        long[] held = new long[1];
        Supplier<Bench> withRequests = () -> {
            Bench bench = new Bench(DESIGN_ENDPOINTS, 10);
            for (int i = 0; i < MANY_REQUESTS; i++) {
                bench.arrive();
            }
            held[0] = bench.parts.core.view().queued() + bench.parts.core.view().running();
            return bench;
        };
        // What earlier rounds left behind is freed in this round and would make the result too small.
        heapBytes(withRequests);
        double requests = heapBytes(withRequests);
        return List.of(
                bytes("endpoint", (endpoints - small) / (LARGE_ENDPOINTS - DESIGN_ENDPOINTS)),
                bytes("caller", (callers - small) / MANY_CALLERS),
                bytes("request", (requests - small) / held[0]),
                Figure.of("speed.memory.requests-held", held[0], Figure.Target.NONE, "requests"),
                Figure.of("speed.memory.core-at-480-endpoints", small / 1e6, Figure.Target.NONE, "MB"));
    }

    private static Figure bytes(String entity, double value) {
        return Figure.of("speed.memory.per-" + entity, value, Figure.Target.NONE, "bytes");
    }

    private static double heapBytes(Supplier<Bench> supplier) {
        long before = usedBytes();
        Bench bench = supplier.get();
        long after = usedBytes();
        Reference.reachabilityFence(bench);
        return (double) after - before;
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}

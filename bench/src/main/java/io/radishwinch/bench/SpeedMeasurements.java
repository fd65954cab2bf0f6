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
final class SpeedMeasurements {
    static final int DESIGN_ENDPOINTS = 480;
    static final int LARGE_ENDPOINTS = 5_800;
    static final int CALLER_COUNT = 1_300;

    private static final int LINKS_PER_ENDPOINT = 16;
    private static final int WARM_UP_DECISIONS = 20_000;
    private static final int DECISIONS = 20_000;
    private static final int WARM_UP_TICKS = 2_000;
    private static final int TICKS = 2_000;
    private static final int ADDED_CALLERS = 20_000;
    private static final int ADDED_REQUESTS = 9_000;
    private static final int TICKS_PER_S = 20;
    private static final long TICK_INTERVAL_MS = 50;

    /** Share of the slots that is in use while decisions are measured. */
    private static final double OCCUPANCY = 0.5;

    private SpeedMeasurements() {}

    /** A core without engines behind it: attempts are accepted and stay until they are finished. */
    static final class CoreHarness {
        final CoreFixture fixture;
        final List<Action.StartAttempt> runningAttempts = new ArrayList<>();
        long nowMs;
        private long requestCount;

        CoreHarness(int endpoints, int callers) {
            fixture = new CoreFixture(
                    new EnginePool(endpoints, Simulations.SEED, LINKS_PER_ENDPOINT), fleetConfig(callers));
            // Slow start and the estimate of the bound end within 30 s.
            for (; nowMs < 30_000; nowMs += TICK_INTERVAL_MS) {
                if (nowMs % 1_000 == 0) {
                    fixture.reportIdleLoad(nowMs);
                }
                fixture.core.handle(new Event.Tick(), nowMs);
            }
        }

        /** Fills the pool up to the given share of the chains it can run, or until a request waits. */
        void fillSlots(double occupancy) {
            int slots =
                    fixture.pool.specs.stream().mapToInt(spec -> spec.slots()).sum();
            long used = 0;
            while (used < occupancy * slots) {
                Action.StartAttempt start = submitRequest();
                if (start == null) {
                    return;
                }
                used += start.chain().stages().size();
            }
        }

        /** Lets a request arrive and returns its attempt, or null if it waits. */
        Action.StartAttempt submitRequest() {
            String id = "r" + requestCount++;
            RequestSpec spec = new RequestSpec(
                    id,
                    "caller-" + requestCount % 10,
                    Rank.INTERACTIVE,
                    EnginePool.MODEL.name(),
                    150,
                    150,
                    nowMs,
                    nowMs + 60_000,
                    id,
                    List.of(),
                    true);
            for (Action action : fixture.core.handle(new Event.RequestArrived(spec), nowMs)) {
                if (action instanceof Action.StartAttempt start) {
                    runningAttempts.add(start);
                    return start;
                }
            }
            return null;
        }

        /** Finishes the attempt that runs for the longest time. */
        void finishAttempt(int index) {
            Action.StartAttempt done = runningAttempts.remove(index);
            fixture.core.handle(new Event.AttemptFinished(done.requestId(), done.epoch(), 150), nowMs);
        }
    }

    static FleetConfig fleetConfig(int callers) {
        Contract[] contracts = new Contract[callers];
        for (int i = 0; i < callers; i++) {
            contracts[i] = Simulations.contract("caller-" + i, 10);
        }
        return Simulations.fleetConfig(contracts);
    }

    /** One decision is an arrival up to its start; an attempt of before has finished. */
    static List<Figure> decisionTime() {
        List<Figure> figures = new ArrayList<>();
        double small = medianDecisionNs(DESIGN_ENDPOINTS, figures);
        double large = medianDecisionNs(LARGE_ENDPOINTS, figures);
        figures.add(Figure.of(
                "speed.decision.growth-of-median-480-to-5800", large / small, Targets.DECISION_GROWTH, "ratio"));
        return figures;
    }

    private static double medianDecisionNs(int endpoints, List<Figure> figures) {
        CoreHarness bench = new CoreHarness(endpoints, 10);
        bench.fillSlots(OCCUPANCY);
        Histogram histogram = new Histogram(3);
        for (int i = 0; i < WARM_UP_DECISIONS + DECISIONS; i++) {
            bench.nowMs += i % 50 == 0 ? 1 : 0;
            long startNs = System.nanoTime();
            Action.StartAttempt start = bench.submitRequest();
            long ns = System.nanoTime() - startNs;
            if (i >= WARM_UP_DECISIONS) {
                histogram.recordValue(ns);
            }
            if (start != null) {
                bench.finishAttempt(i % bench.runningAttempts.size());
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
    static List<Figure> tickTime() {
        List<Figure> figures = new ArrayList<>();
        for (int endpoints : new int[] {DESIGN_ENDPOINTS, LARGE_ENDPOINTS}) {
            CoreHarness bench = new CoreHarness(endpoints, CALLER_COUNT);
            bench.fillSlots(OCCUPANCY);
            Histogram histogram = new Histogram(3);
            long reportNs = 0;
            for (int i = 0; i < WARM_UP_TICKS + TICKS; i++) {
                bench.nowMs += TICK_INTERVAL_MS;
                if (i % TICKS_PER_S == 0) {
                    long startNs = System.nanoTime();
                    bench.fixture.reportIdleLoad(bench.nowMs);
                    reportNs += i >= WARM_UP_TICKS ? System.nanoTime() - startNs : 0;
                }
                long startNs = System.nanoTime();
                bench.fixture.core.handle(new Event.Tick(), bench.nowMs);
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
    static List<Figure> memoryUse() {
        // The first round loads classes and fills caches.
        measureHeapBytes(() -> new CoreHarness(DESIGN_ENDPOINTS, 10));
        double small = measureHeapBytes(() -> new CoreHarness(DESIGN_ENDPOINTS, 10));
        double endpoints = measureHeapBytes(() -> new CoreHarness(LARGE_ENDPOINTS, 10));
        double callers = measureHeapBytes(() -> new CoreHarness(DESIGN_ENDPOINTS, ADDED_CALLERS + 10));
        long[] held = new long[1];
        Supplier<CoreHarness> withRequests = () -> {
            CoreHarness bench = new CoreHarness(DESIGN_ENDPOINTS, 10);
            for (int i = 0; i < ADDED_REQUESTS; i++) {
                bench.submitRequest();
            }
            held[0] = bench.fixture.core.view().queued()
                    + bench.fixture.core.view().running();
            return bench;
        };
        // What earlier rounds left behind is freed in this round and would make the result too small.
        measureHeapBytes(withRequests);
        double requests = measureHeapBytes(withRequests);
        return List.of(
                memoryFigure("endpoint", (endpoints - small) / (LARGE_ENDPOINTS - DESIGN_ENDPOINTS)),
                memoryFigure("caller", (callers - small) / ADDED_CALLERS),
                memoryFigure("request", (requests - small) / held[0]),
                Figure.of("speed.memory.requests-held", held[0], Figure.Target.NONE, "requests"),
                Figure.of("speed.memory.core-at-480-endpoints", small / 1e6, Figure.Target.NONE, "MB"));
    }

    private static Figure memoryFigure(String entity, double value) {
        return Figure.of("speed.memory.per-" + entity, value, Figure.Target.NONE, "bytes");
    }

    private static double measureHeapBytes(Supplier<CoreHarness> supplier) {
        long before = usedHeapBytes();
        CoreHarness bench = supplier.get();
        long after = usedHeapBytes();
        Reference.reachabilityFence(bench);
        return (double) after - before;
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}

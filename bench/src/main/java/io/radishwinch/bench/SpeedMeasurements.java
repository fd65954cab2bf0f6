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

/** Measures the time of a decision and of a tick, and the memory per endpoint, caller and request. */
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

    /** Share of the slots in use during the measurements. */
    private static final double OCCUPANCY = 0.5;

    private SpeedMeasurements() {}

    /** A core without engines, whose attempts run until {@link #finishAttempt} finishes them. */
    static final class CoreHarness {
        final CoreFixture fixture;
        final List<Action.StartAttempt> runningAttempts = new ArrayList<>();
        long nowMs;
        private long requestCount;

        CoreHarness(int endpoints, int callers) {
            fixture = new CoreFixture(
                    new EnginePool(endpoints, Simulations.SEED, LINKS_PER_ENDPOINT), fleetConfig(callers));
            // Slow start and the estimate of the throughput bound are complete within 30 s.
            for (; nowMs < 30_000; nowMs += TICK_INTERVAL_MS) {
                if (nowMs % 1_000 == 0) {
                    fixture.reportIdleLoad(nowMs);
                }
                fixture.core.handle(new Event.Tick(), nowMs);
            }
        }

        /** Submits requests until the given share of the slots is in use or a request is queued. */
        void fillSlots(double occupancy) {
            int slots =
                    fixture.pool.specs.stream().mapToInt(spec -> spec.slots()).sum();
            long usedSlots = 0;
            while (usedSlots < occupancy * slots) {
                Action.StartAttempt start = submitRequest();
                if (start == null) {
                    return;
                }
                usedSlots += start.chain().stages().size();
            }
        }

        /** Submits a request and returns its attempt, or null if the request is queued. */
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

        /** Finishes the running attempt with the given index. */
        void finishAttempt(int index) {
            Action.StartAttempt finished = runningAttempts.remove(index);
            fixture.core.handle(new Event.AttemptFinished(finished.requestId(), finished.epoch(), 150), nowMs);
        }
    }

    static FleetConfig fleetConfig(int callers) {
        Contract[] contracts = new Contract[callers];
        for (int i = 0; i < callers; i++) {
            contracts[i] = Simulations.contract("caller-" + i, 10);
        }
        return Simulations.fleetConfig(contracts);
    }

    /** Returns the time from the arrival of a request to the start of its attempt, in a pool with free slots. */
    static List<Figure> decisionTime() {
        List<Figure> figures = new ArrayList<>();
        double small = medianDecisionNs(DESIGN_ENDPOINTS, figures);
        double large = medianDecisionNs(LARGE_ENDPOINTS, figures);
        figures.add(Figure.of(
                "speed.decision.growth-of-median-480-to-5800", large / small, Targets.DECISION_GROWTH, "ratio"));
        return figures;
    }

    private static double medianDecisionNs(int endpoints, List<Figure> figures) {
        CoreHarness harness = new CoreHarness(endpoints, 10);
        harness.fillSlots(OCCUPANCY);
        Histogram histogram = new Histogram(3);
        for (int i = 0; i < WARM_UP_DECISIONS + DECISIONS; i++) {
            harness.nowMs += i % 50 == 0 ? 1 : 0;
            long startNs = System.nanoTime();
            Action.StartAttempt start = harness.submitRequest();
            long ns = System.nanoTime() - startNs;
            if (i >= WARM_UP_DECISIONS) {
                histogram.recordValue(ns);
            }
            if (start != null) {
                harness.finishAttempt(i % harness.runningAttempts.size());
            }
        }
        boolean isDesignSize = endpoints == DESIGN_ENDPOINTS;
        figures.add(Figure.of(
                "speed.decision.p50-at-" + endpoints,
                histogram.getValueAtPercentile(50) / 1e3,
                Figure.Target.NONE,
                "us"));
        figures.add(Figure.of(
                "speed.decision.p99-at-" + endpoints,
                histogram.getValueAtPercentile(99) / 1e3,
                isDesignSize ? Targets.DECISION_P99_US : Figure.Target.NONE,
                "us"));
        return histogram.getValueAtPercentile(50);
    }

    /** Returns the time of ticks and of load reports with half of the slots in use; endpoints report once a second. */
    static List<Figure> tickTime() {
        List<Figure> figures = new ArrayList<>();
        for (int endpoints : new int[] {DESIGN_ENDPOINTS, LARGE_ENDPOINTS}) {
            CoreHarness harness = new CoreHarness(endpoints, CALLER_COUNT);
            harness.fillSlots(OCCUPANCY);
            Histogram histogram = new Histogram(3);
            long reportNs = 0;
            for (int i = 0; i < WARM_UP_TICKS + TICKS; i++) {
                harness.nowMs += TICK_INTERVAL_MS;
                if (i % TICKS_PER_S == 0) {
                    long startNs = System.nanoTime();
                    harness.fixture.reportIdleLoad(harness.nowMs);
                    reportNs += i >= WARM_UP_TICKS ? System.nanoTime() - startNs : 0;
                }
                long startNs = System.nanoTime();
                harness.fixture.core.handle(new Event.Tick(), harness.nowMs);
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

    /** Returns the heap per entity: the heap that additional entities use, divided by their number. */
    static List<Figure> memoryUse() {
        // The first round loads classes and fills caches.
        measureHeapBytes(() -> new CoreHarness(DESIGN_ENDPOINTS, 10));
        double small = measureHeapBytes(() -> new CoreHarness(DESIGN_ENDPOINTS, 10));
        double endpoints = measureHeapBytes(() -> new CoreHarness(LARGE_ENDPOINTS, 10));
        double callers = measureHeapBytes(() -> new CoreHarness(DESIGN_ENDPOINTS, ADDED_CALLERS + 10));
        long[] held = new long[1];
        Supplier<CoreHarness> withRequests = () -> {
            CoreHarness harness = new CoreHarness(DESIGN_ENDPOINTS, 10);
            for (int i = 0; i < ADDED_REQUESTS; i++) {
                harness.submitRequest();
            }
            held[0] = harness.fixture.core.view().queued()
                    + harness.fixture.core.view().running();
            return harness;
        };
        // Runs twice: the first run frees garbage of earlier measurements, which would reduce the measured heap growth.
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
        CoreHarness harness = supplier.get();
        long after = usedHeapBytes();
        Reference.reachabilityFence(harness);
        return (double) after - before;
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}

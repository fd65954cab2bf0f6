package io.radishwinch.bench;

import io.radishwinch.core.event.Event;
import io.radishwinch.core.impl.CoreSettings;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.placement.AlwaysGrantedLease;
import io.radishwinch.core.placement.PlacementPlanner;
import io.radishwinch.core.placement.PlacementSettings;
import io.radishwinch.core.quarantine.QuarantineSettings;
import io.radishwinch.core.retry.RetrySettings;
import java.util.List;
import java.util.OptionalLong;

/** Recovery, retries and losses of the decision core when engines fail. */
final class FailureMeasurements {
    private static final long TIMEOUT_MS = 30_000;
    private static final long FAILURE_AT_MS = 30_000;
    private static final long DETECTION_DELAY_MS = 100;
    private static final int WINDOW_S = 3;
    private static final double OVERLOAD_FACTOR = 1.5;

    private FailureMeasurements() {}

    static List<Figure> recovery() {
        Figure throughput = throughputAfterFailure();
        return List.of(coverageAfterFailure(), throughput);
    }

    /** Kills the only holder of a quarter of the layers; the time includes loading 5.4 GB at 1 GB/s. */
    private static Figure coverageAfterFailure() {
        List<LayerRange> ranges = List.of(
                new LayerRange(0, 10),
                new LayerRange(10, 20),
                new LayerRange(10, 20),
                new LayerRange(20, 30),
                new LayerRange(20, 30),
                new LayerRange(30, 40),
                new LayerRange(30, 40));
        PlacementPlanner placement = new PlacementPlanner(
                PlacementSettings.forStore(EngineSimulation.WEIGHT_STORE_BYTES_PER_S),
                new AlwaysGrantedLease(),
                endpointId -> OptionalLong.of(0));
        EngineSimulation run = Simulations.simulation(
                new EnginePool(ranges, Simulations.SEED),
                Simulations.COST_PLANNER,
                Simulations.RANKED_QUEUE,
                CoreSettings.defaults(),
                placement,
                Simulations.fleetConfig(Simulations.contract("app", 0)));
        Simulations.addArrivals(run, "app", Rank.INTERACTIVE, 200, 0, 2 * FAILURE_AT_MS, TIMEOUT_MS);
        run.schedule(FAILURE_AT_MS, () -> run.failEngine(0, DETECTION_DELAY_MS));
        run.runUntil(FAILURE_AT_MS + DETECTION_DELAY_MS);
        double loadMs = 10 * EnginePool.MODEL.layerBytes() / EngineSimulation.WEIGHT_STORE_BYTES_PER_S * 1_000;
        while (!run.core.view().pools().get(0).isCovered() && run.nowMs < 2 * FAILURE_AT_MS) {
            run.runUntil(run.nowMs + 10);
        }
        boolean covered = run.core.view().pools().get(0).isCovered();
        return Figure.of(
                "core.recovery.full-coverage vs loading alone",
                covered ? run.nowMs - FAILURE_AT_MS : Double.POSITIVE_INFINITY,
                Figure.Target.NONE,
                "ms",
                loadMs);
    }

    private static Figure throughputAfterFailure() {
        double bound = CoreMeasurements.poolBoundTokensPerS();
        EngineSimulation run = Simulations.simulation(
                Simulations.fleetConfig(Simulations.contract("app", 0)), Simulations.RANKED_QUEUE);
        long endMs = FAILURE_AT_MS + 40_000;
        Simulations.addArrivals(run, "app", Rank.INTERACTIVE, OVERLOAD_FACTOR * bound, 0, endMs, TIMEOUT_MS);
        run.schedule(FAILURE_AT_MS, () -> run.failEngine(0, DETECTION_DELAY_MS));
        run.runUntil(endMs);
        double remaining = Simulations.throughputBoundTokensPerS(run);
        double recoveredMs = Double.POSITIVE_INFINITY;
        for (long second = FAILURE_AT_MS / 1_000; second + WINDOW_S <= endMs / 1_000; second++) {
            if (run.deliveredTokensPerS(second, second + WINDOW_S) >= Targets.THROUGHPUT_SHARE.bound() * remaining) {
                recoveredMs = second * 1_000.0 - FAILURE_AT_MS;
                break;
            }
        }
        return Figure.of("core.recovery.0.95-of-remaining-bound", recoveredMs, Figure.Target.NONE, "ms");
    }

    static List<Figure> outage() {
        return List.of(Figure.of(
                "core.outage.retries-per-request vs no budget",
                retriesPerRequest(CoreSettings.defaults()),
                Targets.RETRY_SHARE,
                "ratio",
                retriesPerRequest(CoreSettings.defaults()
                        .withRetry(RetrySettings.defaults().withBudget(1, 1, 1e9, Integer.MAX_VALUE)))));
    }

    /** Refuses everything for 60 s, at half of the bound. */
    private static double retriesPerRequest(CoreSettings settings) {
        EngineSimulation run = Simulations.simulation(
                Simulations.pool(),
                Simulations.COST_PLANNER,
                Simulations.RANKED_QUEUE,
                settings,
                null,
                Simulations.fleetConfig(Simulations.contract("app", 0)));
        long endMs = FAILURE_AT_MS + 60_000;
        double tokensPerS = 0.5 * CoreMeasurements.poolBoundTokensPerS();
        Simulations.addArrivals(run, "app", Rank.INTERACTIVE, tokensPerS, 0, FAILURE_AT_MS, TIMEOUT_MS);
        long load = Simulations.addArrivals(run, "app", Rank.INTERACTIVE, tokensPerS, FAILURE_AT_MS, endMs, TIMEOUT_MS);
        run.schedule(FAILURE_AT_MS, () -> run.isOutage = true);
        run.runUntil(FAILURE_AT_MS);
        long before = run.retries;
        run.runUntil(endMs);
        return (double) (run.retries - before) / load;
    }

    static List<Figure> crashingRequest() {
        QuarantineSettings off = QuarantineSettings.defaults().withTimes(0, 0, 0);
        return List.of(Figure.of(
                "core.crash.endpoints-lost vs no quarantine",
                endpointsLost(CoreSettings.defaults()),
                Targets.ENDPOINTS_LOST,
                "endpoints",
                endpointsLost(CoreSettings.defaults().withQuarantine(off))));
    }

    /** Sends a request that crashes each endpoint 20 times, among ordinary load. */
    private static double endpointsLost(CoreSettings settings) {
        EngineSimulation run = Simulations.simulation(
                Simulations.pool(),
                Simulations.COST_PLANNER,
                Simulations.RANKED_QUEUE,
                settings,
                null,
                Simulations.fleetConfig(Simulations.contract("app", 0), Simulations.contract("resender", 0)));
        run.crashingFingerprint = "crashing";
        Simulations.addArrivals(
                run,
                "app",
                Rank.INTERACTIVE,
                0.3 * CoreMeasurements.poolBoundTokensPerS(),
                0,
                2 * FAILURE_AT_MS,
                TIMEOUT_MS);
        for (int i = 0; i < 20; i++) {
            long arrivedAtMs = FAILURE_AT_MS + i * 1_000L;
            run.addArrival(new RequestSpec(
                    "crashing-" + i,
                    "resender",
                    Rank.INTERACTIVE,
                    EnginePool.MODEL.name(),
                    100,
                    100,
                    arrivedAtMs,
                    arrivedAtMs + TIMEOUT_MS,
                    run.crashingFingerprint,
                    List.of(),
                    true));
        }
        run.runUntil(2 * FAILURE_AT_MS);
        return run.failedEngines.size();
    }

    /** Time from the indication at this router to its last new work on the endpoint, at half of the bound. */
    static List<Figure> leavingDelay() {
        double tokensPerS = 0.5 * CoreMeasurements.poolBoundTokensPerS();
        EngineSimulation run = Simulations.simulation(
                Simulations.fleetConfig(Simulations.contract("app", 0)), Simulations.RANKED_QUEUE);
        Simulations.addArrivals(run, "app", Rank.INTERACTIVE, tokensPerS, 0, 2 * FAILURE_AT_MS, TIMEOUT_MS);
        String id = run.pool.id(0);
        run.schedule(FAILURE_AT_MS, () -> run.handle(new Event.EndpointLeaving(id)));
        run.runUntil(2 * FAILURE_AT_MS);
        long lastMs = run.lastAttemptStartMs.getOrDefault(id, 0L);
        return List.of(
                Figure.of("core.leaving.last-new-work", Math.max(0, lastMs - FAILURE_AT_MS), Targets.LEAVING_MS, "ms"));
    }
}

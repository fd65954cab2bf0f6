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

/** Measures recovery, retries and lost endpoints when engines fail. */
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

    /**
     * Returns the time to full coverage after the only holder of a quarter of the layers crashes.
     *
     * <p>The time includes loading 5.4 GB at 1 GB/s.
     */
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
        EngineSimulation simulation = Simulations.simulation(
                new EnginePool(ranges, Simulations.SEED),
                Simulations.COST_PLANNER,
                Simulations.RANKED_QUEUE,
                CoreSettings.defaults(),
                placement,
                Simulations.fleetConfig(Simulations.contract("app", 0)));
        Simulations.addArrivals(simulation, "app", Rank.INTERACTIVE, 200, 0, 2 * FAILURE_AT_MS, TIMEOUT_MS);
        simulation.schedule(FAILURE_AT_MS, () -> simulation.failEngine(0, DETECTION_DELAY_MS));
        simulation.runUntil(FAILURE_AT_MS + DETECTION_DELAY_MS);
        double loadMs = 10 * EnginePool.MODEL.layerBytes() / EngineSimulation.WEIGHT_STORE_BYTES_PER_S * 1_000;
        while (!simulation.core.view().pools().get(0).isCovered() && simulation.nowMs < 2 * FAILURE_AT_MS) {
            simulation.runUntil(simulation.nowMs + 10);
        }
        boolean isCovered = simulation.core.view().pools().get(0).isCovered();
        return Figure.of(
                "core.recovery.full-coverage vs loading alone",
                isCovered ? simulation.nowMs - FAILURE_AT_MS : Double.POSITIVE_INFINITY,
                Figure.Target.NONE,
                "ms",
                loadMs);
    }

    private static Figure throughputAfterFailure() {
        double boundTokensPerS = CoreMeasurements.poolBoundTokensPerS();
        EngineSimulation simulation = Simulations.simulation(
                Simulations.fleetConfig(Simulations.contract("app", 0)), Simulations.RANKED_QUEUE);
        long endMs = FAILURE_AT_MS + 40_000;
        Simulations.addArrivals(
                simulation, "app", Rank.INTERACTIVE, OVERLOAD_FACTOR * boundTokensPerS, 0, endMs, TIMEOUT_MS);
        simulation.schedule(FAILURE_AT_MS, () -> simulation.failEngine(0, DETECTION_DELAY_MS));
        simulation.runUntil(endMs);
        double remainingBoundTokensPerS = Simulations.throughputBoundTokensPerS(simulation);
        double recoveredMs = Double.POSITIVE_INFINITY;
        for (long second = FAILURE_AT_MS / 1_000; second + WINDOW_S <= endMs / 1_000; second++) {
            if (simulation.deliveredTokensPerS(second, second + WINDOW_S)
                    >= Targets.THROUGHPUT_SHARE.bound() * remainingBoundTokensPerS) {
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

    /**
     * Returns the retries per request while all engines refuse all attempts for 60 s, at half of the throughput bound.
     */
    private static double retriesPerRequest(CoreSettings settings) {
        EngineSimulation simulation = Simulations.simulation(
                Simulations.pool(),
                Simulations.COST_PLANNER,
                Simulations.RANKED_QUEUE,
                settings,
                null,
                Simulations.fleetConfig(Simulations.contract("app", 0)));
        long endMs = FAILURE_AT_MS + 60_000;
        double tokensPerS = 0.5 * CoreMeasurements.poolBoundTokensPerS();
        Simulations.addArrivals(simulation, "app", Rank.INTERACTIVE, tokensPerS, 0, FAILURE_AT_MS, TIMEOUT_MS);
        long requests = Simulations.addArrivals(
                simulation, "app", Rank.INTERACTIVE, tokensPerS, FAILURE_AT_MS, endMs, TIMEOUT_MS);
        simulation.schedule(FAILURE_AT_MS, () -> simulation.isOutage = true);
        simulation.runUntil(FAILURE_AT_MS);
        long retriesBefore = simulation.retries;
        simulation.runUntil(endMs);
        return (double) (simulation.retries - retriesBefore) / requests;
    }

    static List<Figure> crashingRequest() {
        QuarantineSettings disabled = QuarantineSettings.defaults().withTimes(0, 0, 0);
        return List.of(Figure.of(
                "core.crash.endpoints-lost vs no quarantine",
                endpointsLost(CoreSettings.defaults()),
                Targets.ENDPOINTS_LOST,
                "endpoints",
                endpointsLost(CoreSettings.defaults().withQuarantine(disabled))));
    }

    /**
     * Returns the endpoints lost to 20 submissions of a request that crashes its first endpoint, under ordinary load.
     */
    private static double endpointsLost(CoreSettings settings) {
        EngineSimulation simulation = Simulations.simulation(
                Simulations.pool(),
                Simulations.COST_PLANNER,
                Simulations.RANKED_QUEUE,
                settings,
                null,
                Simulations.fleetConfig(Simulations.contract("app", 0), Simulations.contract("resender", 0)));
        simulation.crashingFingerprint = "crashing";
        Simulations.addArrivals(
                simulation,
                "app",
                Rank.INTERACTIVE,
                0.3 * CoreMeasurements.poolBoundTokensPerS(),
                0,
                2 * FAILURE_AT_MS,
                TIMEOUT_MS);
        for (int i = 0; i < 20; i++) {
            long arrivedAtMs = FAILURE_AT_MS + i * 1_000L;
            simulation.addArrival(new RequestSpec(
                    "crashing-" + i,
                    "resender",
                    Rank.INTERACTIVE,
                    EnginePool.MODEL.name(),
                    100,
                    100,
                    arrivedAtMs,
                    arrivedAtMs + TIMEOUT_MS,
                    simulation.crashingFingerprint,
                    List.of(),
                    true));
        }
        simulation.runUntil(2 * FAILURE_AT_MS);
        return simulation.failedEngines.size();
    }

    /**
     * Returns the time from the leaving event of an endpoint until the last attempt starts on it.
     *
     * <p>The load is half of the throughput bound.
     */
    static List<Figure> leavingDelay() {
        double tokensPerS = 0.5 * CoreMeasurements.poolBoundTokensPerS();
        EngineSimulation simulation = Simulations.simulation(
                Simulations.fleetConfig(Simulations.contract("app", 0)), Simulations.RANKED_QUEUE);
        Simulations.addArrivals(simulation, "app", Rank.INTERACTIVE, tokensPerS, 0, 2 * FAILURE_AT_MS, TIMEOUT_MS);
        String id = simulation.pool.id(0);
        simulation.schedule(FAILURE_AT_MS, () -> simulation.handle(new Event.EndpointLeaving(id)));
        simulation.runUntil(2 * FAILURE_AT_MS);
        long lastStartMs = simulation.lastAttemptStartMs.getOrDefault(id, 0L);
        return List.of(Figure.of(
                "core.leaving.last-new-work", Math.max(0, lastStartMs - FAILURE_AT_MS), Targets.LEAVING_MS, "ms"));
    }
}

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
final class FailureMeasures {
    private static final long TIMEOUT_MS = 30_000;
    private static final long FAILURE_MS = 30_000;
    private static final long NOTICED_AFTER_MS = 100;
    private static final int WINDOW_S = 3;
    private static final double OVERLOAD = 1.5;

    private FailureMeasures() {}

    static List<Figure> recovery() {
        Figure throughput = throughputAfterDeath();
        return List.of(coverageAfterDeath(), throughput);
    }

    /** Kills the only holder of a quarter of the layers; the time includes loading 5.4 GB at 1 GB/s. */
    private static Figure coverageAfterDeath() {
        List<LayerRange> ranges = List.of(
                new LayerRange(0, 10),
                new LayerRange(10, 20),
                new LayerRange(10, 20),
                new LayerRange(20, 30),
                new LayerRange(20, 30),
                new LayerRange(30, 40),
                new LayerRange(30, 40));
        PlacementPlanner placement = new PlacementPlanner(
                PlacementSettings.forStore(EngineRun.WEIGHT_STORE_BYTES_PER_S),
                new AlwaysGrantedLease(),
                endpointId -> OptionalLong.of(0));
        EngineRun run = Runs.run(
                new EnginePool(ranges, Runs.SEED),
                Runs.COST,
                Runs.RANKED,
                CoreSettings.defaults(),
                placement,
                Runs.config(Runs.contract("app", 0)));
        Runs.load(run, "app", Rank.INTERACTIVE, 200, 0, 2 * FAILURE_MS, TIMEOUT_MS);
        run.at(FAILURE_MS, () -> run.kill(0, NOTICED_AFTER_MS));
        run.run(FAILURE_MS + NOTICED_AFTER_MS);
        double loadMs = 10 * EnginePool.MODEL.layerBytes() / EngineRun.WEIGHT_STORE_BYTES_PER_S * 1_000;
        while (!run.core.view().pools().get(0).isCovered() && run.nowMs < 2 * FAILURE_MS) {
            run.run(run.nowMs + 10);
        }
        boolean covered = run.core.view().pools().get(0).isCovered();
        return Figure.of(
                "core.recovery.full-coverage vs loading alone",
                covered ? run.nowMs - FAILURE_MS : Double.POSITIVE_INFINITY,
                Figure.Target.NONE,
                "ms",
                loadMs);
    }

    private static Figure throughputAfterDeath() {
        double bound = CoreMeasures.poolBoundTokensPerS();
        EngineRun run = Runs.run(Runs.config(Runs.contract("app", 0)), Runs.RANKED);
        long endMs = FAILURE_MS + 40_000;
        Runs.load(run, "app", Rank.INTERACTIVE, OVERLOAD * bound, 0, endMs, TIMEOUT_MS);
        run.at(FAILURE_MS, () -> run.kill(0, NOTICED_AFTER_MS));
        run.run(endMs);
        double remaining = Runs.boundTokensPerS(run);
        double recoveredMs = Double.POSITIVE_INFINITY;
        for (long second = FAILURE_MS / 1_000; second + WINDOW_S <= endMs / 1_000; second++) {
            if (run.tokensPerS(second, second + WINDOW_S) >= Targets.THROUGHPUT_SHARE.bound() * remaining) {
                recoveredMs = second * 1_000.0 - FAILURE_MS;
                break;
            }
        }
        return Figure.of("core.recovery.0.95-of-remaining-bound", recoveredMs, Figure.Target.NONE, "ms");
    }

    static List<Figure> outage() {
        return List.of(Figure.of(
                "core.outage.retries-per-request vs no budget",
                outage(CoreSettings.defaults()),
                Targets.RETRY_SHARE,
                "ratio",
                outage(CoreSettings.defaults()
                        .withRetry(RetrySettings.defaults().withBudget(1, 1, 1e9, Integer.MAX_VALUE)))));
    }

    /** Refuses everything for 60 s, at half of the bound. */
    private static double outage(CoreSettings settings) {
        EngineRun run =
                Runs.run(Runs.pool(), Runs.COST, Runs.RANKED, settings, null, Runs.config(Runs.contract("app", 0)));
        long endMs = FAILURE_MS + 60_000;
        double tokensPerS = 0.5 * CoreMeasures.poolBoundTokensPerS();
        Runs.load(run, "app", Rank.INTERACTIVE, tokensPerS, 0, FAILURE_MS, TIMEOUT_MS);
        long load = Runs.load(run, "app", Rank.INTERACTIVE, tokensPerS, FAILURE_MS, endMs, TIMEOUT_MS);
        run.at(FAILURE_MS, () -> run.outage = true);
        run.run(FAILURE_MS);
        long before = run.retries;
        run.run(endMs);
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
        EngineRun run = Runs.run(
                Runs.pool(),
                Runs.COST,
                Runs.RANKED,
                settings,
                null,
                Runs.config(Runs.contract("app", 0), Runs.contract("resender", 0)));
        run.crashingFingerprint = "crashing";
        Runs.load(
                run, "app", Rank.INTERACTIVE, 0.3 * CoreMeasures.poolBoundTokensPerS(), 0, 2 * FAILURE_MS, TIMEOUT_MS);
        for (int i = 0; i < 20; i++) {
            long arrivedAtMs = FAILURE_MS + i * 1_000L;
            run.arrive(new RequestSpec(
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
        run.run(2 * FAILURE_MS);
        return run.dead.size();
    }

    /** Time from the indication at this router to its last new work on the endpoint, at half of the bound. */
    static List<Figure> leaving() {
        double tokensPerS = 0.5 * CoreMeasures.poolBoundTokensPerS();
        EngineRun run = Runs.run(Runs.config(Runs.contract("app", 0)), Runs.RANKED);
        Runs.load(run, "app", Rank.INTERACTIVE, tokensPerS, 0, 2 * FAILURE_MS, TIMEOUT_MS);
        String id = run.pool.id(0);
        run.at(FAILURE_MS, () -> run.handle(new Event.EndpointLeaving(id)));
        run.run(2 * FAILURE_MS);
        long lastMs = run.lastStartMs.getOrDefault(id, 0L);
        return List.of(
                Figure.of("core.leaving.last-new-work", Math.max(0, lastMs - FAILURE_MS), Targets.LEAVING_MS, "ms"));
    }
}

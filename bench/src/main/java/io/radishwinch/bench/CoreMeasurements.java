package io.radishwinch.bench;

import io.radishwinch.core.chain.ChainPlanner;
import io.radishwinch.core.chain.EndpointTable;
import io.radishwinch.core.chain.FewestStagesChainPlanner;
import io.radishwinch.core.chain.LeastReportedChainPlanner;
import io.radishwinch.core.chain.RoundRobinChainPlanner;
import io.radishwinch.core.impl.CoreSettings;
import io.radishwinch.core.model.Rank;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

/** Measures throughput and latency of the decision core with each chain planner, on 40 engines of seven kinds. */
final class CoreMeasurements {
    private static final long WARM_UP_MS = 20_000;
    private static final long END_MS = 60_000;
    private static final long TIMEOUT_MS = 60_000;
    private static final double OVERLOAD_FACTOR = 1.5;
    private static final double ORDINARY_LOAD_FACTOR = 0.8;
    private static final double PERCENTILE = 0.95;

    /** Seeds of the pools on which throughput is measured. */
    private static final long[] POOL_SEEDS = {Simulations.SEED, 8, 9};

    private static final Map<Long, Double> BOUND_TOKENS_PER_S_BY_POOL_SEED = new HashMap<>();

    private CoreMeasurements() {}

    /** Returns the baseline planners by name. */
    private static Map<String, BiFunction<EndpointTable, Long, ChainPlanner>> baselinePlanners() {
        Map<String, BiFunction<EndpointTable, Long, ChainPlanner>> planners = new LinkedHashMap<>();
        planners.put("round-robin", (table, seed) -> new RoundRobinChainPlanner(table));
        planners.put("least-reported", (table, seed) -> new LeastReportedChainPlanner(table));
        planners.put("fewest-stages", (table, seed) -> new FewestStagesChainPlanner(table));
        return planners;
    }

    private static EngineSimulation runLoad(
            long poolSeed, BiFunction<EndpointTable, Long, ChainPlanner> planner, double tokensPerS) {
        EngineSimulation simulation = Simulations.simulation(
                new EnginePool(Simulations.ENGINE_COUNT, poolSeed, Simulations.ENGINE_COUNT - 1),
                planner,
                Simulations.RANKED_QUEUE,
                CoreSettings.defaults(),
                null,
                Simulations.fleetConfig(Simulations.contract("app", 0)));
        Simulations.addArrivals(simulation, "app", Rank.INTERACTIVE, tokensPerS, 0, END_MS, TIMEOUT_MS);
        simulation.runUntil(END_MS);
        return simulation;
    }

    /** Returns the throughput bound of {@link Simulations#pool()} for the simulated request sizes, in tokens/s. */
    static double poolBoundTokensPerS() {
        return BOUND_TOKENS_PER_S_BY_POOL_SEED.computeIfAbsent(Simulations.SEED, CoreMeasurements::boundTokensPerS);
    }

    /**
     * Returns the throughput bound that the core estimates after an overload, from which it learns the request sizes.
     */
    private static double boundTokensPerS(long poolSeed) {
        double estimate = Simulations.throughputBoundTokensPerS(runLoad(poolSeed, Simulations.COST_PLANNER, 1_000));
        return Simulations.throughputBoundTokensPerS(
                runLoad(poolSeed, Simulations.COST_PLANNER, OVERLOAD_FACTOR * estimate));
    }

    static List<Figure> throughput() {
        double[] shares = sharesOfBound(Simulations.COST_PLANNER);
        List<Figure> figures = new ArrayList<>();
        for (Map.Entry<String, BiFunction<EndpointTable, Long, ChainPlanner>> baseline :
                baselinePlanners().entrySet()) {
            figures.add(Figure.of(
                    "core.throughput.share-of-bound vs " + baseline.getKey(),
                    Arrays.stream(shares).average().orElse(0),
                    Targets.THROUGHPUT_SHARE,
                    "ratio",
                    Arrays.stream(sharesOfBound(baseline.getValue())).average().orElse(0)));
        }
        for (int i = 0; i < POOL_SEEDS.length; i++) {
            figures.add(Figure.of(
                    "core.throughput.share-of-bound-pool-" + POOL_SEEDS[i],
                    shares[i],
                    Targets.THROUGHPUT_SHARE,
                    "ratio"));
        }
        figures.add(Figure.of(
                "core.throughput.bound-pool-" + Simulations.SEED,
                poolBoundTokensPerS(),
                Figure.Target.NONE,
                "tokens/s"));
        return figures;
    }

    /** Returns the throughput of each pool relative to its throughput bound, with a load of 1.5 times the bound. */
    private static double[] sharesOfBound(BiFunction<EndpointTable, Long, ChainPlanner> planner) {
        return Arrays.stream(POOL_SEEDS)
                .mapToDouble(seed -> {
                    double bound =
                            BOUND_TOKENS_PER_S_BY_POOL_SEED.computeIfAbsent(seed, CoreMeasurements::boundTokensPerS);
                    return runLoad(seed, planner, OVERLOAD_FACTOR * bound)
                                    .deliveredTokensPerS(WARM_UP_MS / 1_000, END_MS / 1_000)
                            / bound;
                })
                .toArray();
    }

    static List<Figure> latency() {
        double tokensPerS = ORDINARY_LOAD_FACTOR * poolBoundTokensPerS();
        EngineSimulation costPlanner = runLoad(Simulations.SEED, Simulations.COST_PLANNER, tokensPerS);
        List<Figure> figures = new ArrayList<>();
        for (Map.Entry<String, BiFunction<EndpointTable, Long, ChainPlanner>> baseline :
                baselinePlanners().entrySet()) {
            EngineSimulation baselinePlanner = runLoad(Simulations.SEED, baseline.getValue(), tokensPerS);
            figures.add(Figure.of(
                    "core.latency.first-token-p95 vs " + baseline.getKey(),
                    firstTokenPercentileMs(costPlanner),
                    Targets.FIRST_TOKEN_MS,
                    "ms",
                    firstTokenPercentileMs(baselinePlanner)));
            figures.add(Figure.of(
                    "core.latency.token-interval-p95 vs " + baseline.getKey(),
                    percentile(costPlanner.tokenIntervalsMs),
                    Targets.TOKEN_INTERVAL_MS,
                    "ms",
                    percentile(baselinePlanner.tokenIntervalsMs)));
        }
        return figures;
    }

    /** Returns the 95th percentile of the time to the first token; a request without a token counts as infinite. */
    private static double firstTokenPercentileMs(EngineSimulation simulation) {
        List<Double> values = new ArrayList<>();
        for (RequestTrace trace : simulation.traces.values()) {
            long arrivedAtMs = trace.spec.arrivedAtMs();
            if (arrivedAtMs >= WARM_UP_MS && arrivedAtMs < END_MS - 5_000) {
                values.add(
                        trace.firstTokenAtMs < 0
                                ? Double.POSITIVE_INFINITY
                                : (double) trace.firstTokenAtMs - arrivedAtMs);
            }
        }
        return percentile(values);
    }

    private static double percentile(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.isEmpty() ? Double.NaN : sorted.get((int) (sorted.size() * PERCENTILE));
    }
}

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

/** Throughput and latency of the decision core with each planner, over 40 engines of seven kinds. */
final class CoreMeasures {
    private static final long WARM_UP_MS = 20_000;
    private static final long END_MS = 60_000;
    private static final long TIMEOUT_MS = 60_000;
    private static final double OVERLOAD = 1.5;
    private static final double ORDINARY_LOAD = 0.8;
    private static final double PERCENTILE = 0.95;

    /** Seeds of the pools over which throughput is measured. */
    private static final long[] POOL_SEEDS = {Runs.SEED, 8, 9};

    private static final Map<Long, Double> BOUNDS = new HashMap<>();

    private CoreMeasures() {}

    /** Returns the baseline planners by name. */
    private static Map<String, BiFunction<EndpointTable, Long, ChainPlanner>> baselines() {
        Map<String, BiFunction<EndpointTable, Long, ChainPlanner>> planners = new LinkedHashMap<>();
        planners.put("round-robin", (table, seed) -> new RoundRobinChainPlanner(table));
        planners.put("least-reported", (table, seed) -> new LeastReportedChainPlanner(table));
        planners.put("fewest-stages", (table, seed) -> new FewestStagesChainPlanner(table));
        return planners;
    }

    private static EngineRun run(
            long poolSeed, BiFunction<EndpointTable, Long, ChainPlanner> planner, double tokensPerS) {
        EngineRun run = Runs.run(
                new EnginePool(Runs.ENGINES, poolSeed, Runs.ENGINES - 1),
                planner,
                Runs.RANKED,
                CoreSettings.defaults(),
                null,
                Runs.config(Runs.contract("app", 0)));
        Runs.load(run, "app", Rank.INTERACTIVE, tokensPerS, 0, END_MS, TIMEOUT_MS);
        run.run(END_MS);
        return run;
    }

    /** Returns the bound of the pool of {@link Runs#pool()} for the request sizes of the runs, in tokens/s. */
    static double poolBoundTokensPerS() {
        return BOUNDS.computeIfAbsent(Runs.SEED, CoreMeasures::boundTokensPerS);
    }

    /** Returns the bound that the core knows after an overload, which shows it the sizes of the requests. */
    private static double boundTokensPerS(long poolSeed) {
        double estimate = Runs.boundTokensPerS(run(poolSeed, Runs.COST, 1_000));
        return Runs.boundTokensPerS(run(poolSeed, Runs.COST, OVERLOAD * estimate));
    }

    static List<Figure> throughput() {
        double[] value = shares(Runs.COST);
        List<Figure> figures = new ArrayList<>();
        for (Map.Entry<String, BiFunction<EndpointTable, Long, ChainPlanner>> baseline :
                baselines().entrySet()) {
            figures.add(Figure.of(
                    "core.throughput.share-of-bound vs " + baseline.getKey(),
                    Arrays.stream(value).average().orElse(0),
                    Targets.THROUGHPUT_SHARE,
                    "ratio",
                    Arrays.stream(shares(baseline.getValue())).average().orElse(0)));
        }
        for (int i = 0; i < POOL_SEEDS.length; i++) {
            figures.add(Figure.of(
                    "core.throughput.share-of-bound-pool-" + POOL_SEEDS[i],
                    value[i],
                    Targets.THROUGHPUT_SHARE,
                    "ratio"));
        }
        figures.add(Figure.of(
                "core.throughput.bound-pool-" + Runs.SEED, poolBoundTokensPerS(), Figure.Target.NONE, "tokens/s"));
        return figures;
    }

    /** Returns the delivered throughput of each pool relative to its bound, with arrivals of 1.5 times the bound. */
    private static double[] shares(BiFunction<EndpointTable, Long, ChainPlanner> planner) {
        return Arrays.stream(POOL_SEEDS)
                .mapToDouble(seed -> {
                    double bound = BOUNDS.computeIfAbsent(seed, CoreMeasures::boundTokensPerS);
                    return run(seed, planner, OVERLOAD * bound).tokensPerS(WARM_UP_MS / 1_000, END_MS / 1_000) / bound;
                })
                .toArray();
    }

    static List<Figure> latency() {
        double tokensPerS = ORDINARY_LOAD * poolBoundTokensPerS();
        EngineRun cost = run(Runs.SEED, Runs.COST, tokensPerS);
        List<Figure> figures = new ArrayList<>();
        for (Map.Entry<String, BiFunction<EndpointTable, Long, ChainPlanner>> baseline :
                baselines().entrySet()) {
            EngineRun other = run(Runs.SEED, baseline.getValue(), tokensPerS);
            figures.add(Figure.of(
                    "core.latency.first-token-p95 vs " + baseline.getKey(),
                    firstTokenMs(cost),
                    Targets.FIRST_TOKEN_MS,
                    "ms",
                    firstTokenMs(other)));
            figures.add(Figure.of(
                    "core.latency.token-interval-p95 vs " + baseline.getKey(),
                    percentile(cost.intervalsMs),
                    Targets.TOKEN_INTERVAL_MS,
                    "ms",
                    percentile(other.intervalsMs)));
        }
        return figures;
    }

    /** Returns the 95th percentile over all requests; one without a token counts as unbounded. */
    private static double firstTokenMs(EngineRun run) {
        List<Double> values = new ArrayList<>();
        for (RequestTrace trace : run.traces.values()) {
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

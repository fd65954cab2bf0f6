package io.radishwinch.bench;

import io.radishwinch.core.chain.FewestStagesChainPlanner;
import io.radishwinch.core.chain.LeastReportedChainPlanner;
import io.radishwinch.core.chain.RoundRobinChainPlanner;
import io.radishwinch.core.placement.BalancedLayout;
import io.radishwinch.core.placement.GreedyLayout;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Compares layouts and chain planners on pools with batched engines, with and without disturbances. */
final class PoolMeasurements {
    static final List<Setup> SETUPS = List.of(
            new Setup("39", 39, 3),
            new Setup("39-one-data-centre", 39, 1),
            new Setup("98", 98, 3),
            new Setup("216", 216, 3),
            new Setup("5800", 5_800, 3));

    static final PoolVariant PRODUCT = new PoolVariant("balanced", new BalancedLayout(), Simulations.COST_PLANNER);

    static final PoolVariant GREEDY_LAYOUT =
            new PoolVariant("greedy-layout", new GreedyLayout(), Simulations.COST_PLANNER);
    private static final List<PoolVariant> BASELINES = List.of(
            GREEDY_LAYOUT,
            new PoolVariant("round-robin", new BalancedLayout(), (table, seed) -> new RoundRobinChainPlanner(table)),
            new PoolVariant(
                    "least-reported", new BalancedLayout(), (table, seed) -> new LeastReportedChainPlanner(table)),
            new PoolVariant(
                    "fewest-stages", new BalancedLayout(), (table, seed) -> new FewestStagesChainPlanner(table)));

    /** Size from which only the layouts are compared, with few requests and a short time. */
    private static final int LARGE_SIZE = 1_000;

    private static final Load LARGE_POOL_LOAD = new Load(40, 5_000, 15_000);

    /**
     * Arrivals of a run.
     *
     * @param requestsPerS arrivals, in requests/s
     * @param disturbanceAfterMs time from the first arrivals to the disturbance, in ms
     * @param trafficMs time for which requests arrive, in ms
     */
    record Load(double requestsPerS, long disturbanceAfterMs, long trafficMs) {
        static Load perEngine(int size) {
            return new Load(size, 10_000, 40_000);
        }
    }

    /** Name and size of a pool, and the number of data centres over which it is spread. */
    record Setup(String name, int size, int dataCentres) {
        boolean isLarge() {
            return size >= LARGE_SIZE;
        }
    }

    private final List<PoolResult> results = new ArrayList<>();

    /** Returns the results of all runs so far. */
    List<PoolResult> results() {
        return List.copyOf(results);
    }

    /** Runs all variants and patterns on a pool. */
    List<Figure> run(Setup setup) {
        List<Figure> figures = new ArrayList<>();
        for (LoadPattern pattern : LoadPattern.values()) {
            PoolResult product = runVariant(setup, pattern, PRODUCT);
            for (PoolVariant baseline : setup.isLarge() ? List.of(GREEDY_LAYOUT) : BASELINES) {
                addFigures(figures, product, runVariant(setup, pattern, baseline));
            }
        }
        return figures;
    }

    private PoolResult runVariant(Setup setup, LoadPattern pattern, PoolVariant variant) {
        BatchingPoolSimulation simulation = new BatchingPoolSimulation(
                BatchingPool.create(setup.size(), setup.dataCentres(), Simulations.SEED), variant, Simulations.SEED);
        PoolResult result = setup.isLarge()
                ? run(simulation, setup.name(), pattern, variant.name(), LARGE_POOL_LOAD)
                : run(simulation, setup.name(), pattern, variant.name(), Load.perEngine(setup.size()));
        results.add(result);
        return result;
    }

    /** Simulates arrivals and a disturbance within their time, until every request has ended. */
    static PoolResult run(
            BatchingPoolSimulation simulation, String pool, LoadPattern pattern, String variant, Load load) {
        long fromMs = BatchingPoolSimulation.TRAFFIC_START_MS;
        long toMs = fromMs + load.trafficMs();
        simulation.addArrivals(load.requestsPerS(), fromMs, toMs);
        simulation.runUntil(fromMs + load.disturbanceAfterMs());
        pattern.apply(simulation, load.requestsPerS());
        simulation.runUntil(toMs);
        long maxTimeoutMs = simulation.pool.requestKinds().stream()
                .mapToLong(BatchingPool.RequestKind::timeoutMs)
                .max()
                .orElse(0);
        simulation.runUntil(toMs + maxTimeoutMs + 1_000);
        return PoolResult.of(simulation, pool, pattern, variant, fromMs, toMs);
    }

    private static void addFigures(List<Figure> figures, PoolResult product, PoolResult baseline) {
        Map<String, ToDoubleFunction<PoolResult>> values = new LinkedHashMap<>();
        values.put("in-time", PoolResult::inTime);
        values.put("late", PoolResult::late);
        values.put("refused", PoolResult::refused);
        values.put("failed", PoolResult::failed);
        values.put("refused-again", PoolResult::refusedAgain);
        values.put("busiest-entries", PoolResult::busiestEntries);
        values.put("busiest-pass-time", PoolResult::busiestPassTime);
        values.put("path-load", PoolResult::pathLoad);
        values.put("scarcest-slots", PoolResult::scarcestSlots);
        values.put("scarcest-requests", PoolResult::scarcestRequestsPerS);
        values.put("local-requests", PoolResult::localRequestsPerS);
        values.put("bound", PoolResult::boundTokensPerS);
        Map<String, String> units = Map.of(
                "scarcest-slots", "requests",
                "scarcest-requests", "requests/s",
                "local-requests", "requests/s",
                "bound", "tokens/s");
        String prefix = "pool." + product.pool() + "." + product.pattern().figureName() + ".";
        values.forEach((name, value) -> figures.add(Figure.of(
                prefix + name + " vs " + baseline.variant(),
                value.applyAsDouble(product),
                Figure.Target.NONE,
                units.getOrDefault(name, "ratio"),
                value.applyAsDouble(baseline))));
    }
}

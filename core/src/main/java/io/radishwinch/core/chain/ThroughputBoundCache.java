package io.radishwinch.core.chain;

import io.radishwinch.core.model.ModelSpec;
import java.util.Map;
import java.util.TreeMap;

/** Achievable throughput of each pool, recomputed when the table changed. */
final class ThroughputBoundCache {

    /** Shortest time between two calculations for one pool, in ms: many endpoints can change at once. */
    private static final long MIN_RECOMPUTE_INTERVAL_MS = 1_000;

    /** Age after which layer times, links and request sizes count as changed, in ms. */
    private static final long MAX_AGE_MS = 30_000;

    /** Chains added to one estimate on each tick, about 1 ms of work. */
    private static final int CHAINS_PER_TICK = 20;

    private final EndpointTable table;
    private final Map<String, Estimate> estimates = new TreeMap<>();

    private record Estimate(
            double maxFlowTokensPerS,
            PoolCapacity capacity,
            ChainPacking packing,
            long structureVersion,
            long computedAtMs) {

        double tokensPerS() {
            return packing == null ? maxFlowTokensPerS : Math.min(maxFlowTokensPerS, packing.tokensPerS());
        }
    }

    ThroughputBoundCache(EndpointTable table) {
        this.table = table;
    }

    /** Returns the smaller of the maximum flow and the packing of chains, less the share of slot time for prompts. */
    double tokensPerS(ModelSpec pool, long nowMs) {
        Estimate bound = estimates.get(pool.name());
        long ageMs = bound == null ? Long.MAX_VALUE : nowMs - bound.computedAtMs;
        boolean changed = bound == null || bound.structureVersion != table.structureVersion();
        if (ageMs >= MIN_RECOMPUTE_INTERVAL_MS && (changed || ageMs >= MAX_AGE_MS)) {
            bound = compute(pool, nowMs);
            estimates.put(pool.name(), bound);
        }
        PoolIndex index = table.pool(pool.name());
        return bound.tokensPerS() * (index == null ? 1 : index.generationShare());
    }

    /** Improves the estimates by a few chains, so that no single event takes long. */
    void refineEstimates() {
        for (Estimate bound : estimates.values()) {
            if (bound.packing != null && !bound.packing.hasConverged()) {
                bound.packing.addChains(CHAINS_PER_TICK);
                if (bound.packing.hasConverged()) {
                    bound.capacity.applyPrices(bound.packing);
                }
                return;
            }
        }
    }

    private Estimate compute(ModelSpec pool, long nowMs) {
        if (!table.isCovered(pool)) {
            return new Estimate(0, null, null, table.structureVersion(), nowMs);
        }
        PoolCapacity capacity = new PoolCapacity(table, pool, nowMs);
        ChainPacking packing = capacity.createPacking();
        packing.addChains(CHAINS_PER_TICK);
        return new Estimate(capacity.tokensPerS(), capacity, packing, table.structureVersion(), nowMs);
    }
}

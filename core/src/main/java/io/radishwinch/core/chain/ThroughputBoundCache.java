package io.radishwinch.core.chain;

import io.radishwinch.core.model.ModelSpec;
import java.util.Map;
import java.util.TreeMap;

/** Caches the throughput bound of each pool and recomputes it when the endpoint table has changed. */
final class ThroughputBoundCache {

    /**
     * Shortest time between two computations for one pool, in ms; limits the work when many endpoints change at once.
     */
    private static final long MIN_RECOMPUTE_INTERVAL_MS = 1_000;

    /**
     * Age in ms after which a bound is recomputed even if the table is unchanged, because layer times, links and
     * request sizes vary.
     */
    private static final long MAX_AGE_MS = 30_000;

    /** Chains added on each tick to the estimate of a pool of the reference size; takes about 1 ms. */
    private static final int CHAINS_PER_TICK = 20;

    /**
     * Held ranges of a pool up to which it is estimated at full pace. The work on a larger pool is spread over more
     * time, so that it takes the same share of the processor.
     */
    private static final int REFERENCE_RANGES = 40;

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

    /** Returns the smaller of the maximum flow and the chain packing, less the share of slot time that prompts use. */
    double tokensPerS(ModelSpec pool, long nowMs) {
        Estimate estimate = estimates.get(pool.name());
        long ageMs = estimate == null ? Long.MAX_VALUE : nowMs - estimate.computedAtMs;
        boolean isChanged = estimate == null || estimate.structureVersion != table.structureVersion();
        long minIntervalMs = (long) (MIN_RECOMPUTE_INTERVAL_MS * sizeFactor(pool.name()));
        if (ageMs >= minIntervalMs && (isChanged || ageMs >= MAX_AGE_MS)) {
            estimate = compute(pool, nowMs);
            estimates.put(pool.name(), estimate);
        }
        PoolIndex index = table.pool(pool.name());
        return estimate.tokensPerS() * (index == null ? 1 : index.generationShare());
    }

    /** Adds a few chains to one unfinished estimate, so that no single event takes long. */
    void refineEstimates() {
        for (Map.Entry<String, Estimate> entry : estimates.entrySet()) {
            Estimate estimate = entry.getValue();
            if (estimate.packing != null && !estimate.packing.hasConverged()) {
                estimate.packing.addChains(chainsPerStep(entry.getKey()));
                if (estimate.packing.hasConverged()) {
                    estimate.capacity.applyPrices(estimate.packing);
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
        packing.addChains(chainsPerStep(pool.name()));
        return new Estimate(capacity.tokensPerS(), capacity, packing, table.structureVersion(), nowMs);
    }

    /** Returns the size of a pool relative to the reference size, at least 1. */
    private double sizeFactor(String pool) {
        PoolIndex index = table.pool(pool);
        int ranges = index == null ? 0 : index.heldRanges().size();
        return Math.max(1, (double) ranges / REFERENCE_RANGES);
    }

    private int chainsPerStep(String pool) {
        return Math.max(1, (int) (CHAINS_PER_TICK / sizeFactor(pool)));
    }
}

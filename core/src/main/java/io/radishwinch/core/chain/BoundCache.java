package io.radishwinch.core.chain;

import io.radishwinch.core.model.ModelSpec;
import java.util.Map;
import java.util.TreeMap;

/** Achievable throughput of each pool, recomputed when the table changed. */
final class BoundCache {

    /** Shortest time between two calculations for one pool, in ms: many endpoints can change at once. */
    private static final long MIN_INTERVAL_MS = 1_000;

    /** Age after which layer times, links and request sizes count as changed, in ms. */
    private static final long MAX_AGE_MS = 30_000;

    /** Chains added to one estimate on each tick, about 1 ms of work. */
    private static final int CHAINS_PER_TICK = 20;

    private final EndpointTable table;
    private final Map<String, Bound> bounds = new TreeMap<>();

    private record Bound(
            double flowTokensPerS,
            PoolCapacity capacity,
            ChainPacking packing,
            long structureVersion,
            long computedAtMs) {

        double tokensPerS() {
            return packing == null ? flowTokensPerS : Math.min(flowTokensPerS, packing.tokensPerS());
        }
    }

    BoundCache(EndpointTable table) {
        this.table = table;
    }

    /** Returns the smaller of the maximum flow and the packing of chains, less the share of slot time for prompts. */
    double tokensPerS(ModelSpec pool, long nowMs) {
        Bound bound = bounds.get(pool.name());
        long ageMs = bound == null ? Long.MAX_VALUE : nowMs - bound.computedAtMs;
        boolean changed = bound == null || bound.structureVersion != table.structureVersion();
        if (ageMs >= MIN_INTERVAL_MS && (changed || ageMs >= MAX_AGE_MS)) {
            bound = compute(pool, nowMs);
            bounds.put(pool.name(), bound);
        }
        PoolIndex index = table.pool(pool.name());
        return bound.tokensPerS() * (index == null ? 1 : index.answerShare());
    }

    /** Improves the estimates by a few chains, so that no single event takes long. */
    void tick() {
        for (Bound bound : bounds.values()) {
            if (bound.packing != null && !bound.packing.isFinal()) {
                bound.packing.improve(CHAINS_PER_TICK);
                if (bound.packing.isFinal()) {
                    bound.capacity.applyPrices(bound.packing);
                }
                return;
            }
        }
    }

    private Bound compute(ModelSpec pool, long nowMs) {
        if (!table.isCovered(pool)) {
            return new Bound(0, null, null, table.structureVersion(), nowMs);
        }
        PoolCapacity capacity = new PoolCapacity(table, pool, nowMs);
        ChainPacking packing = capacity.packing();
        packing.improve(CHAINS_PER_TICK);
        return new Bound(capacity.tokensPerS(), capacity, packing, table.structureVersion(), nowMs);
    }
}

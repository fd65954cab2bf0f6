package io.radishwinch.core.chain;

import io.radishwinch.core.model.ModelSpec;
import java.util.HashMap;
import java.util.Map;

/** Achievable throughput of each pool, recomputed when the table changed. */
final class BoundCache {

    /** Shortest time between two calculations for one pool, in ms: many endpoints can change at once. */
    private static final long MIN_INTERVAL_MS = 1_000;

    /** Age after which layer times, links and request sizes count as changed, in ms. */
    private static final long MAX_AGE_MS = 30_000;

    private final EndpointTable table;
    private final Map<String, Bound> bounds = new HashMap<>();

    private record Bound(double tokensPerS, long structureVersion, long computedAtMs) {}

    BoundCache(EndpointTable table) {
        this.table = table;
    }

    double tokensPerS(ModelSpec pool, long nowMs) {
        Bound bound = bounds.get(pool.name());
        if (bound != null) {
            long ageMs = nowMs - bound.computedAtMs;
            boolean changed = bound.structureVersion != table.structureVersion();
            if (ageMs < MIN_INTERVAL_MS || !changed && ageMs < MAX_AGE_MS) {
                return bound.tokensPerS;
            }
        }
        double tokensPerS = table.isCovered(pool) ? new PoolCapacity(table, pool).tokensPerS() : 0;
        bounds.put(pool.name(), new Bound(tokensPerS, table.structureVersion(), nowMs));
        return tokensPerS;
    }
}

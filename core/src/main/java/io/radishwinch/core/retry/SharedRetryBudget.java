package io.radishwinch.core.retry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * This router's part of a limit that holds for all routers together, over a sliding window.
 *
 * <p>Every router counts its own first attempts and takes an equal part of the reserve, so that the parts add up to no
 * more than the limit without any exchange of messages. The number of routers is the largest of late: one that was just
 * lost has used its part.
 */
final class SharedRetryBudget implements RetryBudget {

    /** Part of the limit that is used; the rest covers retries that arrive together after waiting. */
    private static final double USED_SHARE = 0.9;

    /** Part of the budget that is open to requests whose callers have received nothing and can come back. */
    private static final double UNSTARTED_SHARE = 0.6;

    /** Largest part of the budget that one caller may use. */
    private static final double MAX_CALLER_SHARE = 0.5;

    /** Time for which the largest number of routers is remembered, in ms; a partition or a restart takes less. */
    private static final long ROUTER_COUNT_TTL_MS = 60_000;

    private final DeploymentRetryLimit limit;
    private final int outageFailures;
    private final Map<String, Pool> pools;
    private int routerCount;
    private long routerCountSetAtMs;

    /** First attempts, retries and failures of one pool. */
    private static final class Pool {
        private final SlidingWindowCounter firstAttempts;
        private final SlidingWindowCounter retries;
        private final Map<String, SlidingWindowCounter> retriesByCaller = new HashMap<>();
        private int consecutiveFailures;

        Pool(long windowMs) {
            firstAttempts = new SlidingWindowCounter(windowMs);
            retries = new SlidingWindowCounter(windowMs);
        }
    }

    SharedRetryBudget(DeploymentRetryLimit limit, RetrySettings settings) {
        this.limit = limit;
        this.outageFailures = settings.outageFailures();
        int maxEntries = settings.maxEntries();
        this.pools = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Pool> eldest) {
                return size() > maxEntries;
            }
        };
    }

    @Override
    public void recordFirstAttempt(String caller, String pool, long nowMs) {
        pool(pool).firstAttempts.add(nowMs);
    }

    @Override
    public void recordCompletion(String caller, String pool, long nowMs) {
        pool(pool).consecutiveFailures = 0;
    }

    @Override
    public void recordFailure(String pool, long nowMs) {
        pool(pool).consecutiveFailures++;
    }

    @Override
    public boolean tryWithdraw(String caller, String name, boolean hasStarted, long nowMs) {
        Pool pool = pool(name);
        double allowed = allowedRetries(pool, nowMs) * (hasStarted ? 1 : UNSTARTED_SHARE);
        pool.retriesByCaller.values().removeIf(counter -> counter.count(nowMs) == 0);
        SlidingWindowCounter callers =
                pool.retriesByCaller.computeIfAbsent(caller, key -> new SlidingWindowCounter(limit.windowMs()));
        boolean isWithin = pool.retries.count(nowMs) + 1 <= allowed;
        boolean isCallerWithin = callers.count(nowMs) + 1 <= Math.max(1, MAX_CALLER_SHARE * allowed);
        if (!isWithin || !isCallerWithin) {
            return false;
        }
        pool.retries.add(nowMs);
        callers.add(nowMs);
        return true;
    }

    @Override
    public void setRouterCount(int newRouters, long nowMs) {
        if (newRouters >= routerCount || nowMs - routerCountSetAtMs >= ROUTER_COUNT_TTL_MS) {
            routerCount = newRouters;
            routerCountSetAtMs = nowMs;
        }
    }

    /** While nothing completes, only the part that grows with the load is used, since retries help nobody. */
    private double allowedRetries(Pool pool, long nowMs) {
        boolean isOutage = pool.consecutiveFailures > outageFailures;
        double reserve = routerCount == 0 || isOutage ? 0 : limit.reserve() / routerCount;
        return USED_SHARE * (limit.ratio() * pool.firstAttempts.count(nowMs) + reserve);
    }

    private Pool pool(String name) {
        return pools.computeIfAbsent(name, key -> new Pool(limit.windowMs()));
    }
}

package io.radishwinch.core.retry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * This router's share of a retry limit for all routers, over a sliding window.
 *
 * <p>Each router counts its local first attempts and uses an equal share of the reserve, so that the shares do not
 * exceed the limit, without messages between routers. The number of routers is the peak of a recent period, because a
 * router that was just lost may have used its share.
 */
final class SharedRetryBudget implements RetryBudget {

    /** Used fraction of the limit; the rest covers retries that are sent together after their waits. */
    private static final double USED_SHARE = 0.9;

    /** Fraction of the budget for requests whose callers have received no tokens yet and can retry themselves. */
    private static final double UNSTARTED_SHARE = 0.6;

    /** Largest fraction of the budget that one caller may use. */
    private static final double MAX_CALLER_SHARE = 0.5;

    /** Retention of the peak number of routers, in ms; longer than a partition or a restart lasts. */
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
    public boolean tryWithdraw(String caller, String poolName, boolean hasStarted, long nowMs) {
        Pool pool = pool(poolName);
        double allowed = allowedRetries(pool, nowMs) * (hasStarted ? 1 : UNSTARTED_SHARE);
        pool.retriesByCaller.values().removeIf(counter -> counter.count(nowMs) == 0);
        SlidingWindowCounter callerRetries =
                pool.retriesByCaller.computeIfAbsent(caller, key -> new SlidingWindowCounter(limit.windowMs()));
        boolean isWithin = pool.retries.count(nowMs) + 1 <= allowed;
        boolean isCallerWithin = callerRetries.count(nowMs) + 1 <= Math.max(1, MAX_CALLER_SHARE * allowed);
        if (!isWithin || !isCallerWithin) {
            return false;
        }
        pool.retries.add(nowMs);
        callerRetries.add(nowMs);
        return true;
    }

    @Override
    public void setRouterCount(int newRouterCount, long nowMs) {
        if (newRouterCount >= routerCount || nowMs - routerCountSetAtMs >= ROUTER_COUNT_TTL_MS) {
            routerCount = newRouterCount;
            routerCountSetAtMs = nowMs;
        }
    }

    /** Returns the retries allowed in the window; in an outage, only those in proportion to the load. */
    private double allowedRetries(Pool pool, long nowMs) {
        boolean isOutage = pool.consecutiveFailures > outageFailures;
        double reserve = routerCount == 0 || isOutage ? 0 : limit.reserve() / routerCount;
        return USED_SHARE * (limit.ratio() * pool.firstAttempts.count(nowMs) + reserve);
    }

    private Pool pool(String name) {
        return pools.computeIfAbsent(name, key -> new Pool(limit.windowMs()));
    }
}

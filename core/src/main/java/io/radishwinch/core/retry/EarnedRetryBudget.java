package io.radishwinch.core.retry;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Retry budget with a token bucket per caller and per pool; a retry takes one token from both.
 *
 * <p>Most of the tokens are added when a request completes and few when it starts, so that a total outage, in which no
 * request completes, adds few tokens. The balance is limited to the tokens that the load of one window adds, so that
 * retries follow the load and a period without failures does not accumulate a burst of retries.
 */
final class EarnedRetryBudget implements RetryBudget {

    private static final double MS_PER_S = 1_000.0;

    private final RetrySettings settings;
    private final Map<String, Bucket> callers;
    private final Map<String, Bucket> pools;

    /** Creates a budget whose buckets start at the smallest balance limit. */
    EarnedRetryBudget(RetrySettings settings) {
        this.settings = settings;
        this.callers = boundedMap(settings.maxEntries());
        this.pools = boundedMap(settings.maxEntries());
    }

    /** Adds the tokens of a first attempt that starts. */
    @Override
    public void recordFirstAttempt(String caller, String pool, long nowMs) {
        caller(caller, nowMs).recordAttempt(settings, nowMs);
        pool(pool, nowMs).recordAttempt(settings, nowMs);
    }

    /** Adds the tokens of a completed request. */
    @Override
    public void recordCompletion(String caller, String pool, long nowMs) {
        double amount = settings.ratio() - settings.attemptRatio();
        caller(caller, nowMs).deposit(settings, amount);
        Bucket poolBucket = pool(pool, nowMs);
        poolBucket.deposit(settings, amount);
        poolBucket.consecutiveFailures = 0;
    }

    /**
     * Records a failed attempt; after too many without a completed request, the pool counts as down and loses its
     * balance.
     */
    @Override
    public void recordFailure(String pool, long nowMs) {
        Bucket bucket = pool(pool, nowMs);
        bucket.consecutiveFailures++;
        if (bucket.consecutiveFailures == settings.outageFailures() + 1) {
            bucket.balance = 0;
        }
    }

    @Override
    public boolean tryWithdraw(String caller, String pool, boolean hasStarted, long nowMs) {
        Bucket callerBucket = caller(caller, nowMs);
        Bucket poolBucket = pool(pool, nowMs);
        callerBucket.refill(settings, nowMs);
        if (callerBucket.balance < 1 || poolBucket.balance < 1) {
            return false;
        }
        callerBucket.balance--;
        poolBucket.balance--;
        return true;
    }

    private Bucket caller(String caller, long nowMs) {
        return callers.computeIfAbsent(caller, key -> new Bucket(settings.minBalance(), nowMs));
    }

    private Bucket pool(String pool, long nowMs) {
        return pools.computeIfAbsent(pool, key -> new Bucket(settings.minBalance(), nowMs));
    }

    private static Map<String, Bucket> boundedMap(int maxEntries) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Bucket> eldest) {
                return size() > maxEntries;
            }
        };
    }

    private static final class Bucket {

        private double balance;
        /** First attempts within about the last window, as an exponentially decayed sum. */
        private double load;

        private int consecutiveFailures;
        private long updatedAtMs;
        private long refilledAtMs;

        private Bucket(double balance, long nowMs) {
            this.balance = balance;
            this.updatedAtMs = nowMs;
            this.refilledAtMs = nowMs;
        }

        private void recordAttempt(RetrySettings settings, long nowMs) {
            load = load * Math.exp(-(double) (nowMs - updatedAtMs) / settings.windowMs()) + 1;
            updatedAtMs = nowMs;
            deposit(settings, settings.attemptRatio());
        }

        private void deposit(RetrySettings settings, double amount) {
            double capacity = Math.max(settings.minBalance(), settings.ratio() * load);
            balance = Math.min(capacity, balance + amount);
        }

        private void refill(RetrySettings settings, long nowMs) {
            double refilled = balance + settings.callerRefillPerS() * (nowMs - refilledAtMs) / MS_PER_S;
            balance = Math.max(balance, Math.min(settings.minBalance(), refilled));
            refilledAtMs = nowMs;
        }
    }
}

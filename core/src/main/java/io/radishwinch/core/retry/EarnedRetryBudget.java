package io.radishwinch.core.retry;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Token bucket of retries for each caller and for each pool; a retry takes one token from both.
 *
 * <p>Each first attempt adds a small fraction of a token and its completion most of it, so that a total outage, in
 * which nothing completes, adds little. The balance is limited to what the load of a short window adds, so that retries
 * follow the load and a quiet period saves up no burst of retries.
 */
final class EarnedRetryBudget implements RetryBudget {

    private static final double MS_PER_S = 1_000.0;

    private final RetrySettings settings;
    private final Map<String, Bucket> callers;
    private final Map<String, Bucket> pools;

    /** Creates budgets that start at the smallest balance. */
    EarnedRetryBudget(RetrySettings settings) {
        this.settings = settings;
        this.callers = boundedMap(settings.maxEntries());
        this.pools = boundedMap(settings.maxEntries());
    }

    /** Adds the share of a first attempt that starts. */
    @Override
    public void recordFirstAttempt(String caller, String pool, long nowMs) {
        caller(caller, nowMs).recordAttempt(settings, nowMs);
        pool(pool, nowMs).recordAttempt(settings, nowMs);
    }

    /** Adds the share of a request that completed. */
    @Override
    public void recordCompletion(String caller, String pool, long nowMs) {
        double amount = settings.ratio() - settings.attemptRatio();
        caller(caller, nowMs).deposit(settings, amount);
        Bucket poolAccount = pool(pool, nowMs);
        poolAccount.deposit(settings, amount);
        poolAccount.consecutiveFailures = 0;
    }

    /** Notes a failed attempt; after many without a completed request the pool is down and its savings are void. */
    @Override
    public void recordFailure(String pool, long nowMs) {
        Bucket account = pool(pool, nowMs);
        account.consecutiveFailures++;
        if (account.consecutiveFailures == settings.outageFailures() + 1) {
            account.balance = 0;
        }
    }

    @Override
    public boolean tryWithdraw(String caller, String pool, boolean hasStarted, long nowMs) {
        Bucket callerAccount = caller(caller, nowMs);
        Bucket poolAccount = pool(pool, nowMs);
        callerAccount.refill(settings, nowMs);
        if (callerAccount.balance < 1 || poolAccount.balance < 1) {
            return false;
        }
        callerAccount.balance--;
        poolAccount.balance--;
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
        /** First attempts of about the last window, exponentially weighted. */
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

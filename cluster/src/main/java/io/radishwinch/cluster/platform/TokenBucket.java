package io.radishwinch.cluster.platform;

/** Token bucket that refills with time. */
final class TokenBucket {
    /** Limits a burst to the calls that the rate allows in this time, and to at least one call. */
    private static final double MAX_BURST_S = 0.25;

    private static final double MS_PER_S = 1_000;
    /** Minimum rate, so that watches never block all reads of a router. */
    private static final double MIN_RATE_PER_S = 0.05;

    private double ratePerS;
    private double tokens;
    private long lastRefillMs;

    TokenBucket(double ratePerS, long nowMs) {
        this.ratePerS = Math.max(MIN_RATE_PER_S, ratePerS);
        this.tokens = capacity();
        this.lastRefillMs = nowMs;
    }

    void setRate(double newRatePerS, long nowMs) {
        refill(nowMs);
        ratePerS = Math.max(MIN_RATE_PER_S, newRatePerS);
        tokens = Math.min(tokens, capacity());
    }

    boolean tryTake(long nowMs) {
        refill(nowMs);
        // Tolerates rounding errors, so that a caller that waited exactly long enough does not wait again.
        if (tokens < 1 - 1e-9) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Returns the time until a token is available, in ms. */
    long waitMs(long nowMs) {
        refill(nowMs);
        return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / ratePerS * MS_PER_S);
    }

    private double capacity() {
        return Math.max(1, ratePerS * MAX_BURST_S);
    }

    private void refill(long nowMs) {
        double elapsedS = Math.max(0, nowMs - lastRefillMs) / MS_PER_S;
        tokens = Math.min(capacity(), tokens + elapsedS * ratePerS);
        lastRefillMs = nowMs;
    }
}

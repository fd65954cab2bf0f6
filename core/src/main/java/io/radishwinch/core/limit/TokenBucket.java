package io.radishwinch.core.limit;

/** Token bucket with an adjustable rate; the balance may become negative. */
public final class TokenBucket {

    private static final double MS_PER_S = 1_000.0;

    private double ratePerS;
    private double capacity;
    private double balance;
    private long refilledAtMs;

    /**
     * Creates a full bucket.
     *
     * @param burstMs time in which the rate fills the bucket, in ms; it holds at least 1
     */
    public TokenBucket(double ratePerS, long burstMs, long nowMs) {
        this.ratePerS = ratePerS;
        this.capacity = capacityOf(ratePerS, burstMs);
        this.balance = capacity;
        this.refilledAtMs = nowMs;
    }

    /**
     * Changes the rate; a positive balance keeps its ratio to the capacity, so that the change grants no extra burst.
     */
    public void setRate(double newRatePerS, long burstMs, long nowMs) {
        refill(nowMs);
        double newCapacity = capacityOf(newRatePerS, burstMs);
        balance = balance > 0 ? balance * newCapacity / capacity : balance;
        ratePerS = newRatePerS;
        capacity = newCapacity;
    }

    /**
     * Returns the time in ms until the amount can be taken, 0 if it can be taken now, or {@link Long#MAX_VALUE} if the
     * rate is 0. An amount above the capacity can be taken from a full bucket and leaves a negative balance.
     */
    public long waitMs(double amount, long nowMs) {
        refill(nowMs);
        if (ratePerS <= 0) {
            return Long.MAX_VALUE;
        }
        double missing = Math.min(amount, capacity) - balance;
        return missing <= 0 ? 0 : (long) Math.ceil(missing / ratePerS * MS_PER_S);
    }

    /** Returns the rate, in units/s. */
    public double ratePerS() {
        return ratePerS;
    }

    /** Takes an amount, also if the bucket does not hold it. */
    public void take(double amount) {
        balance -= amount;
    }

    /** Returns an amount that was not used. */
    public void refund(double amount) {
        balance = Math.min(capacity, balance + amount);
    }

    /** Returns the balance without the refill since the last call. */
    public double balance() {
        return balance;
    }

    private void refill(long nowMs) {
        balance = Math.min(capacity, balance + ratePerS * (nowMs - refilledAtMs) / MS_PER_S);
        refilledAtMs = nowMs;
    }

    private static double capacityOf(double ratePerS, long burstMs) {
        return Math.max(1, ratePerS * burstMs / MS_PER_S);
    }
}

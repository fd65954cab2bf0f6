package io.radishwinch.cluster.gossip;

/** Token bucket for the bytes of changes that are not urgent. */
final class ByteBudget {

    /** Sustained rate, in bytes/s: what 3 KB/s per router leaves after probes, digests and shared limits. */
    static final long RATE_BYTES_PER_S = 1_500;

    /** Largest burst, in bytes: one value of the largest kind that is not urgent, to three receivers. */
    static final long BURST_BYTES = 256 * 1024;

    private static final long MS_PER_S = 1_000;

    private long milliTokens = BURST_BYTES * MS_PER_S;
    private long lastMs = Long.MIN_VALUE;

    void refill(long nowMs) {
        if (lastMs != Long.MIN_VALUE && nowMs > lastMs) {
            long elapsedMs = Math.min(nowMs - lastMs, 1_000_000);
            milliTokens = Math.min(BURST_BYTES * MS_PER_S, milliTokens + elapsedMs * RATE_BYTES_PER_S);
        }
        lastMs = nowMs;
    }

    /** Takes tokens; changes that must be sent may overdraw one burst, which then delays the others. */
    boolean spend(long bytes, boolean mustSend) {
        long cost = bytes * MS_PER_S;
        if (cost > milliTokens && !mustSend) {
            return false;
        }
        milliTokens = Math.max(-BURST_BYTES * MS_PER_S, milliTokens - cost);
        return true;
    }
}

package io.radishwinch.cluster.gossip;

/** Token bucket for the bytes of one class of changes. */
final class ByteBudget {

    private static final long MS_PER_S = 1_000;

    private final long bytesPerS;
    private final long burstBytes;
    private long milliTokens;
    private long lastMs = Long.MIN_VALUE;

    /**
     * Creates a full bucket.
     *
     * @param bytesPerS sustained rate, in bytes/s
     * @param burstBytes largest burst, in bytes
     */
    ByteBudget(long bytesPerS, long burstBytes) {
        this.bytesPerS = bytesPerS;
        this.burstBytes = burstBytes;
        this.milliTokens = burstBytes * MS_PER_S;
    }

    void refill(long nowMs) {
        if (lastMs != Long.MIN_VALUE && nowMs > lastMs) {
            long elapsedMs = Math.min(nowMs - lastMs, 1_000_000);
            milliTokens = Math.min(burstBytes * MS_PER_S, milliTokens + elapsedMs * bytesPerS);
        }
        lastMs = nowMs;
    }

    /** Takes tokens; changes that must be sent may overdraw one burst, which then delays the others. */
    boolean spend(long bytes, boolean mustSend) {
        long cost = bytes * MS_PER_S;
        if (cost > milliTokens && !mustSend) {
            return false;
        }
        milliTokens = Math.max(-burstBytes * MS_PER_S, milliTokens - cost);
        return true;
    }
}

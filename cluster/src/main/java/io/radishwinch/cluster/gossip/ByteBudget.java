package io.radishwinch.cluster.gossip;

/** Token bucket for the bytes of one class of entries. */
final class ByteBudget {

    private static final long MS_PER_S = 1_000;

    private final long bytesPerS;
    private final long burstBytes;
    private long milliBytes;
    private long lastRefillMs = Long.MIN_VALUE;

    /**
     * Creates a full bucket.
     *
     * @param bytesPerS sustained rate, in bytes/s
     * @param burstBytes maximum burst, in bytes
     */
    ByteBudget(long bytesPerS, long burstBytes) {
        this.bytesPerS = bytesPerS;
        this.burstBytes = burstBytes;
        this.milliBytes = burstBytes * MS_PER_S;
    }

    void refill(long nowMs) {
        if (lastRefillMs != Long.MIN_VALUE && nowMs > lastRefillMs) {
            long elapsedMs = Math.min(nowMs - lastRefillMs, 1_000_000);
            milliBytes = Math.min(burstBytes * MS_PER_S, milliBytes + elapsedMs * bytesPerS);
        }
        lastRefillMs = nowMs;
    }

    /**
     * Takes tokens for a number of bytes and returns whether the entry may be sent.
     *
     * @param mustSend whether the entry is sent without enough tokens; it then overdraws the bucket by up to one burst,
     *     which delays later entries
     */
    boolean trySpend(long bytes, boolean mustSend) {
        long cost = bytes * MS_PER_S;
        if (cost > milliBytes && !mustSend) {
            return false;
        }
        milliBytes = Math.max(-burstBytes * MS_PER_S, milliBytes - cost);
        return true;
    }
}

package io.radishwinch.core.impl;

import io.radishwinch.core.model.RequestSpec;

/** Row of the pool table: what this router knows of a model or plain service from its own requests. */
final class PoolRow {

    /** Weight of a new sample in the moving averages; about the last 20 samples count. */
    private static final double SAMPLE_WEIGHT = 0.05;
    /** Without contention the estimate is a bound on what is feasible, so it stays below the mean. */
    private static final double FEASIBLE_SHARE = 0.5;
    /** Deviations above the mean within which a request is expected to end; as for round-trip times in RFC 6298. */
    private static final double DEVIATION_FACTOR = 4;
    /** Samples below this number give no estimate. */
    private static final int MIN_SAMPLES = 20;
    /** An estimate without new samples expires, so that a slow period does not refuse requests for ever. */
    private static final long ESTIMATE_TTL_MS = 5_000;

    /** A pool counts as contended for this time after a request found no free slot, in ms. */
    private static final long CONTENTION_MS = 200;

    private int samples;
    private double firstTokenMs;
    private double tokenIntervalMs;
    private double outputTokenRatio;
    private double deviationMs;
    private long sampledAtMs;

    private boolean isBlocked;
    private long blockedAtMs = -CONTENTION_MS;

    long uncoveredSinceMs = -1;

    /** Notes that no plan was found; further plans are not worth trying before the next release or tick. */
    void block(long nowMs) {
        isBlocked = true;
        blockedAtMs = nowMs;
    }

    void unblock() {
        isBlocked = false;
    }

    boolean isBlocked() {
        return isBlocked;
    }

    /** Returns whether requests have recently waited for a slot. */
    boolean isContended(long nowMs) {
        return nowMs - blockedAtMs < CONTENTION_MS;
    }

    /** Records a finished request that ran in one attempt. */
    void recordFinished(RequestSpec request, double sampleFirstTokenMs, double intervalMs, int newTokens, long nowMs) {
        double weight = Math.max(SAMPLE_WEIGHT, 1.0 / ++samples);
        double totalMs = sampleFirstTokenMs + intervalMs * newTokens;
        deviationMs += weight * (Math.abs(totalMs - meanMs(request.maxNewTokens())) - deviationMs);
        firstTokenMs += weight * (sampleFirstTokenMs - firstTokenMs);
        tokenIntervalMs += weight * (intervalMs - tokenIntervalMs);
        outputTokenRatio += weight * ((double) newTokens / Math.max(1, request.maxNewTokens()) - outputTokenRatio);
        sampledAtMs = nowMs;
    }

    /**
     * Records a request that had not finished after some time. Without these the estimate would rest on the requests
     * that met their deadline and stay too low.
     */
    void recordUnfinished(RequestSpec request, long runMs, long nowMs) {
        double missingMs = runMs - meanMs(request.maxNewTokens());
        if (samples > 0 && missingMs > deviationMs) {
            deviationMs += SAMPLE_WEIGHT * (missingMs - deviationMs);
            sampledAtMs = nowMs;
        }
    }

    /**
     * Returns a time in ms below which the rest of the request cannot be expected to run, 0 if none is known.
     *
     * @param contended whether other requests wait for the slot; it is then not given to a request that is likely to
     *     miss its deadline
     */
    long neededMs(RequestSpec request, int deliveredTokens, boolean contended, long nowMs) {
        if (samples < MIN_SAMPLES || nowMs - sampledAtMs > ESTIMATE_TTL_MS) {
            return 0;
        }
        double expectedMs = meanMs(Math.max(0, request.maxNewTokens() - deliveredTokens));
        return (long) (contended ? expectedMs + DEVIATION_FACTOR * deviationMs : FEASIBLE_SHARE * expectedMs);
    }

    /** Returns the mean time in ms that the rest of the request takes, 0 if it is not known. */
    long expectedMs(RequestSpec request, int deliveredTokens, long nowMs) {
        return (long) (neededMs(request, deliveredTokens, false, nowMs) / FEASIBLE_SHARE);
    }

    private double meanMs(int maxNewTokens) {
        return firstTokenMs + tokenIntervalMs * outputTokenRatio * maxNewTokens;
    }
}

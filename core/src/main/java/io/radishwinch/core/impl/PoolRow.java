package io.radishwinch.core.impl;

import io.radishwinch.core.model.RequestSpec;

/** Row of the pool table: service times of a model or plain service, measured on requests of this router. */
final class PoolRow {

    /** Weight of a new sample in the moving averages, which corresponds to about the last 20 samples. */
    private static final double SAMPLE_WEIGHT = 0.05;
    /** Fraction of the mean below which a request is assumed infeasible; applies while no others wait for a slot. */
    private static final double FEASIBLE_SHARE = 0.5;
    /**
     * Mean deviations above the mean within which a request is expected to end, as for round-trip times in RFC 6298.
     */
    private static final double DEVIATION_FACTOR = 4;
    /** Number of samples required for an estimate. */
    private static final int MIN_SAMPLES = 20;
    /**
     * Time-to-live of an estimate without new samples, in ms, so that a slow period does not refuse all later requests.
     */
    private static final long ESTIMATE_TTL_MS = 5_000;

    /** Time for which a pool counts as contended after a request found no free slot, in ms. */
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

    /** Whether the pool has a coverage gap that ends with the silence of endpoints. */
    private boolean hasSilentGap;

    private long silentGapSeenAtMs;
    private long silentGapsMs;

    /** Records whether the pool has a coverage gap that ends with the silence of endpoints. */
    void recordSilentGap(boolean isPresent, long nowMs) {
        silentGapsMs = silentGapsMs(nowMs);
        hasSilentGap = isPresent;
        silentGapSeenAtMs = nowMs;
    }

    /** Returns the total duration of such gaps, in ms. */
    long silentGapsMs(long nowMs) {
        return silentGapsMs + (hasSilentGap ? nowMs - silentGapSeenAtMs : 0);
    }

    /** Records that no chain was found; planning is skipped until the next release or tick. */
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

    /** Returns whether a request found no free slot within the contention time. */
    boolean isContended(long nowMs) {
        return nowMs - blockedAtMs < CONTENTION_MS;
    }

    /** Records the times of a request that finished in its first attempt. */
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
     * Records a request that had not finished at its deadline. Without these samples the estimate would cover only
     * requests that met their deadline, and would be too low.
     */
    void recordUnfinished(RequestSpec request, long runMs, long nowMs) {
        double excessMs = runMs - meanMs(request.maxNewTokens());
        if (samples > 0 && excessMs > deviationMs) {
            deviationMs += SAMPLE_WEIGHT * (excessMs - deviationMs);
            sampledAtMs = nowMs;
        }
    }

    /**
     * Returns the time in ms that the rest of the request is assumed to need, or 0 if there is no current estimate.
     *
     * @param isContended whether other requests wait for a slot; the estimate is then pessimistic, so that no slot is
     *     given to a request that is likely to miss its deadline
     */
    long neededMs(RequestSpec request, int deliveredTokens, boolean isContended, long nowMs) {
        if (samples < MIN_SAMPLES || nowMs - sampledAtMs > ESTIMATE_TTL_MS) {
            return 0;
        }
        double expectedMs = meanMs(Math.max(0, request.maxNewTokens() - deliveredTokens));
        return (long) (isContended ? expectedMs + DEVIATION_FACTOR * deviationMs : FEASIBLE_SHARE * expectedMs);
    }

    /** Returns the mean time in ms of the rest of the request, or 0 if there is no current estimate. */
    long expectedMs(RequestSpec request, int deliveredTokens, long nowMs) {
        return (long) (neededMs(request, deliveredTokens, false, nowMs) / FEASIBLE_SHARE);
    }

    private double meanMs(int maxNewTokens) {
        return firstTokenMs + tokenIntervalMs * outputTokenRatio * maxNewTokens;
    }
}

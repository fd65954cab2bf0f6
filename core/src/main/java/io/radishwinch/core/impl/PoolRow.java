package io.radishwinch.core.impl;

import io.radishwinch.core.model.RequestSpec;

/** Row of the pool table: what this router knows of a model or plain service from its own requests. */
final class PoolRow {

    /** Weight of a new sample in the moving averages; about the last 20 samples count. */
    private static final double SAMPLE_WEIGHT = 0.05;
    /** The estimate is a bound on what is feasible, so it stays below the mean. */
    private static final double FEASIBLE_SHARE = 0.5;
    /** Samples below this number give no estimate. */
    private static final int MIN_SAMPLES = 20;
    /** An estimate without new samples expires, so that a slow period does not refuse requests for ever. */
    private static final long ESTIMATE_TTL_MS = 5_000;

    private int samples;
    private double firstTokenMs;
    private double tokenIntervalMs;
    private double answerShare;
    private long sampledAtMs;

    /** No plan was found since the last release, so that further plans are not worth trying before the next one. */
    boolean blocked;

    long uncoveredSinceMs = -1;

    /** Records a finished request that ran in one attempt. */
    void sample(RequestSpec request, double sampleFirstTokenMs, double intervalMs, int newTokens, long nowMs) {
        double weight = Math.max(SAMPLE_WEIGHT, 1.0 / ++samples);
        firstTokenMs += weight * (sampleFirstTokenMs - firstTokenMs);
        tokenIntervalMs += weight * (intervalMs - tokenIntervalMs);
        answerShare += weight * ((double) newTokens / Math.max(1, request.maxNewTokens()) - answerShare);
        sampledAtMs = nowMs;
    }

    /** Returns the expected time from start to the end of the answer in ms, 0 if it is not known. */
    double expectedServiceMs(int newTokens, long nowMs) {
        if (samples < MIN_SAMPLES || nowMs - sampledAtMs > ESTIMATE_TTL_MS) {
            return 0;
        }
        return firstTokenMs + tokenIntervalMs * answerShare * newTokens;
    }

    /** Returns a time in ms below which the rest of the request cannot be expected to run. */
    long feasibleServiceMs(RequestSpec request, int deliveredTokens, long nowMs) {
        int remaining = Math.max(0, request.maxNewTokens() - deliveredTokens);
        return (long) (FEASIBLE_SHARE * expectedServiceMs(remaining, nowMs));
    }
}

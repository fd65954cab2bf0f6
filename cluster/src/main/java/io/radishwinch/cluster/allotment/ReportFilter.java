package io.radishwinch.cluster.allotment;

/**
 * Decides when a change of a smoothed load is reported.
 *
 * <p>Arrivals are random, so a change is significant only if it exceeds both a fraction of the share that it concerns
 * and three standard deviations of a Poisson process of this rate. After a significant change the smoothed value is
 * still converging, so smaller changes are reported as well for {@link #STABILIZATION_PERIOD_MS}.
 */
final class ReportFilter {

    /** Time for the smoothed value to converge to within 5% of a step, in ms. */
    static final long STABILIZATION_PERIOD_MS = 2_500;

    /** Change that is reported during the stabilization period, as a fraction of the value. */
    static final double STABILIZATION_CHANGE_FRACTION = 0.05;

    /** Standard deviations above which a change is significant. At 3, one round in 370 is a false positive. */
    private static final double SIGNIFICANCE_DEVIATIONS = 3;

    private static final double MS_PER_S = 1_000;

    private LoadVector lastReported = LoadVector.ZERO;
    private long stabilizingUntilMs = Long.MIN_VALUE;

    LoadVector lastReported() {
        return lastReported;
    }

    /**
     * Returns whether the current value must be reported.
     *
     * @param scale smallest change that is reported, in each dimension
     */
    boolean isDue(LoadVector current, LoadVector scale, long nowMs) {
        if (nowMs < stabilizingUntilMs
                && current.differsBy(STABILIZATION_CHANGE_FRACTION, lastReported, max(current, lastReported))) {
            return true;
        }
        if (!isSignificant(current, scale)) {
            return false;
        }
        stabilizingUntilMs = nowMs + STABILIZATION_PERIOD_MS;
        return true;
    }

    void setReported(LoadVector value) {
        lastReported = value.isNegligible() ? LoadVector.ZERO : value;
    }

    private boolean isSignificant(LoadVector current, LoadVector scale) {
        double meanRequestsPerS = (current.requestsPerS() + lastReported.requestsPerS()) / 2;
        double noiseRequestsPerS = SIGNIFICANCE_DEVIATIONS
                * Math.sqrt(meanRequestsPerS / (Allotment.SMOOTHING_TIME_CONSTANT_MS / MS_PER_S));
        LoadVector higher = max(current, lastReported);
        for (int i = 0; i < LoadVector.DIMENSION_COUNT; i++) {
            // Tokens and concurrency vary with the number of requests, each by its mean per request.
            double perRequest = higher.requestsPerS() <= 0 ? 0 : higher.get(i) / higher.requestsPerS();
            double change = Math.abs(current.get(i) - lastReported.get(i));
            if (change > scale.get(i) && change > noiseRequestsPerS * perRequest) {
                return true;
            }
        }
        return false;
    }

    private static LoadVector max(LoadVector a, LoadVector b) {
        return new LoadVector(
                Math.max(a.requestsPerS(), b.requestsPerS()),
                Math.max(a.tokensPerS(), b.tokensPerS()),
                Math.max(a.concurrentRequests(), b.concurrentRequests()));
    }
}

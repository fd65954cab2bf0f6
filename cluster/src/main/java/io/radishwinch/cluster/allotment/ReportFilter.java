package io.radishwinch.cluster.allotment;

/**
 * Decides when a change of a smoothed load is worth a message.
 *
 * <p>Arrivals are random, so a change counts only if it exceeds both a part of the share that it concerns and three
 * standard deviations of a Poisson process of this rate. After such a change, the smoothed value still moves towards
 * the new level, and smaller changes are reported as well for {@link #SETTLE_MS}.
 */
final class ReportFilter {

    /** Time in which the smoothed value follows a step to within 5%, in ms. */
    static final long SETTLE_MS = 2_500;

    /** Change that is reported while the value settles, as a fraction of itself. */
    static final double SETTLE_CHANGE = 0.05;

    /** Standard deviations above which a change is no noise; at 3, one round in 370 is a false alarm. */
    private static final double DEVIATIONS = 3;

    private static final double MS_PER_S = 1_000;

    private Amounts reported = Amounts.ZERO;
    private long settleUntilMs = Long.MIN_VALUE;

    Amounts reported() {
        return reported;
    }

    /**
     * Returns whether the current value should be reported.
     *
     * @param scale smallest change that matters, in each dimension
     */
    boolean isDue(Amounts current, Amounts scale, long nowMs) {
        if (nowMs < settleUntilMs && current.differsBy(SETTLE_CHANGE, reported, max(current, reported))) {
            return true;
        }
        if (!isSignificant(current, scale)) {
            return false;
        }
        settleUntilMs = nowMs + SETTLE_MS;
        return true;
    }

    void reported(Amounts value) {
        reported = value.isNegligible() ? Amounts.ZERO : value;
    }

    private boolean isSignificant(Amounts current, Amounts scale) {
        double meanRequestsPerS = (current.requestsPerS() + reported.requestsPerS()) / 2;
        double noiseRequestsPerS = DEVIATIONS * Math.sqrt(meanRequestsPerS / (Allotment.SMOOTHING_MS / MS_PER_S));
        Amounts higher = max(current, reported);
        for (int i = 0; i < Amounts.DIMENSIONS; i++) {
            // Tokens and concurrency vary with the number of requests, each by its mean per request.
            double perRequest = higher.requestsPerS() <= 0 ? 0 : higher.get(i) / higher.requestsPerS();
            double change = Math.abs(current.get(i) - reported.get(i));
            if (change > scale.get(i) && change > noiseRequestsPerS * perRequest) {
                return true;
            }
        }
        return false;
    }

    private static Amounts max(Amounts a, Amounts b) {
        return new Amounts(
                Math.max(a.requestsPerS(), b.requestsPerS()),
                Math.max(a.tokensPerS(), b.tokensPerS()),
                Math.max(a.concurrent(), b.concurrent()));
    }
}

package io.radishwinch.cluster.allotment;

/**
 * Splits an amount by demand.
 *
 * <p>While demand fits, every part receives its demand and an equal part of the rest, so that the first requests at an
 * idle router are not refused. In overload, {@link #RESERVED_FRACTION} is split equally and the rest in proportion to
 * demand. The parts always sum to the amount, and the two rules agree where they meet.
 */
final class ShareSplit {

    /**
     * Fraction that is split equally in overload. It is the most that stays unused when parts without demand hold it,
     * so it is half of the 10% by which admitted load may miss the limit.
     */
    static final double RESERVED_FRACTION = 0.05;

    private ShareSplit() {}

    /** Returns the part of one of {@code parts} whose demand is {@code own} out of {@code total}. */
    static double part(double amount, double own, double total, int parts) {
        if (total <= (1 - RESERVED_FRACTION) * amount) {
            return own + (amount - total) / parts;
        }
        return RESERVED_FRACTION * amount / parts + (total <= 0 ? 0 : (1 - RESERVED_FRACTION) * amount * own / total);
    }

    /** Splits every dimension. */
    static LoadVector part(LoadVector amount, LoadVector own, LoadVector total, int parts) {
        return new LoadVector(
                part(amount.requestsPerS(), own.requestsPerS(), total.requestsPerS(), parts),
                part(amount.tokensPerS(), own.tokensPerS(), total.tokensPerS(), parts),
                part(amount.concurrentRequests(), own.concurrentRequests(), total.concurrentRequests(), parts));
    }
}

package io.radishwinch.cluster.allotment;

/**
 * Divides an amount in proportion to demand.
 *
 * <p>While the total demand fits, every part receives its demand and an equal part of the rest, so that the first
 * requests at an idle router are not refused. In overload, {@link #RESERVED_FRACTION} is divided equally and the rest
 * in proportion to demand. The parts always sum to the amount, and the two rules give the same result at the point
 * where they meet.
 */
final class ShareSplit {

    /**
     * Fraction that is divided equally in overload. Parts without demand leave at most this fraction unused, so it is
     * half of the 10% by which the admitted load may deviate from the limit.
     */
    static final double RESERVED_FRACTION = 0.05;

    private ShareSplit() {}

    /**
     * Returns the part of a participant with the demand {@code demand} out of {@code total}, among {@code parts}
     * participants.
     */
    static double part(double amount, double demand, double total, int parts) {
        if (total <= (1 - RESERVED_FRACTION) * amount) {
            return demand + (amount - total) / parts;
        }
        return RESERVED_FRACTION * amount / parts
                + (total <= 0 ? 0 : (1 - RESERVED_FRACTION) * amount * demand / total);
    }

    /** Divides every dimension. */
    static LoadVector part(LoadVector amount, LoadVector demand, LoadVector total, int parts) {
        return new LoadVector(
                part(amount.requestsPerS(), demand.requestsPerS(), total.requestsPerS(), parts),
                part(amount.tokensPerS(), demand.tokensPerS(), total.tokensPerS(), parts),
                part(amount.concurrentRequests(), demand.concurrentRequests(), total.concurrentRequests(), parts));
    }
}

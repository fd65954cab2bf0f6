package io.radishwinch.core.chain;

/**
 * Price of a slot.
 *
 * <p>The price grows exponentially with the fraction of slots in use, so that scarce endpoints are kept for the work
 * that needs them. Source: J. Aspnes, Y. Azar, A. Fiat, S. Plotkin, O. Waarts, "On-line routing of virtual circuits
 * with applications to load balancing and machine scheduling", Journal of the ACM 44(3), 1997.
 */
final class CostModel {

    /** Price of the last slot of an endpoint, in us of token time. */
    static final double FULL_SLOT_PRICE_US = 4_000;

    /** Base of the exponential: the ratio of the price of the last slot to that of the first. */
    private static final double PRICE_BASE = 64;

    private CostModel() {}

    static double slotPriceUs(EndpointRow row) {
        double used = Math.min(1, (double) row.occupied() / row.usableSlots());
        return FULL_SLOT_PRICE_US * (Math.pow(PRICE_BASE, used) - 1) / (PRICE_BASE - 1);
    }
}

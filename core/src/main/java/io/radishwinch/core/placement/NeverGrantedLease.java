package io.radishwinch.core.placement;

/**
 * Lease of a router that gives no orders.
 *
 * @param leaseMs time for which an earlier holder may act, in ms
 */
public record NeverGrantedLease(long leaseMs) implements PlacementLease {

    @Override
    public boolean holds(String key, long nowMs) {
        return false;
    }

    @Override
    public long heldSinceMs(String key) {
        return Long.MAX_VALUE;
    }
}

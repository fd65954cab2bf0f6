package io.radishwinch.core.placement;

/**
 * Grants no lease, for routers that give no orders.
 *
 * @param leaseMs time for which a previous holder may still act, in ms
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

package io.radishwinch.core.placement;

/** Grants every lease; a baseline that is correct only with a single router. */
public final class AlwaysGrantedLease implements PlacementLease {

    @Override
    public boolean holds(String key, long nowMs) {
        return true;
    }

    @Override
    public long heldSinceMs(String key) {
        return Long.MIN_VALUE / 2;
    }

    @Override
    public long leaseMs() {
        return 0;
    }
}

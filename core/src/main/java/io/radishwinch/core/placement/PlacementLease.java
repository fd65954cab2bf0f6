package io.radishwinch.core.placement;

/** Lease that decides which router may give orders to an endpoint, so that routers do not give conflicting orders. */
public interface PlacementLease {

    /**
     * Returns whether this router may order the endpoint now.
     *
     * @param key endpoint identifier, or a model name for decisions about a whole model
     * @param nowMs current time in ms
     */
    boolean holds(String key, long nowMs);

    /**
     * Returns the time since which this router has held the lease without interruption, in ms.
     *
     * @param key endpoint identifier or model name; the result is undefined if the lease is not held
     */
    long heldSinceMs(String key);

    /** Returns the time for which a previous holder may still act after it loses contact with its peers, in ms. */
    long leaseMs();
}

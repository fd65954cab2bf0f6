package io.radishwinch.core.placement;

/** Says which router may order which endpoint, so that two routers never give conflicting orders. */
public interface PlacementLease {

    /**
     * Returns whether this router may order the endpoint now.
     *
     * @param key endpoint identifier, or a model name for decisions about a whole model
     * @param nowMs current time in ms
     */
    boolean holds(String key, long nowMs);

    /**
     * Returns the time from which this router has held the lease without a break, in ms.
     *
     * @param key endpoint identifier or model name; the result is undefined if the lease is not held
     */
    long heldSinceMs(String key);

    /** Returns the time for which an earlier holder may act after it has lost contact with the others, in ms. */
    long leaseMs();
}

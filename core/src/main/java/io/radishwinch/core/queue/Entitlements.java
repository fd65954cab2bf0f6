package io.radishwinch.core.queue;

import io.radishwinch.core.model.Rank;

/** Weights and floors that the contracts in effect grant to callers at this router. */
public interface Entitlements {

    /** Returns the weight of the caller relative to other callers of the same rank; greater than zero. */
    double weight(String caller);

    /** Returns the throughput guaranteed to the caller at this rank, in tokens/s, or 0 if there is no floor. */
    double floorTokensPerS(String caller, Rank rank);
}

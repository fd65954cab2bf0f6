package io.radishwinch.core.queue;

import io.radishwinch.core.model.Rank;

/** What the contracts in force grant to callers at this router. */
public interface Entitlements {

    /** Returns the caller's share relative to other callers of the same rank; above zero. */
    double weight(String caller);

    /** Returns the throughput that stays available to the caller at this rank, in tokens/s, or 0 if there is none. */
    double floorTokensPerS(String caller, Rank rank);
}

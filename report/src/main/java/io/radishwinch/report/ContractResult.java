package io.radishwinch.report;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RankTerms;
import io.radishwinch.core.model.Reason;
import java.util.List;
import java.util.Optional;

/**
 * What a contract promises for one rank beside what was delivered.
 *
 * @param caller caller
 * @param rank rank
 * @param terms terms of the contract, or empty if the caller has none for this rank any more
 * @param service what was delivered
 * @param status whether the promise was kept
 * @param shortfalls what was not kept, in words
 * @param floor whether the floor was kept
 * @param mainReason most frequent reason for which the fleet did not serve requests
 */
record ContractResult(
        String caller,
        Rank rank,
        Optional<RankTerms> terms,
        ServiceTotals service,
        Status status,
        List<String> shortfalls,
        Floor floor,
        Optional<Reason> mainReason) {

    /** Whether a promise was kept. */
    enum Status {
        KEPT,
        MISSED,
        /** Batch work was refused for lack of capacity while its floor was kept; not a breach, but worth knowing. */
        LIMITED,
        NO_REQUESTS
    }

    /**
     * Throughput in the slots in which the fleet refused or failed requests of the caller.
     *
     * @param state whether the floor was kept
     * @param missedSlots slots below the floor
     * @param worstSlot slot with the lowest throughput, or -1
     * @param worstTokensPerS throughput in that slot, in tokens/s
     */
    record Floor(State state, int missedSlots, int worstSlot, double worstTokensPerS) {
        enum State {
            NOT_PROMISED,
            KEPT,
            MISSED,
            UNKNOWN
        }
    }

    String label() {
        return caller + " (" + rank.wireName() + ")";
    }
}

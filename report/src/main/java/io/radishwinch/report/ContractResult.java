package io.radishwinch.report;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RankTerms;
import io.radishwinch.core.model.Reason;
import java.util.List;
import java.util.Optional;

/**
 * Compares what a contract promises for one rank with what was delivered.
 *
 * @param caller caller
 * @param rank rank
 * @param terms terms of the contract, or empty if the caller no longer has terms for this rank
 * @param service service that was delivered
 * @param status whether the promise was kept
 * @param shortfalls one clause for each promise that was not kept
 * @param floor throughput compared with the floor
 * @param mainReason most frequent reason caused by the fleet for refused or failed requests, or empty if there is none
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

    /** Result for the promises of one rank. The report prints the names in lower case. */
    enum Status {
        KEPT,
        MISSED,
        /** Batch requests were refused for lack of capacity while the floor was kept; the contract permits this. */
        LIMITED,
        NO_REQUESTS
    }

    /**
     * Throughput compared with the floor, in the slots in which the fleet refused or failed requests of the caller.
     *
     * @param state whether the floor was kept
     * @param missedSlots slots below the floor
     * @param worstSlot slot with the lowest throughput, or -1 if no slot is below the floor
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

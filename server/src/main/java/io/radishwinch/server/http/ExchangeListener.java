package io.radishwinch.server.http;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RequestSpec;
import java.util.Optional;

/** Receives the outcome of every request. Called on traffic threads. */
public interface ExchangeListener {

    /**
     * Called when a request that reached the decision core has ended.
     *
     * @param refusal reason of the failure, or empty after a complete response
     */
    void finished(RequestSpec request, DeliveryStats delivery, Optional<Refusal> refusal);

    /**
     * Called when a request was refused before it reached the decision core.
     *
     * @param requestId identifier of the request, or an empty string if it has none
     * @param caller name of the caller, or an empty string if unknown
     * @param rank rank of the request, or empty if unknown
     */
    void rejected(String requestId, String caller, Optional<Rank> rank, Refusal refusal);

    /** Called when the connection of a caller ends before its response is complete. */
    default void responseCut(ResponseCut cut) {}
}

package io.radishwinch.server.http;

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

    /** Called when a request was refused before it reached the decision core. */
    void rejected(Rejection rejection);

    /** Called when the connection of a caller ends before its response is complete. */
    default void responseCut(ResponseCut cut) {}
}

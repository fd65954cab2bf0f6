package io.radishwinch.server.http;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RequestSpec;
import java.util.Optional;

/** Is told of the end of every request; called on traffic threads. */
public interface ExchangeListener {

    /**
     * A request that reached the decision core has ended.
     *
     * @param refusal why it failed, or empty after a whole answer
     */
    void finished(RequestSpec request, DeliveryStats delivery, Optional<Refusal> refusal);

    /**
     * A request was refused before it reached the decision core.
     *
     * @param requestId identifier of the request, or an empty string if it has none
     * @param caller caller, or an empty string if unknown
     * @param rank rank, or empty if unknown
     */
    void rejected(String requestId, String caller, Optional<Rank> rank, Refusal refusal);
}

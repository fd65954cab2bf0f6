package io.radishwinch.server.fleet;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.server.LogFields;
import io.radishwinch.server.http.DeliveryStats;
import io.radishwinch.server.http.ExchangeListener;
import io.radishwinch.server.http.Refusal;
import java.util.Optional;

/** Logs complete responses with their timings, and requests that were refused before they reached the core. */
final class OutcomeLogger implements ExchangeListener {

    private final FleetLog log;
    private final ExchangeListener next;

    /**
     * Creates a logger.
     *
     * @param next listener that receives every call too
     */
    OutcomeLogger(FleetLog log, ExchangeListener next) {
        this.log = log;
        this.next = next;
    }

    @Override
    public void finished(RequestSpec request, DeliveryStats delivery, Optional<Refusal> refusal) {
        next.finished(request, delivery, refusal);
        if (refusal.isEmpty()) {
            log.request(() -> LogFields.of("answered")
                    .with("id", request.requestId())
                    .with("attempts", delivery.attempts())
                    .with("firstMs", delivery.timeToFirstTokenMs())
                    .with("longestPauseMs", delivery.maxTokenIntervalMs())
                    .with("events", delivery.deliveredTokens())
                    .with("arrivedAtMs", request.arrivedAtMs()));
        }
    }

    @Override
    public void rejected(String requestId, String caller, Optional<Rank> rank, Refusal refusal) {
        next.rejected(requestId, caller, rank, refusal);
        log.request(() -> LogFields.of("rejected")
                .with("id", requestId)
                .with("caller", caller)
                .with("reason", refusal.reason().wireName())
                .with("detail", refusal.message()));
    }
}

package io.radishwinch.server.fleet;

import io.micrometer.core.instrument.Counter;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.server.LogFields;
import io.radishwinch.server.http.DeliveryStats;
import io.radishwinch.server.http.ExchangeListener;
import io.radishwinch.server.http.Refusal;
import io.radishwinch.server.metrics.RouterMetrics;
import io.radishwinch.server.proxy.ResponseEnd;
import io.radishwinch.server.proxy.ResponseEndListener;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Logs complete responses with their timings, responses of endpoints that failed or that answered a retry, and requests
 * that were refused before they reached the core.
 */
final class OutcomeLogger implements ExchangeListener, ResponseEndListener {

    private final FleetLog log;
    private final ExchangeListener next;
    private final Counter surplusResponses;
    private final Map<ResponseEnd.Cause, Counter> endsByCause = new EnumMap<>(ResponseEnd.Cause.class);

    /**
     * Creates a logger.
     *
     * @param next listener that receives every call too
     */
    OutcomeLogger(FleetLog log, ExchangeListener next, RouterMetrics metrics) {
        this.log = log;
        this.next = next;
        this.surplusResponses = metrics.counter(
                "radishwinch.endpoint.responses.surplus", "responses to earlier requests that were dropped");
        for (ResponseEnd.Cause cause : ResponseEnd.Cause.values()) {
            endsByCause.put(
                    cause,
                    metrics.counter(
                            "radishwinch.endpoint.responses",
                            "responses of endpoints by the cause of their end",
                            "cause",
                            cause.wireName()));
        }
    }

    @Override
    public void responseEnded(String requestId, ResponseEnd end) {
        endsByCause.get(end.cause()).increment();
        surplusResponses.increment(end.carrier().surplusResponses());
        if (end.isOrdinary()) {
            return;
        }
        log.request(() -> LogFields.of("response-ended")
                .with("id", requestId)
                .with("epoch", end.epoch())
                .with("endpoint", end.endpointId())
                .with("status", end.status())
                .with("framing", end.framing().wireName())
                .with("events", end.eventCount())
                .with("cause", end.cause().wireName())
                .with("detail", end.detail())
                .with("connection", end.carrier().connectionId())
                .with("requestNumber", end.carrier().requestNumber())
                .with("identified", end.carrier().isIdentified())
                .with("surplus", end.carrier().surplusResponses()));
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

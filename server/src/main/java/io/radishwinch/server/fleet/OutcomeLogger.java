package io.radishwinch.server.fleet;

import io.micrometer.core.instrument.Counter;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.http.ResponseRule;
import io.radishwinch.server.LogFields;
import io.radishwinch.server.http.DeliveryStats;
import io.radishwinch.server.http.ExchangeListener;
import io.radishwinch.server.http.Refusal;
import io.radishwinch.server.http.Rejection;
import io.radishwinch.server.http.ResponseCut;
import io.radishwinch.server.metrics.RouterMetrics;
import io.radishwinch.server.proxy.ResponseEnd;
import io.radishwinch.server.proxy.ResponseEndListener;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Logs complete responses with their timings, responses of endpoints that failed or that answered a retry, requests
 * that were refused before they reached the core, and responses whose connection ended before they were complete.
 */
final class OutcomeLogger implements ExchangeListener, ResponseEndListener {

    private final FleetLog log;
    private final ExchangeListener next;
    private final Counter surplusResponses;
    private final Map<ResponseRule, Counter> malformedByRule = new EnumMap<>(ResponseRule.class);
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
        for (ResponseRule rule : ResponseRule.values()) {
            malformedByRule.put(
                    rule,
                    metrics.counter(
                            "radishwinch.endpoint.responses.malformed",
                            "responses of endpoints by the rule of HTTP that they break",
                            "rule",
                            rule.wireName()));
        }
    }

    @Override
    public void responseEnded(String requestId, ResponseEnd end) {
        endsByCause.get(end.cause()).increment();
        surplusResponses.increment(end.carrier().surplusResponses());
        end.carrier().brokenRule().ifPresent(rule -> malformedByRule.get(rule).increment());
        if (end.isOrdinary()) {
            return;
        }
        log.request(() -> fieldsOf(requestId, end));
    }

    /** Returns the fields of bounded size first, and those that other lines on the attempt have as well last. */
    private static LogFields fieldsOf(String requestId, ResponseEnd end) {
        LogFields fields = LogFields.of("response-ended")
                .with("id", requestId)
                .with("cause", end.cause().wireName());
        if (end.status() != 0) {
            fields.with("status", end.status());
        }
        fields.with("epoch", end.epoch()).with("connection", end.carrier().describe());
        addSurplus(fields, end.carrier().surplusResponses());
        end.carrier().brokenRule().ifPresent(rule -> fields.with("rule", rule.wireName()));
        if (!end.detail().isEmpty()) {
            fields.with("detail", end.detail());
        }
        return fields.with("endpoint", end.endpointId())
                .with("framing", end.framing().wireName())
                .with("events", end.eventCount());
    }

    private static void addSurplus(LogFields fields, int surplusResponses) {
        if (surplusResponses > 0) {
            fields.with("surplus", surplusResponses);
        }
    }

    @Override
    public void finished(RequestSpec request, DeliveryStats delivery, Optional<Refusal> refusal) {
        next.finished(request, delivery, refusal);
        if (refusal.isEmpty()) {
            log.request(() -> fieldsOf(request, delivery));
        }
    }

    private static LogFields fieldsOf(RequestSpec request, DeliveryStats delivery) {
        LogFields fields = LogFields.of("answered").with("id", request.requestId());
        delivery.origin().ifPresent(origin -> {
            fields.with("status", origin.status())
                    .with("endpoint", origin.endpointId())
                    .with("connection", origin.connection());
            addSurplus(fields, origin.surplusResponses());
        });
        return fields.with("attempts", delivery.attempts())
                .with("firstMs", delivery.timeToFirstTokenMs())
                .with("longestPauseMs", delivery.maxTokenIntervalMs())
                .with("events", delivery.deliveredTokens())
                .with("arrivedAtMs", request.arrivedAtMs());
    }

    @Override
    public void rejected(Rejection rejection) {
        next.rejected(rejection);
        log.request(() -> LogFields.of("rejected")
                .with("id", rejection.requestId())
                .with("caller", rejection.caller())
                .with("reason", rejection.refusal().reason().wireName())
                .with("config", rejection.configVersion())
                .with("route", rejection.route())
                .with("key", rejection.keyDigest())
                .with("detail", rejection.refusal().message()));
    }

    @Override
    public void responseCut(ResponseCut cut) {
        next.responseCut(cut);
        log.responseCut(cut);
    }
}

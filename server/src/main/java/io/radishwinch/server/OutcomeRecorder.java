package io.radishwinch.server;

import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.report.RequestOutcome;
import io.radishwinch.server.http.DeliveryStats;
import io.radishwinch.server.http.ExchangeListener;
import io.radishwinch.server.http.Refusal;
import io.radishwinch.server.http.Rejection;
import io.radishwinch.server.http.ResponseCut;
import io.radishwinch.server.metrics.RouterMetrics;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Counts the outcomes of requests, passes them to the day summary, and logs responses that are incomplete. */
final class OutcomeRecorder implements ExchangeListener {
    private final OutcomeCounter counter;
    private final ControlLoop control;
    private final Consumer<RequestOutcome> day;
    private final ResponseCutLog cuts;
    private final BooleanSupplier isClosing;

    /**
     * Creates a recorder.
     *
     * @param day receives the outcomes on the control thread
     * @param isClosing returns whether the router closes its connections
     */
    OutcomeRecorder(
            RouterMetrics metrics,
            ControlLoop control,
            Consumer<RequestOutcome> day,
            ResponseCutLog cuts,
            BooleanSupplier isClosing) {
        this.counter = new OutcomeCounter(metrics);
        this.control = control;
        this.day = day;
        this.cuts = cuts;
        this.isClosing = isClosing;
    }

    @Override
    public void finished(RequestSpec request, DeliveryStats delivery, Optional<Refusal> refusal) {
        counter.finished(request, delivery, refusal);
        RequestOutcome outcome = outcome(request, delivery, refusal);
        control.execute(() -> day.accept(outcome));
    }

    @Override
    public void rejected(Rejection rejection) {
        counter.rejected(rejection);
        if (rejection.caller().isEmpty() || rejection.rank().isEmpty()) {
            return;
        }
        Refusal refusal = rejection.refusal();
        RequestOutcome outcome = RequestOutcome.builder(
                        "", rejection.caller(), rejection.rank().get(), "")
                .failed(refusal.verdict(), refusal.reason(), System.currentTimeMillis());
        control.execute(() -> day.accept(outcome));
    }

    @Override
    public void responseCut(ResponseCut cut) {
        cuts.log(isClosing.getAsBoolean() ? cut.byStop() : cut);
    }

    private RequestOutcome outcome(RequestSpec request, DeliveryStats delivery, Optional<Refusal> refusal) {
        RequestOutcome.Builder builder = RequestOutcome.builder(
                        request.requestId(), request.caller(), request.rank(), request.pool())
                .withTokens(request.promptTokens(), delivery.deliveredTokens())
                .withRepeatable(request.isRepeatable())
                .withReplayed(delivery.isReplayed())
                .withRetries(Math.max(0, delivery.attempts() - 1));
        if (delivery.deliveredTokens() > 0) {
            builder.withFirstTokenMs(delivery.timeToFirstTokenMs());
        }
        if (delivery.deliveredTokens() > 1) {
            builder.withTokenIntervalsMs(delivery.meanTokenIntervalMs(), delivery.maxTokenIntervalMs());
        }
        long nowMs = System.currentTimeMillis();
        return refusal.map(failure -> builder.failed(failure.verdict(), failure.reason(), nowMs))
                .orElseGet(() -> builder.completed(control.nowMs() <= request.deadlineMs(), nowMs));
    }
}

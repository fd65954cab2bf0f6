package io.radishwinch.server;

import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.server.http.DeliveryStats;
import io.radishwinch.server.http.ExchangeListener;
import io.radishwinch.server.http.Refusal;
import io.radishwinch.server.http.Rejection;
import io.radishwinch.server.metrics.RouterMetrics;
import java.util.Optional;

/** Counts the outcomes of requests in the metrics. */
public final class OutcomeCounter implements ExchangeListener {
    private final RouterMetrics metrics;

    /** Creates a counter. */
    public OutcomeCounter(RouterMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void finished(RequestSpec request, DeliveryStats delivery, Optional<Refusal> refusal) {
        if (refusal.isPresent()) {
            metrics.countRefusal(request.rank(), refusal.get().reason());
        } else {
            metrics.recordResponse(
                    request.rank(),
                    delivery.deliveredTokens(),
                    delivery.timeToFirstTokenMs(),
                    delivery.meanTokenIntervalMs());
        }
    }

    @Override
    public void rejected(Rejection rejection) {
        metrics.countRefusal(rejection.rank().orElse(null), rejection.refusal().reason());
    }
}

package io.radishwinch.soak.check;

import io.radishwinch.soak.CallerRecord;
import io.radishwinch.soak.Observations;
import java.util.Optional;

/** A request that is refused as not run has run at no endpoint, and does not run later. */
public final class RefusalCheck implements PromiseCheck {
    private static final String NOT_RUN = "not-run";

    @Override
    public String promise() {
        return "a refusal as not run is true";
    }

    @Override
    public Optional<String> fault(CallerRecord request, Observations observations) {
        return request.response().verdict().equals(NOT_RUN)
                ? observations.runsOf(request.name()).stream()
                        .findFirst()
                        .map(run -> "attempt " + run.epoch() + " ran at " + run.endpoint() + " "
                                + (run.atMs() - request.sentAtMs()) + " ms after the request was sent")
                : Optional.empty();
    }
}

package io.radishwinch.soak.check;

import io.radishwinch.soak.CallerRecord;
import io.radishwinch.soak.Observations;
import java.util.Optional;

/**
 * Every whole request ends in a complete response or a refusal, and a stream is broken off only after its deadline.
 *
 * <p>All endpoints of a scenario are sound, so that no stream lacks one. A request whose router was killed, or not yet
 * started again, while it ran is not counted. Routers measure the deadline from the arrival, which is later than the
 * caller's.
 */
public final class AnswerCheck implements PromiseCheck {
    @Override
    public String promise() {
        return "every whole request ends in a complete response or a refusal, and no stream is broken off before its"
                + " deadline";
    }

    @Override
    public Optional<String> fault(CallerRecord request, Observations observations) {
        if (observations.isRouterDownDuring(request)) {
            return Optional.empty();
        }
        CallerRecord.Response response = request.response();
        String time = request.durationMs() + " of " + request.deadlineMs() + " ms";
        return switch (response.end()) {
            case COMPLETE, REFUSED -> Optional.empty();
            case BROKEN_OFF ->
                request.durationMs() >= request.deadlineMs()
                        ? Optional.empty()
                        : Optional.of("broken off after " + time + " and "
                                + response.events().size() + " of " + request.expectedEvents() + " events");
            case NO_RESPONSE -> Optional.of("the connection ended without a response after " + time);
            case CALLER_LEFT -> Optional.of("neither a whole response nor a refusal after " + time);
        };
    }
}

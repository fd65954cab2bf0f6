package io.radishwinch.soak.check;

import io.radishwinch.soak.CallerRecord;
import io.radishwinch.soak.Observations;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;

/** A stream has every event once and in order, and a complete one has all. */
public final class StreamOrderCheck implements PromiseCheck {
    private final BiFunction<String, Integer, String> eventOf;

    /**
     * Creates a check.
     *
     * @param eventOf returns the event of a request at a position, which starts at 0
     */
    public StreamOrderCheck(BiFunction<String, Integer, String> eventOf) {
        this.eventOf = eventOf;
    }

    @Override
    public String promise() {
        return "a stream has every event once and in order";
    }

    @Override
    public Optional<String> fault(CallerRecord request, Observations observations) {
        List<String> events = request.response().events();
        for (int position = 0; position < events.size(); position++) {
            String expected =
                    position < request.expectedEvents() ? eventOf.apply(request.name(), position) : "no event";
            if (!events.get(position).equals(expected)) {
                return Optional.of(
                        "event " + position + " is '" + events.get(position) + "', expected '" + expected + "'");
            }
        }
        boolean isShort =
                request.response().end() == CallerRecord.End.COMPLETE && events.size() < request.expectedEvents();
        return isShort
                ? Optional.of("complete with " + events.size() + " of " + request.expectedEvents() + " events")
                : Optional.empty();
    }
}

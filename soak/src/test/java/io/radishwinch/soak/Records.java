package io.radishwinch.soak;

import io.radishwinch.soak.CallerRecord.End;
import io.radishwinch.soak.CallerRecord.Response;
import io.radishwinch.standins.AttemptEvent;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** Observations written by hand, of one request that was sent at 1,000 ms. */
public final class Records {
    /** Name of the request. */
    public static final String NAME = "chat-1-1";

    private static final long SENT_AT_MS = 1_000;
    private static final int DEADLINE_MS = 20_000;
    private static final int EVENTS = 4;

    private Records() {}

    /** Returns the event of a request at a position. */
    public static String event(String request, int position) {
        return request + "." + position;
    }

    /** Returns the first events of the request. */
    public static List<String> events(int count) {
        return IntStream.range(0, count).mapToObj(i -> event(NAME, i)).toList();
    }

    /** Returns a request that ended some time after it was sent. */
    public static CallerRecord request(long durationMs, Response response) {
        return new CallerRecord(
                NAME,
                "chat",
                "chat.7",
                "router-1",
                "r-1",
                SENT_AT_MS,
                SENT_AT_MS + durationMs,
                DEADLINE_MS,
                EVENTS,
                response);
    }

    /** Returns a response that ended as given, after the first events. */
    public static Response response(End end, String verdict, List<String> events) {
        return new Response(end, end == End.REFUSED ? 503 : 200, "", verdict, events);
    }

    /** Returns the observations of a request with these runs at engines. */
    public static Observations observations(CallerRecord request, AttemptEvent... events) {
        return new Observations(List.of(request), Map.of(request.name(), Arrays.asList(events)), List.of(), List.of());
    }

    /** Returns an event of an attempt. */
    public static AttemptEvent attempt(int epoch, AttemptEvent.Kind kind) {
        return new AttemptEvent(SENT_AT_MS + 100L * epoch, "engine-" + epoch, "r-1", epoch, NAME, kind);
    }
}

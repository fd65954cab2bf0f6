package io.radishwinch.soak;

import java.util.List;
import java.util.Locale;

/**
 * What a caller sent and received.
 *
 * @param name name of the request, unique in a run; its prompt as well
 * @param requestClass class of the request
 * @param account client account whose key the request carries, which every configuration of the run allows
 * @param router router that the caller sent it to
 * @param requestId identifier that the router gave it, or an empty string without a response head
 * @param sentAtMs wall clock when the caller began to send, in ms since the epoch
 * @param endedAtMs wall clock when the caller saw the end, in ms since the epoch
 * @param deadlineMs time that the caller gave the request, in ms
 * @param expectedEvents events of a complete stream
 * @param response what the caller received
 */
public record CallerRecord(
        String name,
        String requestClass,
        String account,
        String router,
        String requestId,
        long sentAtMs,
        long endedAtMs,
        int deadlineMs,
        int expectedEvents,
        Response response) {

    /** How a request ended for its caller. */
    public enum End {
        /** The whole response arrived, as its framing and its last event say. */
        COMPLETE,
        /** A whole response with another status than 200 arrived. */
        REFUSED,
        /** The response ended without its last event or without the end of its framing. */
        BROKEN_OFF,
        /** The connection ended without the head of a response. */
        NO_RESPONSE,
        /** The caller closed the connection, some time after the deadline. */
        CALLER_LEFT
    }

    /**
     * Response of a router.
     *
     * @param end how it ended
     * @param status status, or 0 without a response head
     * @param reason reason that the router gave, or an empty string
     * @param verdict verdict that the router gave, or an empty string
     * @param events events of the stream, in order, without the last one that says that it is complete
     */
    public record Response(End end, int status, String reason, String verdict, List<String> events) {
        /** Creates a response with an immutable copy of the events. */
        public Response {
            events = List.copyOf(events);
        }
    }

    /** Returns the time between the start of the request and its end, in ms. */
    public long durationMs() {
        return endedAtMs - sentAtMs;
    }

    /** Returns the outcome in one or two words: how the request ended, and the reason of the router. */
    public String outcome() {
        String end = response.end().name().toLowerCase(Locale.ROOT).replace('_', '-');
        return response.reason().isEmpty() ? end : end + " " + response.reason();
    }
}

package io.radishwinch.server.proxy;

import io.vertx.core.MultiMap;

/** Headers that routers add to the requests that they relay to each other, and to the responses. */
final class RelayHeaders {

    /** Maximum number of runs of the relayed request. */
    private static final String MAX_RUNS = "X-Relay-Max-Runs";

    /** Present in the response of a router that reaches no endpoint itself; it has not run the request. */
    private static final String UNAVAILABLE = "X-Relay-Unavailable";

    private RelayHeaders() {}

    static void setMaxRuns(MultiMap headers, int maxRuns) {
        headers.set(MAX_RUNS, Integer.toString(maxRuns));
    }

    /** Removes the maximum number of runs from a relayed request and returns it, or 1 if it is missing or malformed. */
    static int takeMaxRuns(MultiMap headers) {
        String value = headers.get(MAX_RUNS);
        headers.remove(MAX_RUNS);
        try {
            return value == null ? 1 : Math.max(1, Integer.parseInt(value));
        } catch (NumberFormatException e) {
            // One run is safe for every request.
            return 1;
        }
    }

    static void setUnavailable(MultiMap headers) {
        headers.set(UNAVAILABLE, "1");
    }

    static boolean isUnavailable(MultiMap headers) {
        return headers.contains(UNAVAILABLE);
    }
}

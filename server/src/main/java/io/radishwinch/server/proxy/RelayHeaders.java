package io.radishwinch.server.proxy;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Headers that routers add to the requests that they relay to each other, and to the responses. */
final class RelayHeaders {

    /** Maximum number of runs of the relayed request; for a begun response, of further endpoints. */
    private static final String MAX_RUNS = "X-Relay-Max-Runs";

    /** Endpoints that have run the request of a begun response; in a response, those that the router has used. */
    private static final String RAN_AT = "X-Relay-Ran-At";

    /**
     * Host of a begun response that no further endpoint may run, in place of the header {@code Host}. A router of a
     * build without {@link #RAN_AT} finds no route then and does not run the request.
     */
    private static final String HOST = "X-Relay-Host";

    /** Host that no route has (RFC 2606, section 2). */
    private static final String NO_HOST = "relay.invalid";

    /** Present in the response of a router that reaches no endpoint itself; it has not run the request. */
    private static final String UNAVAILABLE = "X-Relay-Unavailable";

    /** Maximum number of endpoints that a header may name. */
    private static final int MAX_ENDPOINTS = 64;

    private static final String SEPARATOR = ",";

    private RelayHeaders() {}

    /**
     * Limits on the runs of a relayed request.
     *
     * @param maxRuns maximum number of endpoints that run it, including the earlier ones
     * @param earlierEndpointIds endpoints that have run the request of a begun response; empty for other requests
     */
    record Limits(int maxRuns, List<String> earlierEndpointIds) {}

    /** Limits the runs of a request whose response has not begun. */
    static void setMaxRuns(MultiMap headers, int maxRuns) {
        headers.remove(RAN_AT).remove(HOST);
        headers.set(MAX_RUNS, Integer.toString(maxRuns));
    }

    /**
     * Limits the endpoints that continue a begun response to those that have run it and a number of others.
     *
     * @param headers headers with the host of the request
     */
    static void setContinuation(MultiMap headers, List<String> endpointIds, int maxFurther) {
        setMaxRuns(headers, maxFurther);
        setRanAt(headers, endpointIds);
        if (maxFurther == 0 && headers.contains(HttpHeaders.HOST)) {
            headers.set(HOST, headers.get(HttpHeaders.HOST));
            headers.set(HttpHeaders.HOST, NO_HOST);
        }
    }

    /** Removes the limits of a relayed request and returns them; one run if they are missing or malformed. */
    static Limits takeLimits(MultiMap headers) {
        String host = headers.get(HOST);
        if (host != null) {
            headers.remove(HOST).set(HttpHeaders.HOST, host);
        }
        List<String> endpointIds = takeRanAt(headers);
        int maxRuns = takeMaxRuns(headers, endpointIds.isEmpty() ? 1 : 0);
        return new Limits((int) Math.min(Integer.MAX_VALUE, (long) maxRuns + endpointIds.size()), endpointIds);
    }

    private static int takeMaxRuns(MultiMap headers, int minRuns) {
        String value = headers.get(MAX_RUNS);
        headers.remove(MAX_RUNS);
        try {
            return value == null ? minRuns : Math.max(minRuns, Integer.parseInt(value));
        } catch (NumberFormatException e) {
            // The smallest number is safe for every request.
            return minRuns;
        }
    }

    /** Names the endpoints that have run the request. */
    static void setRanAt(MultiMap headers, List<String> endpointIds) {
        headers.remove(RAN_AT);
        if (!endpointIds.isEmpty()) {
            headers.set(
                    RAN_AT,
                    String.join(
                            SEPARATOR,
                            endpointIds.stream()
                                    .map(id -> URLEncoder.encode(id, StandardCharsets.UTF_8))
                                    .toList()));
        }
    }

    /** Removes the endpoints that have run the request and returns them; empty if none or too many are named. */
    static List<String> takeRanAt(MultiMap headers) {
        String value = headers.get(RAN_AT);
        headers.remove(RAN_AT);
        String[] encoded = value == null || value.isEmpty() ? new String[0] : value.split(SEPARATOR, MAX_ENDPOINTS + 1);
        List<String> endpointIds = new ArrayList<>();
        try {
            for (int i = 0; i < encoded.length && encoded.length <= MAX_ENDPOINTS; i++) {
                endpointIds.add(URLDecoder.decode(encoded[i], StandardCharsets.UTF_8));
            }
        } catch (IllegalArgumentException e) {
            // Without the endpoints, the request runs once at most.
            return List.of();
        }
        return endpointIds;
    }

    static void setUnavailable(MultiMap headers) {
        headers.set(UNAVAILABLE, "1");
    }

    static boolean isUnavailable(MultiMap headers) {
        return headers.contains(UNAVAILABLE);
    }
}

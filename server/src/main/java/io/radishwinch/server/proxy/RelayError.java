package io.radishwinch.server.proxy;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.vertx.core.MultiMap;

/**
 * Error that another router responded with to a relayed request.
 *
 * @param reason reason that its status stands for
 * @param verdict whether the request ran, as its status promises
 * @param retryAfterMs delay before a retry that the router suggests in ms, or 0 for none
 */
record RelayError(Reason reason, Verdict verdict, long retryAfterMs) {
    private static final int TOO_MANY_REQUESTS = 429;

    /** Returns the error that a response of a router stands for; the reverse of {@link ProxyErrorResponse#status}. */
    static RelayError of(int status, MultiMap headers) {
        return switch (status) {
            case ProxyErrorResponse.BAD_REQUEST -> notRun(Reason.MALFORMED_REQUEST, headers);
            case ProxyErrorResponse.UNAUTHORIZED -> notRun(Reason.UNKNOWN_CALLER, headers);
            case ProxyErrorResponse.NOT_FOUND -> notRun(Reason.UNKNOWN_PATH, headers);
            case ProxyErrorResponse.REQUEST_TIMEOUT -> notRun(Reason.SLOW_SENDER, headers);
            case ProxyErrorResponse.CONTENT_TOO_LARGE -> notRun(Reason.BODY_TOO_LARGE, headers);
            case ProxyErrorResponse.HEADERS_TOO_LARGE -> notRun(Reason.HEADER_TOO_LARGE, headers);
            case TOO_MANY_REQUESTS, ProxyErrorResponse.UNAVAILABLE -> notRun(Reason.NO_CAPACITY, headers);
            case ProxyErrorResponse.GATEWAY_TIMEOUT ->
                new RelayError(Reason.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN, 0);
            default -> new RelayError(Reason.ENDPOINT_ERROR, Verdict.MAY_HAVE_RUN, 0);
        };
    }

    /**
     * Returns whether the error rejects a request that this router has admitted, which a router with another version of
     * the configuration does.
     */
    boolean contradictsAdmission() {
        return switch (reason) {
            case MALFORMED_REQUEST, UNKNOWN_CALLER, UNKNOWN_PATH, SLOW_SENDER, BODY_TOO_LARGE, HEADER_TOO_LARGE -> true;
            default -> false;
        };
    }

    private static RelayError notRun(Reason reason, MultiMap headers) {
        return new RelayError(reason, Verdict.NOT_RUN, retryAfterMs(headers.get(ProxyErrorResponse.RETRY_AFTER)));
    }

    private static long retryAfterMs(String seconds) {
        try {
            return seconds == null
                    ? 0
                    : Math.max(0, (long) (Double.parseDouble(seconds) * ProxyErrorResponse.MS_PER_S));
        } catch (NumberFormatException e) {
            // Routers state seconds as a decimal number.
            return 0;
        }
    }
}

package io.radishwinch.server.proxy;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.http.Refusal;
import io.vertx.core.Future;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import java.util.Locale;

/** Sends the error responses that the router itself generates. */
final class ProxyErrorResponse {
    static final int BAD_REQUEST = 400;
    static final int UNAUTHORIZED = 401;
    static final int NOT_FOUND = 404;
    static final int REQUEST_TIMEOUT = 408;
    static final int CONTENT_TOO_LARGE = 413;
    static final int HEADERS_TOO_LARGE = 431;
    private static final int BAD_GATEWAY = 502;
    static final int UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;
    static final String RETRY_AFTER = "Retry-After";
    static final double MS_PER_S = 1_000;

    private ProxyErrorResponse() {}

    /**
     * Sends the error response.
     *
     * @return a future that completes when the response was written
     */
    static Future<Void> send(HttpServerResponse response, Refusal refusal, ProxyScope scope, String requestId) {
        response.setStatusCode(status(refusal)).putHeader(HttpHeaders.CONTENT_TYPE, "text/plain");
        if (refusal.retryAfterMs() > 0) {
            response.putHeader(RETRY_AFTER, String.format(Locale.ROOT, "%.2f", refusal.retryAfterMs() / MS_PER_S));
        }
        scope.announceClose(response);
        scope.dialect().markRouterResponse(response.headers(), requestId);
        return response.end(
                refusal.reason().wireName() + ", " + refusal.verdict().wireName() + ": " + refusal.message() + "\n");
    }

    /**
     * Returns the HTTP status of a refusal. A status that implies that the request did not run is returned only if the
     * verdict is {@code NOT_RUN}.
     */
    static int status(Refusal refusal) {
        if (refusal.verdict() != Verdict.NOT_RUN) {
            boolean isTimeout =
                    refusal.reason() == Reason.DEADLINE_EXCEEDED || refusal.reason() == Reason.ENDPOINT_TIMEOUT;
            return isTimeout ? GATEWAY_TIMEOUT : BAD_GATEWAY;
        }
        return switch (refusal.reason()) {
            case UNKNOWN_CALLER -> UNAUTHORIZED;
            case UNKNOWN_PATH -> NOT_FOUND;
            case MALFORMED_REQUEST -> BAD_REQUEST;
            case BODY_TOO_LARGE -> CONTENT_TOO_LARGE;
            case HEADER_TOO_LARGE -> HEADERS_TOO_LARGE;
            case SLOW_SENDER -> REQUEST_TIMEOUT;
            default -> UNAVAILABLE;
        };
    }
}

package io.radishwinch.server.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.radishwinch.core.model.Reason;
import io.vertx.core.Future;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;

/** Sends error responses in the format of the OpenAI API, extended by reason and verdict. */
final class ErrorResponse {
    static final String VERDICT_HEADER = "X-Radishwinch-Verdict";
    static final String REASON_HEADER = "X-Radishwinch-Reason";

    private static final long MS_PER_S = 1000;

    private ErrorResponse() {}

    /**
     * Sends the error response. Does nothing if the response head was already sent or the connection is closed.
     *
     * @return a future that completes when the response was written
     */
    static Future<Void> send(HttpServerResponse response, String requestId, Refusal refusal) {
        if (response.headWritten() || response.closed()) {
            return Future.succeededFuture();
        }
        response.setStatusCode(status(refusal.reason()))
                .putHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .putHeader("X-Request-Id", requestId)
                .putHeader(VERDICT_HEADER, refusal.verdict().wireName())
                .putHeader(REASON_HEADER, refusal.reason().wireName());
        if (refusal.retryAfterMs() > 0) {
            long retryAfterS = (refusal.retryAfterMs() + MS_PER_S - 1) / MS_PER_S;
            response.putHeader(HttpHeaders.RETRY_AFTER, Long.toString(retryAfterS));
        }
        if (refusal.reason() == Reason.UNKNOWN_CALLER) {
            response.putHeader("WWW-Authenticate", "Bearer");
        }
        return response.end(body(refusal, requestId).toString());
    }

    /** Returns the JSON body of the error response. */
    static ObjectNode body(Refusal refusal, String requestId) {
        ObjectNode error = JsonNodeFactory.instance.objectNode();
        error.put("message", refusal.message());
        error.put("type", type(refusal.reason()));
        error.putNull("param");
        error.put("code", refusal.reason().wireName().replace('-', '_'));
        error.put("reason", refusal.reason().wireName());
        error.put("verdict", refusal.verdict().wireName());
        error.put("request_id", requestId);
        if (refusal.retryAfterMs() > 0) {
            error.put("retry_after_ms", refusal.retryAfterMs());
        }
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.set("error", error);
        return body;
    }

    /** Returns the HTTP status of a reason. */
    static int status(Reason reason) {
        return switch (reason) {
            case MALFORMED_REQUEST, KEY_REQUIRED -> 400;
            case UNKNOWN_CALLER -> 401;
            case FORBIDDEN, CONTRACT_WITHDRAWN -> 403;
            case UNKNOWN_PATH, UNKNOWN_MODEL, UNKNOWN_SERVICE -> 404;
            case SLOW_SENDER -> 408;
            case OUTCOME_UNKNOWN, OUTCOME_NOT_STORED, IN_PROGRESS -> 409;
            case BODY_TOO_LARGE -> 413;
            case KEY_REUSED, QUARANTINED -> 422;
            case RATE_LIMITED, CONCURRENCY_LIMITED, QUEUE_FULL -> 429;
            case HEADER_TOO_LARGE -> 431;
            case CALLER_DISCONNECTED -> 499;
            case STAGE_DIED, ENDPOINT_REFUSED, ENDPOINT_CHANGED, ENDPOINT_ERROR -> 502;
            case DEADLINE_UNREACHABLE,
                    NO_CAPACITY,
                    PREEMPTED,
                    RETRY_BUDGET_EXHAUSTED,
                    ATTEMPTS_EXHAUSTED,
                    PLATFORM_UNAVAILABLE,
                    DRAINING -> 503;
            case DEADLINE_EXCEEDED, ENDPOINT_TIMEOUT, SLOW_READER -> 504;
            case INTERNAL_ERROR -> 500;
        };
    }

    private static String type(Reason reason) {
        int status = status(reason);
        if (status == 401) {
            return "authentication_error";
        }
        if (status == 403) {
            return "permission_error";
        }
        if (status == 429) {
            return "rate_limit_error";
        }
        return status < 500 ? "invalid_request_error" : "server_error";
    }
}

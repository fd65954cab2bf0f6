package io.radishwinch.server.http;

import io.radishwinch.core.model.Reason;

/** Human-readable messages of error responses. */
public final class ErrorMessages {
    private ErrorMessages() {}

    /** Returns the default message of a reason. */
    public static String of(Reason reason) {
        return switch (reason) {
            case UNKNOWN_CALLER -> "the bearer key is missing or belongs to no contract";
            case FORBIDDEN -> "the contract does not allow this rank, model or service";
            case MALFORMED_REQUEST -> "the request cannot be parsed";
            case UNKNOWN_PATH -> "no such path or method";
            case UNKNOWN_MODEL -> "no such model; see /v1/models";
            case UNKNOWN_SERVICE -> "no such service";
            case BODY_TOO_LARGE -> "the body is too large";
            case HEADER_TOO_LARGE -> "the headers are too large";
            case SLOW_SENDER -> "the body did not arrive in time";
            case SLOW_READER -> "the caller did not read the response in time";
            case RATE_LIMITED -> "the rate limit of the contract is exceeded; reduce the request rate";
            case CONCURRENCY_LIMITED ->
                "the concurrency limit of the contract is exceeded; wait for running requests to finish";
            case QUEUE_FULL -> "too many requests are queued; retry later";
            case DEADLINE_UNREACHABLE -> "the deadline cannot be met under the current load";
            case DEADLINE_EXCEEDED -> "the deadline passed before the response was complete";
            case NO_CAPACITY -> "no endpoints are available for some layers of the model";
            case QUARANTINED -> "requests with this content crashed endpoints and are temporarily blocked";
            case STAGE_DIED -> "an endpoint died while it ran the request";
            case ENDPOINT_REFUSED -> "the endpoints refused the request";
            case ENDPOINT_CHANGED -> "an endpoint no longer serves this part of the model";
            case ENDPOINT_TIMEOUT -> "an endpoint did not respond in time";
            case ENDPOINT_ERROR -> "an endpoint responded with an error";
            case PREEMPTED -> "the request was preempted by more urgent requests";
            case RETRY_BUDGET_EXHAUSTED -> "the request failed and the retry budget is exhausted";
            case ATTEMPTS_EXHAUSTED -> "the request failed on every attempt";
            case PLATFORM_UNAVAILABLE -> "non-repeatable requests cannot be recorded now; send again later";
            case OUTCOME_UNKNOWN -> "a request with this key was started and its outcome is not known";
            case OUTCOME_NOT_STORED -> "a request with this key ran; its response was too large to be stored";
            case IN_PROGRESS -> "a request with this key is still running";
            case KEY_REUSED -> "the idempotency key was used with other content";
            case KEY_REQUIRED -> "this operation needs an Idempotency-Key header of 1 to 255 characters";
            case DRAINING -> "this router is shutting down; send again";
            case CALLER_DISCONNECTED -> "the caller closed its connection";
            case CONTRACT_WITHDRAWN -> "the contract was deleted";
            case INTERNAL_ERROR -> "internal error";
        };
    }
}

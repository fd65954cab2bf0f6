package io.radishwinch.report;

import io.radishwinch.core.model.Reason;

/** Describes reasons for readers of reports and explanations. */
public final class ReasonText {
    private ReasonText() {}

    /** Returns the description of a reason, as a clause without a full stop. */
    public static String of(Reason reason) {
        return switch (reason) {
            case UNKNOWN_CALLER -> "the key matches no contract";
            case FORBIDDEN -> "the contract does not allow the rank, model or service";
            case MALFORMED_REQUEST -> "the request could not be parsed";
            case UNKNOWN_PATH -> "no resource has this path and method";
            case UNKNOWN_MODEL -> "no such model is configured";
            case UNKNOWN_SERVICE -> "no such service is configured";
            case BODY_TOO_LARGE -> "the body was too large";
            case HEADER_TOO_LARGE -> "the headers were too large";
            case SLOW_SENDER -> "the body did not arrive in time";
            case SLOW_READER -> "the caller did not read the response in time";
            case RATE_LIMITED -> "the caller was over its rate limit";
            case CONCURRENCY_LIMITED -> "the caller had too many requests in flight";
            case QUEUE_FULL -> "the queue was full";
            case DEADLINE_UNREACHABLE -> "there was too much work to meet the deadline";
            case DEADLINE_EXCEEDED -> "the deadline passed while the request ran";
            case NO_CAPACITY -> "the live endpoints did not cover the model";
            case QUARANTINED -> "the content had crashed endpoints";
            case STAGE_DIED -> "an endpoint failed during the request";
            case ENDPOINT_REFUSED -> "an endpoint refused the request";
            case ENDPOINT_CHANGED -> "an endpoint no longer served its part of the model";
            case ENDPOINT_ERROR -> "an endpoint returned an error";
            case ENDPOINT_TIMEOUT -> "an endpoint did not respond in time";
            case PREEMPTED -> "the request was preempted by more urgent work";
            case RETRY_BUDGET_EXHAUSTED -> "the retry budget was used up";
            case ATTEMPTS_EXHAUSTED -> "all attempts failed";
            case PLATFORM_UNAVAILABLE -> "the platform's object API was not available";
            case OUTCOME_NOT_STORED -> "the request ran before, and its response was too large to be stored";
            case OUTCOME_UNKNOWN -> "an earlier request with the same key may have run";
            case IN_PROGRESS -> "a request with the same key was still running";
            case KEY_REUSED -> "the idempotency key was used with other content";
            case KEY_REQUIRED -> "the idempotency key was missing";
            case DRAINING -> "the router was shutting down";
            case CALLER_DISCONNECTED -> "the caller closed its connection";
            case CONTRACT_WITHDRAWN -> "the contract was deleted";
            case INTERNAL_ERROR -> "an internal error occurred in the router";
        };
    }
}

package io.radishwinch.report;

import io.radishwinch.core.model.Reason;

/**
 * Attributes the reasons of refused and failed requests to the caller or the fleet. Only requests attributed to the
 * fleet count against a contract's promise.
 */
public enum ReasonAttribution {
    /** The request exceeded the contract, or the caller did not complete its part of the exchange. */
    CALLER,
    /** The fleet did not provide what the contract grants. */
    FLEET;

    /** Returns the side to which a reason is attributed. */
    public static ReasonAttribution of(Reason reason) {
        return switch (reason) {
            case UNKNOWN_CALLER,
                    FORBIDDEN,
                    MALFORMED_REQUEST,
                    UNKNOWN_PATH,
                    UNKNOWN_MODEL,
                    UNKNOWN_SERVICE,
                    BODY_TOO_LARGE,
                    HEADER_TOO_LARGE,
                    SLOW_SENDER,
                    SLOW_READER,
                    RATE_LIMITED,
                    CONCURRENCY_LIMITED,
                    QUARANTINED,
                    IN_PROGRESS,
                    KEY_REUSED,
                    KEY_REQUIRED,
                    CALLER_DISCONNECTED,
                    CONTRACT_WITHDRAWN -> CALLER;
            case QUEUE_FULL,
                    DEADLINE_UNREACHABLE,
                    DEADLINE_EXCEEDED,
                    NO_CAPACITY,
                    STAGE_DIED,
                    ENDPOINT_REFUSED,
                    ENDPOINT_CHANGED,
                    ENDPOINT_ERROR,
                    ENDPOINT_TIMEOUT,
                    PREEMPTED,
                    RETRY_BUDGET_EXHAUSTED,
                    ATTEMPTS_EXHAUSTED,
                    PLATFORM_UNAVAILABLE,
                    OUTCOME_NOT_STORED,
                    OUTCOME_UNKNOWN,
                    DRAINING,
                    INTERNAL_ERROR -> FLEET;
        };
    }
}

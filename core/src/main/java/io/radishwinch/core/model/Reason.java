package io.radishwinch.core.model;

import java.util.Locale;

/** Closed list of the reasons for which a request is refused or retried; each has a counter. */
public enum Reason {
    /** The bearer key is missing or matches no contract. */
    UNKNOWN_CALLER,
    /** The contract does not allow this rank, model or service. */
    FORBIDDEN,
    /** The request line, header or body cannot be parsed. */
    MALFORMED_REQUEST,
    /** No resource has this path and method. */
    UNKNOWN_PATH,
    /** No model of this name is configured. */
    UNKNOWN_MODEL,
    /** No service of this name is configured. */
    UNKNOWN_SERVICE,
    /** The body exceeds the configured size. */
    BODY_TOO_LARGE,
    /** The headers exceed the configured size. */
    HEADER_TOO_LARGE,
    /** The body did not arrive in time. */
    SLOW_SENDER,
    /** The caller did not read its answer in time. */
    SLOW_READER,
    /** The caller is over the rate limit of its contract. */
    RATE_LIMITED,
    /** The caller is over the concurrency limit of its contract. */
    CONCURRENCY_LIMITED,
    /** The queue has reached its bound. */
    QUEUE_FULL,
    /** The deadline cannot be met, found before the request cost any work. */
    DEADLINE_UNREACHABLE,
    /** The deadline passed while the request was running. */
    DEADLINE_EXCEEDED,
    /** The live endpoints do not cover every layer of the model. */
    NO_CAPACITY,
    /** Requests with this content have crashed endpoints. */
    QUARANTINED,
    /** An endpoint of the chain died during the attempt. */
    STAGE_DIED,
    /** An endpoint refused the attempt before running it. */
    ENDPOINT_REFUSED,
    /** An endpoint does not hold the layers or is not the one that the attempt was meant for. */
    ENDPOINT_CHANGED,
    /** An endpoint did not answer in time. */
    ENDPOINT_TIMEOUT,
    /** An endpoint ran the attempt and answered with an error of its own. */
    ENDPOINT_ERROR,
    /** The attempt yielded to more urgent work and resumes later. */
    PREEMPTED,
    /** The retry budget of the caller or pool is used up. */
    RETRY_BUDGET_EXHAUSTED,
    /** The request has used up its attempts. */
    ATTEMPTS_EXHAUSTED,
    /** The object API is needed for this request and cannot be reached. */
    PLATFORM_UNAVAILABLE,
    /** A non-repeatable request with this key was started and its outcome is not known. */
    OUTCOME_UNKNOWN,
    /** The non-repeatable request ran before; its answer was too large to be kept for replay. */
    OUTCOME_NOT_STORED,
    /** A request with the same idempotency key is still running. */
    IN_PROGRESS,
    /** The idempotency key was used with different content. */
    KEY_REUSED,
    /** A non-repeatable operation was called without an idempotency key. */
    KEY_REQUIRED,
    /** The router is shutting down. */
    DRAINING,
    /** The caller closed its connection. */
    CALLER_DISCONNECTED,
    /** The contract was deleted while the request was queued. */
    CONTRACT_WITHDRAWN,
    /** A fault in the router. */
    INTERNAL_ERROR;

    private final String wireName = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /** Returns the name used in error answers and metrics, for example {@code rate-limited}. */
    public String wireName() {
        return wireName;
    }
}

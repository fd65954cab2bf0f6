package io.radishwinch.core.model;

import java.util.Locale;

/** Reason for which a request is refused or an attempt is retried. Each reason has its own counter. */
public enum Reason {
    /** The bearer key is missing or matches no contract. */
    UNKNOWN_CALLER,
    /** The contract does not allow this rank, model or service. */
    FORBIDDEN,
    /** The request line, header or body cannot be parsed. */
    MALFORMED_REQUEST,
    /** No resource matches the path and the method. */
    UNKNOWN_PATH,
    /** No model with this name is configured. */
    UNKNOWN_MODEL,
    /** No plain service with this name is configured. */
    UNKNOWN_SERVICE,
    /** The body exceeds the configured size. */
    BODY_TOO_LARGE,
    /** The headers exceed the configured size. */
    HEADER_TOO_LARGE,
    /** The body did not arrive in time. */
    SLOW_SENDER,
    /** The caller did not read the response in time. */
    SLOW_READER,
    /** The caller exceeds the rate limit of its contract. */
    RATE_LIMITED,
    /** The caller exceeds the concurrency limit of its contract. */
    CONCURRENCY_LIMITED,
    /** The queue is full. */
    QUEUE_FULL,
    /** The deadline cannot be met; detected before the request ran. */
    DEADLINE_UNREACHABLE,
    /** The deadline passed while the request was running. */
    DEADLINE_EXCEEDED,
    /** The live endpoints do not cover every layer of the model. */
    NO_CAPACITY,
    /** Requests with this content have crashed endpoints. */
    QUARANTINED,
    /** An endpoint of the chain failed during the attempt. */
    STAGE_DIED,
    /** An endpoint refused the attempt before running it. */
    ENDPOINT_REFUSED,
    /** An endpoint does not hold the layers, or is not the instance that the attempt was addressed to. */
    ENDPOINT_CHANGED,
    /** An endpoint did not respond in time. */
    ENDPOINT_TIMEOUT,
    /** An endpoint ran the attempt and responded with an error. */
    ENDPOINT_ERROR,
    /** The attempt was interrupted in favour of a more urgent request and resumes later. */
    PREEMPTED,
    /** The retry budget of the caller or pool is exhausted. */
    RETRY_BUDGET_EXHAUSTED,
    /** The request has reached its maximum number of attempts. */
    ATTEMPTS_EXHAUSTED,
    /** The request needs the object API of the platform, which is unreachable. */
    PLATFORM_UNAVAILABLE,
    /** A non-repeatable request with this idempotency key was started, and its outcome is unknown. */
    OUTCOME_UNKNOWN,
    /** The non-repeatable request ran before, and its response was too large to be stored for replay. */
    OUTCOME_NOT_STORED,
    /** A request with the same idempotency key is still running. */
    IN_PROGRESS,
    /** The idempotency key was used before with different content. */
    KEY_REUSED,
    /** A non-repeatable operation was called without an idempotency key. */
    KEY_REQUIRED,
    /** The router is shutting down. */
    DRAINING,
    /** The caller closed its connection. */
    CALLER_DISCONNECTED,
    /** The contract was deleted after the request was authenticated. */
    CONTRACT_WITHDRAWN,
    /** An internal error of the router. */
    INTERNAL_ERROR;

    private final String wireName = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /** Returns the name used in error responses and metrics, for example {@code rate-limited}. */
    public String wireName() {
        return wireName;
    }
}

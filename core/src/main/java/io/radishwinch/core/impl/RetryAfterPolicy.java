package io.radishwinch.core.impl;

import io.radishwinch.core.model.RequestSpec;
import java.util.SplittableRandom;

/**
 * Computes the Retry-After time of requests that are refused for lack of capacity.
 *
 * <p>The times are spread at random, because callers that retry together would meet the same shortage. They never
 * exceed a fixed share of the time left until the deadline, so that enough time remains for the response.
 */
final class RetryAfterPolicy {

    /** Largest wait, as a share of the time left until the deadline. */
    private static final double MAX_SHARE_OF_REMAINING = 1.0 / 3;

    /** Shortest limit of the wait, in ms, for which a retry is worth a new connection. */
    private static final long MIN_USEFUL_WAIT_MS = 50;

    private final long minMs;
    private final long maxMs;
    private final SplittableRandom random;

    /**
     * Creates a policy.
     *
     * @param minMs shortest wait, in ms
     * @param maxMs longest wait, in ms
     */
    RetryAfterPolicy(long minMs, long maxMs, long seed) {
        this.minMs = minMs;
        this.maxMs = maxMs;
        this.random = new SplittableRandom(seed);
    }

    /** Returns the wait in ms to suggest to the caller, or 0 if too little time is left for a retry. */
    long waitMs(RequestSpec request, long nowMs) {
        long remainingMs = Math.max(0, request.deadlineMs() - nowMs);
        long longestMs = (long) (MAX_SHARE_OF_REMAINING * remainingMs);
        if (longestMs < MIN_USEFUL_WAIT_MS) {
            return 0;
        }
        long spreadMs = minMs + random.nextLong(Math.max(1, maxMs - minMs));
        if (spreadMs <= longestMs) {
            return spreadMs;
        }
        // Narrows the spread to the limit; clamping would let the callers retry at the same time.
        return 1 + (long) (longestMs * (0.5 + 0.5 * random.nextDouble()));
    }
}

package io.radishwinch.core.impl;

import io.radishwinch.core.model.RequestSpec;
import java.util.SplittableRandom;

/**
 * Times at which callers that were refused for want of capacity are asked to return.
 *
 * <p>They are spread over a period, since callers that return together would find the same shortage, and never exceed
 * the part of the remaining time that leaves enough for the answer.
 */
final class RetryAfterPolicy {

    /** Part of the remaining time after which a caller may still be asked to return. */
    private static final double MAX_SHARE_OF_REMAINING = 1.0 / 3;

    /** Wait below which returning is not worth a connection, in ms. */
    private static final long MIN_USEFUL_WAIT_MS = 50;

    private final long minMs;
    private final long maxMs;
    private final SplittableRandom random;

    /**
     * Creates the times.
     *
     * @param minMs shortest wait, in ms
     * @param maxMs longest wait, in ms
     */
    RetryAfterPolicy(long minMs, long maxMs, long seed) {
        this.minMs = minMs;
        this.maxMs = maxMs;
        this.random = new SplittableRandom(seed);
    }

    /** Returns the wait suggested to the caller of a request in ms, or 0 if too little time is left to return. */
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
        // Too little time is left for the whole spread, so it is narrowed instead of cut at one point.
        return 1 + (long) (longestMs * (0.5 + 0.5 * random.nextDouble()));
    }
}

package io.radishwinch.core.retry;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: the wait is uniform between zero and a bound that doubles with each retry.
 *
 * <p>Source: M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015.
 */
public final class Backoff {

    /** Maximum number of doublings, which prevents an overflow of the bound. */
    private static final int MAX_DOUBLINGS = 30;

    private final long baseMs;
    private final long maxMs;
    private final RandomGenerator random;

    /** Creates a backoff with the given first and largest bound in ms and a seeded random source. */
    public Backoff(long baseMs, long maxMs, RandomGenerator random) {
        this.baseMs = baseMs;
        this.maxMs = maxMs;
        this.random = random;
    }

    /** Returns the wait in ms before a retry, which is numbered from 0. */
    public long waitMs(int retry) {
        long boundMs = Math.min(maxMs, baseMs << Math.min(retry, MAX_DOUBLINGS));
        return random.nextLong(boundMs + 1);
    }
}

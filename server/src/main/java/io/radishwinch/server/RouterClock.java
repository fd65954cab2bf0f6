package io.radishwinch.server;

import java.util.function.LongSupplier;

/** Monotonic clock that starts at wall-clock time and is independent of later changes of the wall clock. */
public final class RouterClock implements LongSupplier {
    private static final long NANOS_PER_MS = 1_000_000;

    private final long startMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    /** Returns the current time in ms. */
    @Override
    public long getAsLong() {
        return startMs + (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }
}

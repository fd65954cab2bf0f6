package io.radishwinch.server.http;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the total memory of request bodies. Thread-safe. */
public final class MemoryBudget {
    private final long maxBytes;
    private final AtomicLong usedBytes = new AtomicLong();

    /** Creates a budget of the given number of bytes. */
    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves bytes. Returns false and reserves nothing if this would exceed the budget. */
    public boolean tryReserve(long bytes) {
        if (usedBytes.addAndGet(bytes) > maxBytes) {
            usedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Releases reserved bytes. */
    public void release(long bytes) {
        usedBytes.addAndGet(-bytes);
    }

    /** Returns the number of reserved bytes. */
    public long usedBytes() {
        return usedBytes.get();
    }
}

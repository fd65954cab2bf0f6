package io.radishwinch.server.http;

import java.util.concurrent.atomic.AtomicLong;

/** Bound on the memory that request bodies take together; safe for use by several threads. */
public final class MemoryBudget {
    private final long maxBytes;
    private final AtomicLong usedBytes = new AtomicLong();

    /** Creates a budget of the given number of bytes. */
    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves bytes; returns false, without effect, if they exceed the budget. */
    public boolean tryReserve(long bytes) {
        if (usedBytes.addAndGet(bytes) > maxBytes) {
            usedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Gives reserved bytes back. */
    public void release(long bytes) {
        usedBytes.addAndGet(-bytes);
    }

    /** Returns the bytes reserved now. */
    public long usedBytes() {
        return usedBytes.get();
    }
}

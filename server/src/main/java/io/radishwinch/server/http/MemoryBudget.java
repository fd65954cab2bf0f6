package io.radishwinch.server.http;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the total memory of request bodies. Thread-safe. */
public final class MemoryBudget {

    /** Size up to which a body counts as small, in bytes. */
    public static final long SMALL_BODY_BYTES = 64 << 10;

    /** Share of the budget that only small bodies may use, so that large ones cannot displace them. */
    private static final double SMALL_BODY_SHARE = 0.25;

    private final long maxBytes;
    private final long maxLargeBodyBytes;
    private final AtomicLong usedBytes = new AtomicLong();

    /** Creates a budget of the given number of bytes. */
    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
        maxLargeBodyBytes = (long) (maxBytes * (1 - SMALL_BODY_SHARE));
    }

    /**
     * Reserves bytes for a body. Returns false and reserves nothing if this would exceed the budget.
     *
     * @param bytes number of bytes to reserve
     * @param heldBytes number of bytes that are reserved for the same body already
     */
    public boolean tryReserve(long bytes, long heldBytes) {
        long limitBytes = bytes + heldBytes > SMALL_BODY_BYTES ? maxLargeBodyBytes : maxBytes;
        if (usedBytes.addAndGet(bytes) > limitBytes) {
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

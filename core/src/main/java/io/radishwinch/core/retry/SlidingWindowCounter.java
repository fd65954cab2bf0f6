package io.radishwinch.core.retry;

/** Counts events in a sliding window of fixed slices; an event expires at most one slice after it leaves the window. */
final class SlidingWindowCounter {

    private static final int SLICES = 20;

    private final long sliceMs;
    private final int[] counts = new int[SLICES + 1];
    private long currentSlice = Long.MIN_VALUE;
    private int total;

    SlidingWindowCounter(long windowMs) {
        this.sliceMs = Math.max(1, windowMs / SLICES);
    }

    void add(long nowMs) {
        advance(nowMs);
        counts[index(currentSlice)]++;
        total++;
    }

    int count(long nowMs) {
        advance(nowMs);
        return total;
    }

    private void advance(long nowMs) {
        long slice = Math.floorDiv(nowMs, sliceMs);
        if (currentSlice == Long.MIN_VALUE) {
            currentSlice = slice;
            return;
        }
        long steps = Math.min(counts.length, slice - currentSlice);
        for (long step = 1; step <= steps; step++) {
            int index = index(currentSlice + step);
            total -= counts[index];
            counts[index] = 0;
        }
        currentSlice = Math.max(currentSlice, slice);
    }

    private int index(long slice) {
        return (int) Math.floorMod(slice, (long) counts.length);
    }
}

package io.radishwinch.core.chain;

/**
 * Recent values of this router's own work on one endpoint.
 *
 * <p>A load report shows the endpoint at an earlier time and includes this router's work at that time. The history
 * gives that share, so that the rest can be attributed to others.
 */
final class InFlightHistory {

    private static final int CAPACITY = 32;

    private final long[] timesMs = new long[CAPACITY];
    private final int[] running = new int[CAPACITY];
    private final long[] kvBytes = new long[CAPACITY];
    private int latestPosition;

    void record(long nowMs, int runningNow, long kvBytesNow) {
        if (timesMs[latestPosition] != nowMs) {
            latestPosition = (latestPosition + 1) % CAPACITY;
        }
        timesMs[latestPosition] = nowMs;
        running[latestPosition] = runningNow;
        kvBytes[latestPosition] = kvBytesNow;
    }

    /** Returns the attempts that ran at the given time, or the oldest value known. */
    int runningAt(long timeMs) {
        return running[positionAt(timeMs)];
    }

    /** Returns the KV cache bytes reserved at the given time, or the oldest value known. */
    long kvBytesAt(long timeMs) {
        return kvBytes[positionAt(timeMs)];
    }

    private int positionAt(long timeMs) {
        int position = latestPosition;
        for (int steps = 1; steps < CAPACITY && timesMs[position] > timeMs; steps++) {
            position = (position + CAPACITY - 1) % CAPACITY;
        }
        return position;
    }
}

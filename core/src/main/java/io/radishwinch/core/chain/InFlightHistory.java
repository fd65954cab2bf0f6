package io.radishwinch.core.chain;

/**
 * Recent values of this router's own work on one endpoint.
 *
 * <p>A load report shows the endpoint at an earlier time and includes this router's work at that time. The history
 * gives that share, so that the rest can be attributed to others.
 */
final class InFlightHistory {

    private static final int SIZE = 32;

    private final long[] timesMs = new long[SIZE];
    private final int[] running = new int[SIZE];
    private final long[] kvBytes = new long[SIZE];
    private int last;

    void record(long nowMs, int runningNow, long kvBytesNow) {
        if (timesMs[last] != nowMs) {
            last = (last + 1) % SIZE;
        }
        timesMs[last] = nowMs;
        running[last] = runningNow;
        kvBytes[last] = kvBytesNow;
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
        int position = last;
        for (int steps = 1; steps < SIZE && timesMs[position] > timeMs; steps++) {
            position = (position + SIZE - 1) % SIZE;
        }
        return position;
    }
}

package io.radishwinch.core.chain;

/**
 * Ring buffer of the recent load that this router put on one endpoint.
 *
 * <p>A load report describes the endpoint at an earlier time and includes the attempts of this router at that time. The
 * history yields their number, so that the remaining attempts can be attributed to other routers.
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

    /** Returns the number of running attempts at the given time, or the oldest recorded value. */
    int runningAt(long timeMs) {
        return running[positionAt(timeMs)];
    }

    /** Returns the KV cache memory reserved at the given time in bytes, or the oldest recorded value. */
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

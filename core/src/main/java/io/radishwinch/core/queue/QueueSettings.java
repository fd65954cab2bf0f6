package io.radishwinch.core.queue;

/**
 * Bounds of the request queue.
 *
 * @param capacity maximum number of requests queued at one router
 * @param rankReserveShare fraction of the capacity that is reserved for each rank, 0 to 1/3
 * @param floorBurstMs missed floor service that a caller may catch up on, in ms at its floor rate
 */
public record QueueSettings(int capacity, double rankReserveShare, long floorBurstMs) {

    /** Validates the settings. */
    public QueueSettings {
        if (capacity < 1 || rankReserveShare < 0 || rankReserveShare > 1.0 / 3 || floorBurstMs < 0) {
            throw new IllegalArgumentException("queue settings out of range: capacity (at least 1) is " + capacity
                    + ", rankReserveShare (0 to 1/3) is " + rankReserveShare + ", floorBurstMs (at least 0) is "
                    + floorBurstMs);
        }
    }

    /** Returns the defaults. */
    public static QueueSettings defaults() {
        return new QueueSettings(10_000, 0.2, 1_000);
    }

    /** Returns a copy with another capacity. */
    public QueueSettings withCapacity(int newCapacity) {
        return new QueueSettings(newCapacity, rankReserveShare, floorBurstMs);
    }

    /** Returns a copy with another reserve per rank, as a fraction of the capacity. */
    public QueueSettings withRankReserveShare(double newShare) {
        return new QueueSettings(capacity, newShare, floorBurstMs);
    }

    /** Returns a copy with another floor burst, in ms. */
    public QueueSettings withFloorBurstMs(long newFloorBurstMs) {
        return new QueueSettings(capacity, rankReserveShare, newFloorBurstMs);
    }
}

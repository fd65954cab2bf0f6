package io.radishwinch.core.queue;

/**
 * Bounds of the request queue.
 *
 * @param capacity requests queued at one router
 * @param rankReserveShare fraction of the capacity that each rank has for itself, 0 to 1/3
 * @param floorBurstMs service below its floor that a caller may catch up on, in ms of its floor
 */
public record QueueSettings(int capacity, double rankReserveShare, long floorBurstMs) {

    /** Checks the bounds. */
    public QueueSettings {
        if (capacity < 1 || rankReserveShare < 0 || rankReserveShare > 1.0 / 3 || floorBurstMs < 0) {
            throw new IllegalArgumentException("queue: capacity " + capacity + ", rankReserveShare " + rankReserveShare
                    + ", floorBurstMs " + floorBurstMs);
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

    /** Returns a copy with another reserve for each rank. */
    public QueueSettings withRankReserveShare(double newShare) {
        return new QueueSettings(capacity, newShare, floorBurstMs);
    }

    /** Returns a copy with another floor burst, in ms. */
    public QueueSettings withFloorBurstMs(long newFloorBurstMs) {
        return new QueueSettings(capacity, rankReserveShare, newFloorBurstMs);
    }
}

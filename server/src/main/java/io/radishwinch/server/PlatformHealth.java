package io.radishwinch.server;

/** Tracks from the polls of the VM list whether the platform is reachable; thread-safe. */
final class PlatformHealth {
    private volatile boolean isReachable;
    private volatile long lastReachedAtMs;

    void recordSuccess() {
        isReachable = true;
        lastReachedAtMs = System.currentTimeMillis();
    }

    void recordFailure() {
        isReachable = false;
    }

    boolean isReachable() {
        return isReachable;
    }

    /** Returns the time of the last successful poll in ms since the epoch, or 0 if none succeeded. */
    long lastReachedAtMs() {
        return lastReachedAtMs;
    }
}

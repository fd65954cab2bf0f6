package io.radishwinch.server;

/** Whether the platform answers, judged by the periodic reading of the VM list; safe for use by several threads. */
final class PlatformHealth {
    private volatile boolean reachable;
    private volatile long lastReachedAtMs;

    void recordSuccess() {
        reachable = true;
        lastReachedAtMs = System.currentTimeMillis();
    }

    void recordFailure() {
        reachable = false;
    }

    boolean isReachable() {
        return reachable;
    }

    /** Returns the time of the last success in ms since the epoch, or 0. */
    long lastReachedAtMs() {
        return lastReachedAtMs;
    }
}

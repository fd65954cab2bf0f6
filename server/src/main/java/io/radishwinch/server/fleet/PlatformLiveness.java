package io.radishwinch.server.fleet;

import io.radishwinch.cluster.platform.PlatformClient;

/**
 * Tells soon whether the platform still responds to a router that waits for its changes. A watch without changes looks
 * the same as one whose connection has gone silent, until it times out. Used on the control thread.
 */
final class PlatformLiveness {

    /** Interval between two pings, in ms. */
    private static final long PING_INTERVAL_MS = 500;

    /** Time within which the platform responds, in ms. */
    private static final long PING_TIMEOUT_MS = 600;

    private final PlatformClient platform;
    private boolean isPinging;
    private boolean isResponding = true;
    private long nextPingMs;

    PlatformLiveness(PlatformClient platform) {
        this.platform = platform;
    }

    /** Returns whether the platform responded to the last ping. */
    boolean isResponding() {
        return isResponding;
    }

    /** Pings the platform at intervals; must be called several times per second while its changes are awaited. */
    void tick(long nowMs) {
        if (isPinging || nowMs < nextPingMs) {
            return;
        }
        isPinging = true;
        nextPingMs = nowMs + PING_INTERVAL_MS;
        platform.ping(PING_TIMEOUT_MS).subscribe().with(done -> onPinged(true), error -> onPinged(false));
    }

    private void onPinged(boolean isAnswered) {
        isPinging = false;
        isResponding = isAnswered;
    }
}

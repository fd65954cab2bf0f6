package io.radishwinch.cluster.platform;

import io.smallrye.mutiny.Uni;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Fails calls immediately while the platform does not respond, and probes it with one read at a time.
 *
 * <p>The intervals between probes are random, so that the routers of a fleet do not resume at the same time.
 */
final class CircuitBreaker {
    private static final int FAILURE_THRESHOLD = 5;
    private static final long INITIAL_PROBE_INTERVAL_MS = 500;
    /**
     * Maximum interval between two probes, in ms. With 360 routers, one probe each in 2 to 4 s is about 120 calls/s,
     * less than a tenth of the platform's reads.
     */
    static final long MAX_PROBE_INTERVAL_MS = 4_000;

    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final PlatformListener listener;
    private final Supplier<Uni<?>> probe;
    private final long maxProbeIntervalMs;
    private int failures;
    private boolean isOpen;

    CircuitBreaker(
            Scheduler scheduler,
            RandomGenerator random,
            PlatformListener listener,
            Supplier<Uni<?>> probe,
            long maxProbeMs) {
        this.scheduler = scheduler;
        this.random = random;
        this.listener = listener;
        this.probe = probe;
        this.maxProbeIntervalMs = maxProbeMs;
    }

    boolean isOpen() {
        return isOpen;
    }

    void onSuccess() {
        failures = 0;
        if (isOpen) {
            isOpen = false;
            listener.onCircuitClosed();
        }
    }

    void onFailure() {
        failures++;
        if (!isOpen && failures >= FAILURE_THRESHOLD) {
            isOpen = true;
            listener.onCircuitOpened();
            scheduleProbe(INITIAL_PROBE_INTERVAL_MS);
        }
    }

    private void scheduleProbe(long delayMs) {
        scheduler.schedule(delayMs / 2 + random.nextLong(delayMs / 2 + 1), () -> {
            if (isOpen) {
                probe.get()
                        .subscribe()
                        .with(
                                response -> onSuccess(),
                                failure -> scheduleProbe(Math.min(maxProbeIntervalMs, delayMs * 2)));
            }
        });
    }
}

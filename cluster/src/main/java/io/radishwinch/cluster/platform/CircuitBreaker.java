package io.radishwinch.cluster.platform;

import io.smallrye.mutiny.Uni;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Fails calls at once while the platform does not answer, and probes it with one read at a time.
 *
 * <p>The delay of the probes is random, so that the routers of a fleet do not all return at the same moment.
 */
final class CircuitBreaker {
    private static final int FAILURES_TO_OPEN = 5;
    private static final long FIRST_PROBE_MS = 500;
    /** At 360 routers, one probe in 2 to 4 s each is about 120 calls/s, under a tenth of the platform's reads. */
    static final long MAX_PROBE_MS = 4_000;

    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final PlatformListener listener;
    private final Supplier<Uni<?>> probe;
    private final long maxProbeMs;
    private int failures;
    private boolean open;

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
        this.maxProbeMs = maxProbeMs;
    }

    boolean isOpen() {
        return open;
    }

    void onSuccess() {
        failures = 0;
        if (open) {
            open = false;
            listener.onCircuitClosed();
        }
    }

    void onFailure() {
        failures++;
        if (!open && failures >= FAILURES_TO_OPEN) {
            open = true;
            listener.onCircuitOpened();
            scheduleProbe(FIRST_PROBE_MS);
        }
    }

    private void scheduleProbe(long delayMs) {
        scheduler.schedule(delayMs / 2 + random.nextLong(delayMs / 2 + 1), () -> {
            if (open) {
                probe.get()
                        .subscribe()
                        .with(answer -> onSuccess(), failure -> scheduleProbe(Math.min(maxProbeMs, delayMs * 2)));
            }
        });
    }
}

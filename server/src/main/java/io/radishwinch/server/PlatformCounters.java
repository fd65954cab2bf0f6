package io.radishwinch.server;

import io.micrometer.core.instrument.Counter;
import io.radishwinch.cluster.platform.PlatformException;
import io.radishwinch.cluster.platform.PlatformListener;
import io.radishwinch.server.metrics.RouterMetrics;

/** Exports the calls to the platform as metrics. */
public final class PlatformCounters implements PlatformListener {
    private static final System.Logger LOG = System.getLogger(PlatformCounters.class.getName());

    private final Counter reads;
    private final Counter writes;
    private final Counter failures;
    private final Counter retries;
    private final Counter overBudget;
    private final Counter lostResponsesResolved;

    /** Creates the counters. */
    public PlatformCounters(RouterMetrics metrics) {
        reads = metrics.counter("radishwinch.platform.reads", "reads and watches of the platform");
        writes = metrics.counter("radishwinch.platform.writes", "writes to the platform");
        failures = metrics.counter("radishwinch.platform.failures", "calls to the platform that failed");
        retries = metrics.counter("radishwinch.platform.retries", "calls to the platform that were repeated");
        overBudget = metrics.counter("radishwinch.platform.over.budget", "calls refused by the router's own budget");
        lostResponsesResolved =
                metrics.counter("radishwinch.platform.lost.answers.resolved", "lost answers whose effect was found");
    }

    @Override
    public void onCall(boolean isWrite) {
        (isWrite ? writes : reads).increment();
    }

    @Override
    public void onFailure(PlatformException.Kind kind) {
        failures.increment();
    }

    @Override
    public void onBudgetExceeded(boolean isWrite) {
        overBudget.increment();
    }

    @Override
    public void onRetry() {
        retries.increment();
    }

    @Override
    public void onLostResponseResolved() {
        lostResponsesResolved.increment();
    }

    @Override
    public void onCircuitOpened() {
        LOG.log(
                System.Logger.Level.WARNING,
                "calls to the platform fail; circuit breaker opened until a probe succeeds");
    }

    @Override
    public void onCircuitClosed() {
        LOG.log(System.Logger.Level.INFO, "platform reachable; circuit breaker closed");
    }
}

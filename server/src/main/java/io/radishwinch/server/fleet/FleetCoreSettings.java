package io.radishwinch.server.fleet;

import io.radishwinch.core.chain.LinkSettings;
import io.radishwinch.core.health.HealthSettings;
import io.radishwinch.core.impl.CoreSettings;
import io.radishwinch.core.quarantine.QuarantineSettings;
import io.radishwinch.core.queue.QueueSettings;
import io.radishwinch.core.retry.DeploymentRetryLimit;
import io.radishwinch.core.retry.RetrySettings;

/** Settings of the decision core for deployments whose endpoints report little state and whose callers retry. */
final class FleetCoreSettings {

    /** Maximum attempts per request; refusals because of stale layer information count as attempts. */
    private static final int MAX_ATTEMPTS = 6;

    /** Consecutive failures after which a pool counts as down; all streams of one failed endpoint fail at once. */
    private static final int OUTAGE_FAILURES = 60;

    private static final long BACKOFF_BASE_MS = 10;
    private static final long BACKOFF_MAX_MS = 200;

    /** Slow-start period of a new endpoint, in ms; none, because weights are loaded before the endpoint is listed. */
    private static final long SLOW_START_MS = 0;

    /**
     * Crashes after which a request is quarantined as their cause. A crashing engine ends the streams of many unrelated
     * requests, so one or two crashes are not significant.
     */
    private static final int MAX_CRASHES = 3;

    /**
     * Quarantine periods, in ms; short, because engines restart within seconds and callers retry within their deadline.
     */
    private static final long QUARANTINE_MS = 60_000;

    private static final long SUSPECT_MS = 60_000;
    private static final long TRUST_MS = 60_000;

    /** Bounds of the retry delay suggested to refused callers, in ms; lost layers are reloaded within 2 s to 4 s. */
    private static final long MIN_RETRY_AFTER_MS = 2_000;

    private static final long MAX_RETRY_AFTER_MS = 5_000;

    /** Maximum queued requests at one router; further ones would miss their target latency. */
    private static final int QUEUE_CAPACITY = 256;

    /** Time for which requests stay queued for a pool without full coverage, in ms; most repairs take no longer. */
    private static final long UNCOVERED_GRACE_MS = 400;

    /** Cost of an additional stage, in us; a token waits for about half an accelerator step at each stage. */
    private static final double STAGE_DELAY_US = 500;

    /**
     * Cost of entering a chain in another data centre, in us; equals the cost of a slot on endpoints with half the
     * load.
     */
    private static final double CROSS_DATA_CENTRE_ENTRY_US = 4_000;

    /** Maximum number of routers that share endpoint load across data centres; more would exceed 3 KB/s per router. */
    static final int MAX_ROUTERS_SHARING_LOAD = 100;

    /** Rate at which a router of a small fleet forwards the load totals of one collector, in bytes/s. */
    static final long LOAD_BYTES_PER_S = 8_000;

    private FleetCoreSettings() {}

    /** Disables link correction from token intervals, because batching makes these vary more than links do. */
    static LinkSettings links(String localDataCentre) {
        return new LinkSettings(localDataCentre, STAGE_DELAY_US, STAGE_DELAY_US, CROSS_DATA_CENTRE_ENTRY_US, false);
    }

    static CoreSettings core(DeploymentRetryLimit retryLimit) {
        return CoreSettings.defaults()
                .withQueue(QueueSettings.defaults().withCapacity(QUEUE_CAPACITY))
                .withRetry(RetrySettings.defaults()
                        .withMaxAttempts(MAX_ATTEMPTS)
                        .withOutageFailures(OUTAGE_FAILURES)
                        .withDeploymentLimit(retryLimit)
                        .withBackoff(BACKOFF_BASE_MS, BACKOFF_MAX_MS))
                .withRetryAfter(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
                .withQuarantine(QuarantineSettings.defaults()
                        .withTimes(QUARANTINE_MS, SUSPECT_MS, TRUST_MS)
                        .withRestartDelays(0, 0)
                        .withoutObservation()
                        .withMaxCrashes(MAX_CRASHES))
                .withInitialAllotmentShare(1)
                .withServiceWhileDraining()
                .withStreamRerouting()
                .withUncoveredGraceMs(UNCOVERED_GRACE_MS);
    }

    static HealthSettings health() {
        return HealthSettings.defaults().withSlowStartMs(SLOW_START_MS);
    }
}

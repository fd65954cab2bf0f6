package io.radishwinch.server.fleet;

import io.radishwinch.core.chain.LinkSettings;
import io.radishwinch.core.health.HealthSettings;
import io.radishwinch.core.impl.CoreSettings;
import io.radishwinch.core.quarantine.QuarantineSettings;
import io.radishwinch.core.queue.QueueSettings;
import io.radishwinch.core.retry.DeploymentRetryLimit;
import io.radishwinch.core.retry.RetrySettings;

/** Settings of the decision core for routers whose endpoints report little and whose callers send again themselves. */
final class FleetCoreSettings {

    /** Attempts of one request; refusals by endpoints with outdated layers count too. */
    private static final int MAX_ATTEMPTS = 6;

    /** Failures in a row after which a pool counts as down; the streams of one lost endpoint fail together. */
    private static final int OUTAGE_FAILURES = 60;

    private static final long BACKOFF_BASE_MS = 10;
    private static final long BACKOFF_MAX_MS = 200;

    /** Time in which a new endpoint reaches its full share, in ms; weights are loaded before it is listed. */
    private static final long SLOW_START_MS = 0;

    /**
     * Crashes after which a request is taken for their cause. An engine that dies takes the streams of many innocent
     * requests with it, so that one or two say little.
     */
    private static final int MAX_CRASHES = 3;

    /** Times of the quarantine, in ms: engines start again within seconds, and callers return within their deadline. */
    private static final long QUARANTINE_MS = 60_000;

    private static final long SUSPECT_MS = 60_000;
    private static final long TRUST_MS = 60_000;

    /** Waits suggested to refused callers, in ms: a lost part of a chain is loaded again in two to four seconds. */
    private static final long MIN_RETRY_AFTER_MS = 2_000;

    private static final long MAX_RETRY_AFTER_MS = 5_000;

    /** Requests that wait at one router; beyond it, they would miss their targets. */
    private static final int QUEUE_CAPACITY = 256;

    /** Time for which requests wait for a pool that lost its cover, in ms; most repairs take no longer. */
    private static final long UNCOVERED_GRACE_MS = 400;

    /** Price of one more stage, in us; a token waits for about half a pass of an accelerator at each. */
    private static final double STAGE_DELAY_US = 500;

    /** Price of entering a chain in another data centre, in us; that of a slot on endpoints half as busy. */
    private static final double CROSS_DATA_CENTRE_ENTRY_US = 4_000;

    /** Routers up to which data centres tell each other of endpoints; more would exceed 3 KB/s each. */
    static final int MAX_ROUTERS_SHARING_LOAD = 100;

    /**
     * Rate at which a router may tell the others of its work on endpoints, in bytes/s: twice a second for eight routers
     * of forty engines; larger deployments tell it less often.
     */
    static final long LOAD_BYTES_PER_S = 8_000;

    private FleetCoreSettings() {}

    /** Batches make token intervals vary by more than links do, so that links are not corrected by them. */
    static LinkSettings links(String homeDataCentre) {
        return new LinkSettings(homeDataCentre, STAGE_DELAY_US, STAGE_DELAY_US, CROSS_DATA_CENTRE_ENTRY_US, false);
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

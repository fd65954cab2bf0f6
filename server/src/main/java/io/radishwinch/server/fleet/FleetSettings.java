package io.radishwinch.server.fleet;

import io.radishwinch.cluster.membership.Address;
import io.radishwinch.core.retry.DeploymentRetryLimit;
import java.util.List;
import java.util.Optional;

/**
 * Addresses and limits of one router.
 *
 * @param routerId identifier of this router, unique in the deployment
 * @param dataCentre data centre of its VM
 * @param callers listen address for callers
 * @param readiness listen address of the readiness check
 * @param readinessPath path of the readiness check
 * @param metrics listen address for metrics
 * @param peers listen address for other routers
 * @param relay listen address for requests that other routers relay, with the same port on all routers; without it,
 *     none are relayed
 * @param seeds addresses of other routers
 * @param platformReadsPerS limit on the reads of all routers together, in calls/s
 * @param platformWritesPerS limit on the writes of all routers together, in calls/s
 * @param relistGraceMs time within which endpoints are listed again after a platform outage, in ms
 * @param stopGraceMs time between the stop request and the end of the process, in ms
 * @param retryLimit limit on the retries of all routers together
 */
public record FleetSettings(
        String routerId,
        String dataCentre,
        Address callers,
        Address readiness,
        String readinessPath,
        Address metrics,
        Address peers,
        Optional<Address> relay,
        List<Address> seeds,
        double platformReadsPerS,
        double platformWritesPerS,
        long relistGraceMs,
        long stopGraceMs,
        DeploymentRetryLimit retryLimit) {

    /** Copies the list. */
    public FleetSettings {
        seeds = List.copyOf(seeds);
    }
}

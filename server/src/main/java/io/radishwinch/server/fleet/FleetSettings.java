package io.radishwinch.server.fleet;

import io.radishwinch.cluster.membership.Address;
import io.radishwinch.core.retry.DeploymentRetryLimit;
import java.util.List;

/**
 * Where one router runs and what it is bound to.
 *
 * @param routerId identifier of this router, unique in the deployment
 * @param dataCentre data centre of its VM
 * @param callers address on which callers are served
 * @param readiness address on which readiness is told
 * @param readinessPath path at which readiness is asked
 * @param metrics address on which metrics are served
 * @param peers address on which other routers are served
 * @param seeds addresses of other routers
 * @param platformReadsPerS reads that all routers together may make, in calls/s
 * @param platformWritesPerS writes that all routers together may make, in calls/s
 * @param relistGraceMs time within which endpoints are listed again after the platform was away, in ms
 * @param stopGraceMs time between the request to stop and the end of the process, in ms
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

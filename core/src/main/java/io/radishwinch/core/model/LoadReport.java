package io.radishwinch.core.model;

import java.util.List;

/**
 * Load report of an endpoint. The reported state can be stale when the report arrives.
 *
 * @param endpointId reporting endpoint
 * @param holdings loaded layers
 * @param running number of running attempts
 * @param queued number of attempts queued inside the endpoint
 * @param kvFreeBytes free KV cache memory, in bytes
 * @param layerTimeUs mean time of one layer for one token, in us
 * @param measuredAtMs time of the measurement, in ms of the router's clock
 */
public record LoadReport(
        String endpointId,
        List<Holding> holdings,
        int running,
        int queued,
        long kvFreeBytes,
        double layerTimeUs,
        long measuredAtMs) {

    /** Copies the holdings. */
    public LoadReport {
        holdings = List.copyOf(holdings);
    }
}

package io.radishwinch.core.model;

import java.util.List;

/**
 * State that an endpoint reported; it lags behind the truth.
 *
 * @param endpointId reporting endpoint
 * @param holdings layers loaded
 * @param running attempts running
 * @param queued attempts waiting inside the endpoint
 * @param kvFreeBytes free KV cache memory
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

package io.radishwinch.server.fleet;

import io.radishwinch.core.model.LayerRange;
import java.util.List;
import java.util.Optional;

/**
 * Status report of an endpoint.
 *
 * @param incarnation number that identifies the start of the process
 * @param layers layers that it holds, or empty if it holds none
 * @param isBusy whether it is executing an order
 * @param acceptedOrders number of orders accepted since its start
 * @param stalledAddresses addresses of unresponsive endpoints that its streams wait for
 * @param stepTimeRatio time of a step divided by the usual time; the endpoint is slow if it exceeds 1
 */
public record StatusReport(
        long incarnation,
        Optional<LayerRange> layers,
        boolean isBusy,
        long acceptedOrders,
        List<String> stalledAddresses,
        double stepTimeRatio) {

    /** Copies the list. */
    public StatusReport {
        stalledAddresses = List.copyOf(stalledAddresses);
    }
}

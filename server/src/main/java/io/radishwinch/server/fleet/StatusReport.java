package io.radishwinch.server.fleet;

import io.radishwinch.core.model.LayerRange;
import java.util.List;
import java.util.Optional;

/**
 * What an endpoint says of itself.
 *
 * @param incarnation number of its start
 * @param layers layers that it holds, or empty for none
 * @param isBusy whether it carries out an order
 * @param acceptedOrders orders that it has accepted since its start
 * @param stalledAddresses addresses of endpoints that its streams wait for in vain
 * @param stepTimeRatio time of a step relative to the usual one; above 1 the endpoint is slow
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

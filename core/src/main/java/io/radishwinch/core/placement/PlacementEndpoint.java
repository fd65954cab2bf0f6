package io.radishwinch.core.placement;

import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.Holding;
import java.util.List;

/**
 * State of an endpoint for placement; removed and leaving endpoints are omitted.
 *
 * @param spec fixed properties
 * @param holdings layers that it holds
 * @param isEjected whether outlier detection has ejected it
 * @param occupiedSlots estimated running attempts of all routers
 */
public record PlacementEndpoint(EndpointSpec spec, List<Holding> holdings, boolean isEjected, int occupiedSlots) {

    /** Copies the holdings. */
    public PlacementEndpoint {
        holdings = List.copyOf(holdings);
    }

    /** Returns the identifier. */
    public String id() {
        return spec.id();
    }
}

package io.radishwinch.core.placement;

import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.Holding;
import java.util.List;

/**
 * State of an endpoint for placement; leaving endpoints are omitted, and removed ones unless they are suspected.
 *
 * @param spec fixed properties
 * @param holdings layers that it holds
 * @param isEjected whether outlier detection has ejected it
 * @param occupiedSlots estimated running attempts of all routers
 * @param isSuspected whether it does not respond and may do so again; it counts as a holder of its layers and gets no
 *     orders
 */
public record PlacementEndpoint(
        EndpointSpec spec, List<Holding> holdings, boolean isEjected, int occupiedSlots, boolean isSuspected) {

    /** Copies the holdings. */
    public PlacementEndpoint {
        holdings = List.copyOf(holdings);
    }

    /** Creates the state of an endpoint that is in use. */
    public PlacementEndpoint(EndpointSpec spec, List<Holding> holdings, boolean isEjected, int occupiedSlots) {
        this(spec, holdings, isEjected, occupiedSlots, false);
    }

    /** Returns the state of the endpoint when it does not respond. */
    public PlacementEndpoint suspected() {
        return new PlacementEndpoint(spec, holdings, isEjected, occupiedSlots, true);
    }

    /** Returns the identifier. */
    public String id() {
        return spec.id();
    }
}

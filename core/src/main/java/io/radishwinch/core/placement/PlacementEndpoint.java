package io.radishwinch.core.placement;

import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.Holding;
import java.util.List;

/**
 * An endpoint as placement sees it; endpoints that are gone or leaving are left out.
 *
 * @param spec fixed properties
 * @param holdings layers held
 * @param isEjected whether health has ejected it
 * @param occupiedSlots estimated attempts of all routers
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

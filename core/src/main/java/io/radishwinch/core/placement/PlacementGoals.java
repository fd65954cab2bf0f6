package io.radishwinch.core.placement;

import io.radishwinch.core.model.EngineOrder;
import java.util.List;
import java.util.Map;

/**
 * What engines should run besides the layers.
 *
 * @param adapters adapters of each model
 * @param versions weights version of each model
 * @param roles role of each endpoint
 */
public record PlacementGoals(
        Map<String, List<String>> adapters, Map<String, String> versions, Map<String, EngineOrder.Role> roles) {

    /** Copies the maps. */
    public PlacementGoals {
        adapters = Map.copyOf(adapters);
        versions = Map.copyOf(versions);
        roles = Map.copyOf(roles);
    }

    /** Returns goals that ask for nothing. */
    public static PlacementGoals none() {
        return new PlacementGoals(Map.of(), Map.of(), Map.of());
    }
}

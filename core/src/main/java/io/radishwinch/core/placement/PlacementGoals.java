package io.radishwinch.core.placement;

import io.radishwinch.core.model.EngineOrder;
import java.util.List;
import java.util.Map;

/**
 * Target state of engines besides their layers.
 *
 * @param adapters adapters by model
 * @param versions version of the weights by model
 * @param roles role by endpoint
 */
public record PlacementGoals(
        Map<String, List<String>> adapters, Map<String, String> versions, Map<String, EngineOrder.Role> roles) {

    /** Copies the maps. */
    public PlacementGoals {
        adapters = Map.copyOf(adapters);
        versions = Map.copyOf(versions);
        roles = Map.copyOf(roles);
    }

    /** Returns empty goals. */
    public static PlacementGoals none() {
        return new PlacementGoals(Map.of(), Map.of(), Map.of());
    }
}

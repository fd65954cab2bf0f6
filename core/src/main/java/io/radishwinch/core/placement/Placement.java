package io.radishwinch.core.placement;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.model.FleetConfig;
import java.util.Collection;
import java.util.List;

/** Decides which layers each engine holds. */
public interface Placement {

    /**
     * Plans the next orders.
     *
     * @param endpoints endpoints that are neither gone nor leaving
     * @param config configuration in force
     * @return orders to send and changes to log
     */
    List<Action> tick(Collection<PlacementEndpoint> endpoints, FleetConfig config, long nowMs);

    /** Records the answer of an engine to an order. */
    void acknowledged(String endpointId, long fencingNumber, boolean accepted);

    /** Notes that a live endpoint leaves as planned; it still ends what it runs. */
    default void endpointLeft(String endpointId, long nowMs) {}

    /** Returns whether the endpoint is about to replace all layers it holds by this router's order. */
    boolean isReloading(String endpointId);
}

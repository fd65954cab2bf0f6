package io.radishwinch.core.placement;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.model.FleetConfig;
import java.util.Collection;
import java.util.List;

/** Strategy that decides which layers each engine holds. */
public interface Placement {

    /**
     * Plans the next orders.
     *
     * @param endpoints endpoints that are neither removed nor leaving
     * @param config configuration in effect
     * @param nowMs current time in ms
     * @return orders to send and changes to log
     */
    List<Action> tick(Collection<PlacementEndpoint> endpoints, FleetConfig config, long nowMs);

    /** Records the response of an engine to an order. */
    void acknowledged(String endpointId, long fencingToken, boolean isAccepted);

    /** Records a planned leave of a live endpoint, which still finishes its running attempts. */
    default void endpointLeft(String endpointId, long nowMs) {}

    /** Returns whether the endpoint has a pending order of this router that replaces all layers it holds. */
    boolean isReloading(String endpointId);
}

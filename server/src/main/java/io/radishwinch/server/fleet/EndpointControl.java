package io.radishwinch.server.fleet;

import io.radishwinch.core.model.EngineOrder.Handover;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.server.proxy.EndpointContact;
import io.radishwinch.server.proxy.Forwarding;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;

/** Questions and orders to endpoints, beside their requests. Failures are those of the connection. */
public interface EndpointControl {

    /**
     * Asks an endpoint for its state.
     *
     * @return the state, or empty if the endpoint answers but has no report, as plain services do
     */
    Uni<Optional<StatusReport>> requestStatus(EndpointContact contact);

    /**
     * Orders an engine to hold exactly a range of layers.
     *
     * @param handover what becomes of the streams that pass through layers given up
     * @param acceptedOrders orders that the engine must have accepted so far; another number means that somebody else
     *     ordered it meanwhile, and the order is refused
     */
    Uni<OrderResult> orderLayers(EndpointContact contact, LayerRange layers, Handover handover, long acceptedOrders);

    /**
     * Orders the first engine of a chain to let a running request go on over other engines.
     *
     * @param requestId identifier of the request as the engine knows it
     * @param chain engines from now on; the first one and its layers stay
     */
    Uni<OrderResult> reroute(EndpointContact head, String requestId, List<Forwarding.Hop> chain);

    /** What became of an order. */
    enum OrderResult {
        /** The engine has begun, or the state holds already. */
        ACCEPTED,
        /** The order does not fit the engine's state. */
        CONFLICT,
        /** The engine takes no orders, or another one has its address. */
        REFUSED
    }
}

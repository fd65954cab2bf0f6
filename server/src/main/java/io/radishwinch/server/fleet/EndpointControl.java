package io.radishwinch.server.fleet;

import io.radishwinch.core.model.EngineOrder.Handover;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.server.proxy.EndpointContact;
import io.radishwinch.server.proxy.ForwardingContext;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Requests status reports from endpoints and sends them orders. A returned {@code Uni} fails only if the call fails.
 */
public interface EndpointControl {

    /**
     * Requests a status report.
     *
     * @return the report, or empty if the endpoint responds without one, as plain services do
     */
    Uni<Optional<StatusReport>> requestStatus(EndpointContact contact);

    /** Connects to an endpoint and closes the connection. Fails if the endpoint does not accept it in time. */
    Uni<Void> connect(EndpointContact contact);

    /**
     * Orders an engine to hold exactly a range of layers.
     *
     * @param handover how streams that pass through released layers are handled
     * @param acceptedOrders number of orders that the engine must have accepted so far; if it differs, another router
     *     has sent an order in the meantime and the engine refuses this one
     */
    Uni<OrderResult> orderLayers(EndpointContact contact, LayerRange layers, Handover handover, long acceptedOrders);

    /**
     * Orders the first engine of a chain to continue a running request over other engines.
     *
     * @param firstStage first engine of the chain
     * @param requestId identifier of the request at the engine
     * @param chain new chain; its first engine and the layers there must not change
     */
    Uni<OrderResult> reroute(EndpointContact firstStage, String requestId, List<ForwardingContext.Hop> chain);

    /** Sets the receiver of the identifiers of endpoints that announce in a response that they leave. */
    void setLeavingListener(Consumer<String> listener);

    /** Result of an order. */
    enum OrderResult {
        /** The engine has started to execute the order, or is already in the requested state. */
        ACCEPTED,
        /** The order does not match the engine's state. */
        CONFLICT,
        /** The engine takes no orders, or a different engine uses its address. */
        REFUSED
    }
}

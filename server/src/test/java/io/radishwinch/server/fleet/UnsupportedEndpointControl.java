package io.radishwinch.server.fleet;

import io.radishwinch.core.model.EngineOrder.Handover;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.server.proxy.EndpointContact;
import io.radishwinch.server.proxy.ForwardingContext;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Endpoint control that fails all calls; tests override those that they expect. */
abstract class UnsupportedEndpointControl implements EndpointControl {

    @Override
    public Uni<Optional<StatusReport>> requestStatus(EndpointContact contact) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Uni<Void> connect(EndpointContact contact) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Uni<OrderResult> orderLayers(
            EndpointContact contact, LayerRange layers, Handover handover, long acceptedOrders) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Uni<OrderResult> reroute(EndpointContact firstStage, String requestId, List<ForwardingContext.Hop> chain) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void setLeavingListener(Consumer<String> listener) {}
}

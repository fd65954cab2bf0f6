package io.radishwinch.server.fleet;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Stage;
import io.radishwinch.server.Failures;
import io.radishwinch.server.proxy.EndpointContact;
import io.radishwinch.server.proxy.ForwardingContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Orders the first engine of a chain to continue a stream over other engines. Used on the control thread. */
final class StreamRerouter {

    private final EndpointControl endpoints;
    private final EndpointRegistry registry;
    private final Consumer<Event> events;
    private final FleetLog log;

    StreamRerouter(EndpointControl endpoints, EndpointRegistry registry, Consumer<Event> events, FleetLog log) {
        this.endpoints = endpoints;
        this.registry = registry;
        this.events = events;
        this.log = log;
    }

    /** Sends the order and posts to the core whether the stream was rerouted. */
    void reroute(Action.RerouteAttempt reroute) {
        List<ForwardingContext.Hop> hops = new ArrayList<>();
        for (Stage stage : reroute.chain().stages()) {
            Optional<EndpointContact> contact = registry.contact(stage.endpointId());
            if (contact.isEmpty()) {
                onResult(reroute, false, "endpoint " + stage.endpointId() + " is unknown");
                return;
            }
            hops.add(new ForwardingContext.Hop(
                    contact.get(), stage.layers().first(), stage.layers().end()));
        }
        endpoints
                .reroute(hops.get(0).contact(), reroute.requestId(), hops)
                .subscribe()
                .with(
                        result -> onResult(reroute, result == EndpointControl.OrderResult.ACCEPTED, result.name()),
                        error -> onResult(reroute, false, "no response: " + Failures.describe(error)));
    }

    private void onResult(Action.RerouteAttempt reroute, boolean isAccepted, String detail) {
        log.request(() -> DecisionLogger.rerouteFields(reroute, isAccepted, detail));
        events.accept(new Event.AttemptRerouted(reroute.requestId(), reroute.epoch(), isAccepted));
    }
}

package io.radishwinch.server;

import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformClient.PutResult;
import io.radishwinch.cluster.platform.PlatformClient.StoredObject;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.server.engine.EndpointAddress;
import io.radishwinch.server.engine.EngineClient;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;

/**
 * Sends orders to engines. The fencing token of an order is the platform version of a preceding write to
 * {@code fencing/<endpoint>}, so tokens of all routers are unique and increase.
 */
final class OrderSender {
    private static final System.Logger LOG = System.getLogger(OrderSender.class.getName());
    private static final String FENCING_KEY_PREFIX = "fencing/";

    private final ControlLoop control;
    private final PlatformClient platform;
    private final EngineClient engines;
    private final EndpointTracker endpoints;
    private final String processId;

    OrderSender(
            ControlLoop control,
            PlatformClient platform,
            EngineClient engines,
            EndpointTracker endpoints,
            String processId) {
        this.control = control;
        this.platform = platform;
        this.engines = engines;
        this.endpoints = endpoints;
        this.processId = processId;
    }

    /** Sends an order and posts the result to the core. The order fails if the platform is unreachable. */
    void send(Action.OrderEngine order) {
        String key = FENCING_KEY_PREFIX + order.endpointId();
        platform.get(key)
                .onItem()
                .transformToUni(found -> platform.put(
                        key,
                        found.map(StoredObject::version).orElse(PlatformClient.ABSENT),
                        processId.getBytes(StandardCharsets.UTF_8),
                        UUID.randomUUID().toString()))
                .subscribe()
                .with(result -> sendWithFencingToken(order, result), error -> acknowledge(order, false));
    }

    private void sendWithFencingToken(Action.OrderEngine order, PutResult result) {
        Optional<EndpointAddress> address = Optional.ofNullable(endpoints.address(order.endpointId()));
        if (result instanceof PutResult.Written written && address.isPresent()) {
            engines.sendOrder(address.get(), written.version(), order.order())
                    .subscribe()
                    .with(accepted -> acknowledge(order, accepted), error -> acknowledge(order, false));
        } else {
            acknowledge(order, false);
        }
    }

    private void acknowledge(Action.OrderEngine order, boolean isAccepted) {
        LOG.log(
                System.Logger.Level.INFO,
                "order to {0}: {1}, {2}",
                order.endpointId(),
                order.order(),
                isAccepted ? "accepted" : "not accepted");
        control.post(new Event.OrderAcknowledged(order.endpointId(), order.fencingToken(), isAccepted));
    }
}

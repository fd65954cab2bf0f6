package io.radishwinch.server.fleet;

import io.radishwinch.cluster.platform.Scheduler;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.server.fleet.EndpointControl.OrderResult;
import io.radishwinch.server.proxy.EndpointContact;
import io.smallrye.mutiny.groups.UniSubscribe;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Sends orders for layers to engines and follows them until they are done. Used on the control thread.
 *
 * <p>Every order names the orders that the engine has accepted before, so that an order of a router that does not know
 * the engine's state is refused.
 */
final class LayerOrders {

    /** First time after an order at which the engine is asked whether it is done, in ms. */
    private static final long FIRST_CHECK_MS = 300;

    /** Interval of further questions, in ms; a question is priced, and a report lags by less. */
    private static final long CHECK_INTERVAL_MS = 400;

    private static final int MAX_CHECKS = 20;

    private final EndpointControl endpoints;
    private final EndpointRegistry registry;
    private final Scheduler scheduler;
    private final Consumer<Event> core;
    private final Runnable leaseDoubt;
    private final FleetLog log;
    private final LongSupplier clockMs;
    private final Map<String, Long> acceptedOrders = new HashMap<>();

    LayerOrders(
            EndpointControl endpoints,
            EndpointRegistry registry,
            Scheduler scheduler,
            Consumer<Event> core,
            Runnable leaseDoubt,
            FleetLog log,
            LongSupplier clockMs) {
        this.endpoints = endpoints;
        this.registry = registry;
        this.scheduler = scheduler;
        this.core = core;
        this.leaseDoubt = leaseDoubt;
        this.log = log;
        this.clockMs = clockMs;
    }

    /** Sends an order; the core is told whether it was accepted. */
    void send(Action.OrderEngine order) {
        Optional<EndpointContact> contact = registry.contact(order.endpointId());
        if (contact.isEmpty() || !(order.order() instanceof EngineOrder.LoadLayers load)) {
            acknowledge(order, false, "endpoint unknown or order not supported");
            return;
        }
        boolean isEmpty = registry.entry(order.endpointId())
                .map(entry -> entry.layers().isEmpty())
                .orElse(false);
        if (acceptedOrders.containsKey(order.endpointId())) {
            place(order, contact.get(), load, acceptedOrders.get(order.endpointId()));
        } else if (isEmpty) {
            // An engine without layers has most likely not been ordered since its start.
            place(order, contact.get(), load, 0);
        } else {
            askFirst(order, contact.get(), load);
        }
    }

    private void askFirst(Action.OrderEngine order, EndpointContact contact, EngineOrder.LoadLayers load) {
        report(contact)
                .with(
                        report -> {
                            registry.reported(order.endpointId(), report, clockMs.getAsLong());
                            place(order, contact, load, report.acceptedOrders());
                        },
                        error -> acknowledge(order, false, "no report: " + error.getMessage()));
    }

    private void place(Action.OrderEngine order, EndpointContact contact, EngineOrder.LoadLayers load, long accepted) {
        LayerRange layers = load.layers();
        endpoints
                .place(contact, layers, load.handover(), accepted)
                .subscribe()
                .with(result -> ordered(order, contact, layers, accepted, result), error -> {
                    // The order may still be carried out; the next one asks for the engine's state first.
                    acceptedOrders.remove(order.endpointId());
                    acknowledge(order, false, "no answer: " + error.getMessage());
                    checkLater(order.endpointId(), layers, 1);
                });
    }

    private void ordered(
            Action.OrderEngine order, EndpointContact contact, LayerRange layers, long accepted, OrderResult result) {
        if (result == OrderResult.ACCEPTED) {
            acceptedOrders.put(order.endpointId(), accepted + 1);
            acknowledge(order, true, "after " + accepted + " orders");
            checkLater(order.endpointId(), layers, 1);
            return;
        }
        acceptedOrders.remove(order.endpointId());
        acknowledge(order, false, result.name());
        if (result == OrderResult.CONFLICT) {
            leaseDoubt.run();
            report(contact)
                    .with(
                            report -> {
                                acceptedOrders.put(order.endpointId(), report.acceptedOrders());
                                registry.reported(order.endpointId(), report, clockMs.getAsLong());
                            },
                            error -> log.belief("endpoint-silent", order.endpointId(), error.getMessage()));
        }
    }

    /** Asks the engine until it holds the layers, unless the platform's list says so first. */
    private void checkLater(String endpointId, LayerRange layers, int check) {
        if (check > MAX_CHECKS) {
            return;
        }
        scheduler.schedule(check == 1 ? FIRST_CHECK_MS : CHECK_INTERVAL_MS, () -> {
            Optional<EndpointEntry> entry = registry.entry(endpointId);
            Optional<EndpointContact> contact = registry.contact(endpointId);
            boolean isDone = entry.isEmpty() || entry.get().layers().equals(Optional.of(layers));
            if (isDone || contact.isEmpty()) {
                return;
            }
            report(contact.get())
                    .with(
                            report -> {
                                registry.reported(endpointId, report, clockMs.getAsLong());
                                if (report.isBusy() || !report.layers().equals(Optional.of(layers))) {
                                    checkLater(endpointId, layers, check + 1);
                                }
                            },
                            error -> registry.unreachable(
                                    endpointId, "no report: " + error.getMessage(), clockMs.getAsLong()));
        });
    }

    private UniSubscribe<EndpointReport> report(EndpointContact contact) {
        return endpoints
                .report(contact)
                .map(report -> report.orElseThrow(() -> new IllegalStateException("the endpoint has no report")))
                .subscribe();
    }

    /** Forgets engines that are gone. */
    void tick() {
        acceptedOrders.keySet().removeIf(id -> registry.contact(id).isEmpty());
    }

    private void acknowledge(Action.OrderEngine order, boolean accepted, String detail) {
        log.belief(accepted ? "order-accepted" : "order-failed", order.endpointId(), order.order() + ", " + detail);
        core.accept(new Event.OrderAcknowledged(order.endpointId(), order.fencingToken(), accepted));
    }
}

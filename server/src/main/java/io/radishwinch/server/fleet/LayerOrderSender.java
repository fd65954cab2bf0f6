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
final class LayerOrderSender {

    /** First time after an order at which the engine is asked whether it is done, in ms. */
    private static final long FIRST_CHECK_DELAY_MS = 300;

    /** Interval of further questions, in ms; a question is priced, and a report lags by less. */
    private static final long CHECK_INTERVAL_MS = 400;

    private static final int MAX_CHECKS = 20;

    private final EndpointControl endpoints;
    private final EndpointRegistry registry;
    private final Scheduler scheduler;
    private final Consumer<Event> core;
    private final Runnable leaseRecheck;
    private final FleetLog log;
    private final LongSupplier clockMs;
    private final Map<String, Long> acceptedOrders = new HashMap<>();

    LayerOrderSender(
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
        this.leaseRecheck = leaseDoubt;
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
            sendOrder(order, contact.get(), load, acceptedOrders.get(order.endpointId()));
        } else if (isEmpty) {
            // An engine without layers has most likely not been ordered since its start.
            sendOrder(order, contact.get(), load, 0);
        } else {
            sendAfterStatusReport(order, contact.get(), load);
        }
    }

    private void sendAfterStatusReport(Action.OrderEngine order, EndpointContact contact, EngineOrder.LoadLayers load) {
        requestStatus(contact)
                .with(
                        report -> {
                            registry.applyStatusReport(order.endpointId(), report, clockMs.getAsLong());
                            sendOrder(order, contact, load, report.acceptedOrders());
                        },
                        error -> acknowledge(order, false, "no report: " + error.getMessage()));
    }

    private void sendOrder(
            Action.OrderEngine order, EndpointContact contact, EngineOrder.LoadLayers load, long accepted) {
        LayerRange layers = load.layers();
        endpoints
                .orderLayers(contact, layers, load.handover(), accepted)
                .subscribe()
                .with(result -> onOrderResult(order, contact, layers, accepted, result), error -> {
                    // The order may still be carried out; the next one asks for the engine's state first.
                    acceptedOrders.remove(order.endpointId());
                    acknowledge(order, false, "no answer: " + error.getMessage());
                    scheduleCheck(order.endpointId(), layers, 1);
                });
    }

    private void onOrderResult(
            Action.OrderEngine order, EndpointContact contact, LayerRange layers, long accepted, OrderResult result) {
        if (result == OrderResult.ACCEPTED) {
            acceptedOrders.put(order.endpointId(), accepted + 1);
            acknowledge(order, true, "after " + accepted + " orders");
            scheduleCheck(order.endpointId(), layers, 1);
            return;
        }
        acceptedOrders.remove(order.endpointId());
        acknowledge(order, false, result.name());
        if (result == OrderResult.CONFLICT) {
            leaseRecheck.run();
            requestStatus(contact)
                    .with(
                            report -> {
                                acceptedOrders.put(order.endpointId(), report.acceptedOrders());
                                registry.applyStatusReport(order.endpointId(), report, clockMs.getAsLong());
                            },
                            error -> log.stateChanged("endpoint-silent", order.endpointId(), error.getMessage()));
        }
    }

    /** Asks the engine until it holds the layers, unless the platform's list says so first. */
    private void scheduleCheck(String endpointId, LayerRange layers, int check) {
        if (check > MAX_CHECKS) {
            return;
        }
        scheduler.schedule(check == 1 ? FIRST_CHECK_DELAY_MS : CHECK_INTERVAL_MS, () -> {
            Optional<EndpointEntry> entry = registry.entry(endpointId);
            Optional<EndpointContact> contact = registry.contact(endpointId);
            boolean isDone = entry.isEmpty() || entry.get().layers().equals(Optional.of(layers));
            if (isDone || contact.isEmpty()) {
                return;
            }
            requestStatus(contact.get())
                    .with(
                            report -> {
                                registry.applyStatusReport(endpointId, report, clockMs.getAsLong());
                                if (report.isBusy() || !report.layers().equals(Optional.of(layers))) {
                                    scheduleCheck(endpointId, layers, check + 1);
                                }
                            },
                            error -> registry.markUnreachable(
                                    endpointId, "no report: " + error.getMessage(), clockMs.getAsLong()));
        });
    }

    private UniSubscribe<StatusReport> requestStatus(EndpointContact contact) {
        return endpoints
                .requestStatus(contact)
                .map(report -> report.orElseThrow(() -> new IllegalStateException("the endpoint has no report")))
                .subscribe();
    }

    /** Forgets engines that are gone. */
    void tick() {
        acceptedOrders.keySet().removeIf(id -> registry.contact(id).isEmpty());
    }

    private void acknowledge(Action.OrderEngine order, boolean accepted, String detail) {
        log.stateChanged(
                accepted ? "order-accepted" : "order-failed", order.endpointId(), order.order() + ", " + detail);
        core.accept(new Event.OrderAcknowledged(order.endpointId(), order.fencingToken(), accepted));
    }
}

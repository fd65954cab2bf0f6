package io.radishwinch.server.fleet;

import io.radishwinch.cluster.platform.Scheduler;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.server.Failures;
import io.radishwinch.server.fleet.EndpointControl.OrderResult;
import io.radishwinch.server.proxy.EndpointContact;
import io.smallrye.mutiny.groups.UniSubscribe;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Sends layer orders to engines and checks that they are completed. Used on the control thread.
 *
 * <p>Each order contains the number of orders that the engine has accepted before, so an engine refuses orders of a
 * router with stale state.
 */
final class LayerOrderSender {

    /** Delay between an order and the first check of its completion, in ms. */
    private static final long FIRST_CHECK_DELAY_MS = 300;

    /** Interval of further checks, in ms; each check has a cost, and status reports lag by less than this. */
    private static final long CHECK_INTERVAL_MS = 400;

    private static final int MAX_CHECKS = 20;

    private final EndpointControl endpoints;
    private final EndpointRegistry registry;
    private final Scheduler scheduler;
    private final Consumer<Event> events;
    private final Runnable leaseRecheck;
    private final FleetLog log;
    private final LongSupplier clockMs;
    private final Map<String, Long> acceptedOrders = new HashMap<>();

    LayerOrderSender(
            EndpointControl endpoints,
            EndpointRegistry registry,
            Scheduler scheduler,
            Consumer<Event> events,
            Runnable leaseRecheck,
            FleetLog log,
            LongSupplier clockMs) {
        this.endpoints = endpoints;
        this.registry = registry;
        this.scheduler = scheduler;
        this.events = events;
        this.leaseRecheck = leaseRecheck;
        this.log = log;
        this.clockMs = clockMs;
    }

    /** Sends an order and posts to the core whether it was accepted. */
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
            // An engine without layers has most likely accepted no order since its start.
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
                        error -> acknowledge(order, false, "no report: " + Failures.describe(error)));
    }

    private void sendOrder(
            Action.OrderEngine order, EndpointContact contact, EngineOrder.LoadLayers load, long acceptedCount) {
        LayerRange layers = load.layers();
        endpoints
                .orderLayers(contact, layers, load.handover(), acceptedCount)
                .subscribe()
                .with(result -> onOrderResult(order, contact, layers, acceptedCount, result), error -> {
                    // The engine may still execute the order, so the next order requests a status report first.
                    acceptedOrders.remove(order.endpointId());
                    acknowledge(order, false, "no response: " + Failures.describe(error));
                    scheduleCheck(order.endpointId(), layers, 1);
                });
    }

    private void onOrderResult(
            Action.OrderEngine order,
            EndpointContact contact,
            LayerRange layers,
            long acceptedCount,
            OrderResult result) {
        if (result == OrderResult.ACCEPTED) {
            acceptedOrders.put(order.endpointId(), acceptedCount + 1);
            acknowledge(order, true, "after " + acceptedCount + " orders");
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
                            error -> log.stateChanged("endpoint-silent", order.endpointId(), Failures.describe(error)));
        }
    }

    /** Checks the engine repeatedly until it holds the layers or the platform's list shows that it does. */
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
            endpoints
                    .requestStatus(contact.get())
                    .subscribe()
                    .with(
                            response -> {
                                response.ifPresentOrElse(
                                        report -> registry.applyStatusReport(endpointId, report, clockMs.getAsLong()),
                                        () -> log.stateChanged(
                                                "endpoint-without-report", endpointId, "check " + check));
                                if (response.filter(report -> holds(report, layers))
                                        .isEmpty()) {
                                    scheduleCheck(endpointId, layers, check + 1);
                                }
                            },
                            error -> registry.markUnreachable(
                                    endpointId, "no report: " + Failures.describe(error), clockMs.getAsLong()));
        });
    }

    private static boolean holds(StatusReport report, LayerRange layers) {
        return !report.isBusy() && report.layers().equals(Optional.of(layers));
    }

    private UniSubscribe<StatusReport> requestStatus(EndpointContact contact) {
        return endpoints
                .requestStatus(contact)
                .map(report ->
                        report.orElseThrow(() -> new IllegalStateException("the endpoint sent no status report")))
                .subscribe();
    }

    /** Discards the state of removed engines. */
    void tick() {
        acceptedOrders.keySet().removeIf(id -> registry.contact(id).isEmpty());
    }

    private void acknowledge(Action.OrderEngine order, boolean isAccepted, String detail) {
        log.stateChanged(
                isAccepted ? "order-accepted" : "order-failed", order.endpointId(), order.order() + ", " + detail);
        events.accept(new Event.OrderAcknowledged(order.endpointId(), order.fencingToken(), isAccepted));
    }
}

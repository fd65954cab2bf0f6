package io.radishwinch.server.fleet;

import io.radishwinch.cluster.load.RequestShare;
import io.radishwinch.core.event.Event;
import io.radishwinch.server.proxy.RequestLimitListener;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Keeps the request limits that endpoints name in their responses, and tells the core this router's share of each.
 *
 * <p>Runs on the control thread, except for {@link #responded}, which any thread may call.
 */
final class RequestLimits implements RequestLimitListener {

    /** Time after which a limit that no response has named again is dropped, in ms. */
    static final long TTL_MS = 60_000;

    /** Time after which an unchanged limit is shared again, in ms. */
    private static final long REFRESH_MS = 20_000;

    /** Time between two checks of all limits, in ms. */
    private static final long CHECK_INTERVAL_MS = 1_000;

    /** Relative change of a limit below which it is not shared again. */
    private static final double MIN_CHANGE = 0.1;

    private final String routerId;
    private final Function<String, Collection<String>> routerIds;
    private final Consumer<Runnable> control;
    private final Consumer<Event> events;
    private final BiConsumer<String, OptionalDouble> publisher;
    private final LongSupplier clock;
    private final FleetLog log;
    private final Map<String, Limit> limits = new ConcurrentHashMap<>();
    private final Map<String, Double> sharesPerS = new HashMap<>();
    private long nextCheckAtMs = Long.MIN_VALUE;

    private record Limit(double perS, long refreshAtMs, long expiresAtMs) {}

    /**
     * Creates a receiver without limits.
     *
     * @param routerIds returns the identifiers of all routers that may use an endpoint, including this one
     * @param control runs tasks on the control thread
     * @param events receives the events for the core
     * @param publisher shares a limit, or its end, with the other routers
     */
    RequestLimits(
            String routerId,
            Function<String, Collection<String>> routerIds,
            Consumer<Runnable> control,
            Consumer<Event> events,
            BiConsumer<String, OptionalDouble> publisher,
            LongSupplier clock,
            FleetLog log) {
        this.routerId = routerId;
        this.routerIds = routerIds;
        this.control = control;
        this.events = events;
        this.publisher = publisher;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public void responded(String endpointId, OptionalDouble requestLimitPerS) {
        Limit known = limits.get(endpointId);
        if (known == null && requestLimitPerS.isEmpty()) {
            return;
        }
        boolean isUnchanged = known != null
                && requestLimitPerS.isPresent()
                && Math.abs(known.perS - requestLimitPerS.getAsDouble()) <= MIN_CHANGE * known.perS
                && clock.getAsLong() < known.refreshAtMs;
        if (!isUnchanged) {
            control.accept(() -> {
                apply(endpointId, requestLimitPerS);
                publisher.accept(endpointId, requestLimitPerS);
            });
        }
    }

    /** Applies a limit, or its end, that this router or a peer was told. */
    void apply(String endpointId, OptionalDouble requestLimitPerS) {
        if (requestLimitPerS.isEmpty()) {
            if (limits.remove(endpointId) != null) {
                log.stateChanged("endpoint-limit", endpointId, "none");
            }
        } else {
            long nowMs = clock.getAsLong();
            double perS = requestLimitPerS.getAsDouble();
            Limit known = limits.put(endpointId, new Limit(perS, nowMs + REFRESH_MS, nowMs + TTL_MS));
            if (known == null || known.perS != perS) {
                log.stateChanged("endpoint-limit", endpointId, perS + " requests/s");
            }
        }
        updateShare(endpointId);
    }

    /** Drops limits that no response has named for a while, and adapts the shares to the routers that are left. */
    void tick(long nowMs) {
        if (nowMs < nextCheckAtMs) {
            return;
        }
        nextCheckAtMs = nowMs + CHECK_INTERVAL_MS;
        limits.forEach((endpointId, limit) -> {
            if (nowMs >= limit.expiresAtMs) {
                apply(endpointId, OptionalDouble.empty());
            } else {
                updateShare(endpointId);
            }
        });
    }

    private void updateShare(String endpointId) {
        Limit limit = limits.get(endpointId);
        double perS = limit == null
                ? Double.POSITIVE_INFINITY
                : RequestShare.perS(routerId, endpointId, limit.perS, routerIds.apply(endpointId));
        Double known = limit == null ? sharesPerS.remove(endpointId) : sharesPerS.put(endpointId, perS);
        if (known == null ? limit != null : known != perS) {
            events.accept(new Event.RequestShareChanged(endpointId, perS));
        }
    }
}

package io.radishwinch.server.fleet;

import io.radishwinch.core.event.Event;
import io.radishwinch.server.proxy.EndpointNoticeListener;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Applies what endpoints announce about themselves in their responses. Any thread may call it. */
final class EndpointNotices implements EndpointNoticeListener {

    /**
     * Longest pause, in ms, whatever an endpoint asks for, so that a wrong value keeps none out of use for good; equals
     * the longest timeout of a route.
     */
    static final long MAX_PAUSE_MS = 30_000;

    private final EndpointRegistry registry;
    private final Consumer<Runnable> control;
    private final Consumer<Event> events;
    private final LongSupplier clock;
    private final Map<String, Long> pausedUntilMs = new ConcurrentHashMap<>();

    /**
     * Creates a receiver.
     *
     * @param registry endpoints, used on the control thread only
     * @param control runs tasks on the control thread
     * @param events receives the events for the core
     */
    EndpointNotices(EndpointRegistry registry, Consumer<Runnable> control, Consumer<Event> events, LongSupplier clock) {
        this.registry = registry;
        this.control = control;
        this.events = events;
        this.clock = clock;
    }

    @Override
    public void leaving(String endpointId) {
        if (!registry.hasAnnouncedLeaving(endpointId)) {
            control.accept(() -> registry.markLeavingByItself(endpointId, clock.getAsLong()));
        }
    }

    @Override
    public void paused(String endpointId, long pauseMs) {
        long nowMs = clock.getAsLong();
        long untilMs = nowMs + Math.min(pauseMs, MAX_PAUSE_MS);
        pausedUntilMs.values().removeIf(endMs -> endMs <= nowMs);
        pausedUntilMs.merge(endpointId, untilMs, Math::max);
        events.accept(new Event.EndpointPaused(endpointId, untilMs));
    }

    @Override
    public boolean isPaused(String endpointId) {
        return clock.getAsLong() < pausedUntilMs.getOrDefault(endpointId, Long.MIN_VALUE);
    }
}

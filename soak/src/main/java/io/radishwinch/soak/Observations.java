package io.radishwinch.soak;

import io.radishwinch.standins.AttemptEvent;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What callers and endpoints saw during a run, and what was done to the deployment.
 *
 * @param requests requests of the callers
 * @param attemptEvents events of attempts at the endpoints by the name of their request, in order
 * @param incidents silences, changes of the configuration and restarts, in order
 * @param restarts restarts of routers, in order
 */
public record Observations(
        List<CallerRecord> requests,
        Map<String, List<AttemptEvent>> attemptEvents,
        List<Incident> incidents,
        List<RouterRestart> restarts) {
    /** Creates observations with immutable copies of the lists. */
    public Observations {
        requests = List.copyOf(requests);
        attemptEvents = Map.copyOf(attemptEvents);
        incidents = List.copyOf(incidents);
        restarts = List.copyOf(restarts);
    }

    /** Returns whether the router of a request was killed, or not yet started again, while the request ran. */
    public boolean isRouterDownDuring(CallerRecord request) {
        return restarts.stream().anyMatch(restart -> restart.overlaps(request));
    }

    /** Returns the last restart of the router of a request that began before the request ended. */
    public Optional<RouterRestart> lastRestartBefore(CallerRecord request) {
        return restarts.stream()
                .filter(restart -> restart.router().equals(request.router()))
                .filter(restart -> restart.killedAtMs() <= request.endedAtMs())
                .max(Comparator.comparingLong(RouterRestart::killedAtMs));
    }

    /** Returns the events of the attempts of a request, in order. */
    public List<AttemptEvent> eventsOf(String request) {
        return attemptEvents.getOrDefault(request, List.of());
    }

    /** Returns the attempts of a request that ran, in order: those of which an endpoint has executed a step. */
    public List<AttemptEvent> runsOf(String request) {
        return eventsOf(request).stream()
                .filter(event -> event.kind() == AttemptEvent.Kind.STARTED)
                .toList();
    }
}

package io.radishwinch.core.impl;

import io.radishwinch.core.event.Event;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the endpoints that run a request to the number that its route allows.
 *
 * <p>A request whose response has not begun is refused once it has run as often as the limit allows: its caller gets an
 * error and can send it again. A begun response is continued by any of the endpoints that have run it, or by a new one
 * below the limit. Endpoints that are known to have ended do not count; those that receive no new work, are not listed
 * or are silent for less than {@link Event.EndpointRemoved#MAX_SILENCE_MS} do.
 */
final class EndpointLimit {

    private final CoreState state;

    EndpointLimit(CoreState state) {
        this.state = state;
    }

    /** Returns whether no other attempt of a request that waits is allowed. */
    boolean isReached(RequestRow row, long nowMs) {
        return !row.continuesResponse() && countRuns(row, nowMs) >= row.spec.maxRuns();
    }

    /** Returns whether the request may run once more at any endpoint after its running attempt. */
    boolean hasRunsAfterCurrent(RequestRow row, long nowMs) {
        return countRuns(row, nowMs) + 1 < row.spec.maxRuns();
    }

    /**
     * Returns whether an endpoint that responds may take up a running attempt.
     *
     * @param isSilenceExceeded whether the silent endpoint of the attempt counts as one that has ended
     */
    boolean canBeTakenUp(RequestRow row, boolean isSilenceExceeded, long nowMs) {
        if (!row.continuesResponse()) {
            return hasRunsAfterCurrent(row, nowMs) || isSilenceExceeded && !isReached(row, nowMs);
        }
        Set<String> counted = countedEndpointIds(row, nowMs);
        String currentId = row.chain.firstStage().endpointId();
        if (!isGone(currentId, nowMs)) {
            counted.add(currentId);
        }
        return counted.size() < row.spec.maxRuns()
                || counted.stream().anyMatch(id -> state.directory.isUsable(id, nowMs));
    }

    /** Returns the endpoints that may run the first stage of the next attempt, or an empty set if all may. */
    Set<String> firstEndpointIds(RequestRow row, long nowMs) {
        if (!row.continuesResponse()) {
            return Set.of();
        }
        Set<String> counted = countedEndpointIds(row, nowMs);
        return counted.size() < row.spec.maxRuns() ? Set.of() : counted;
    }

    private Set<String> countedEndpointIds(RequestRow row, long nowMs) {
        Set<String> counted = new LinkedHashSet<>(row.ranAtEndpointIds);
        counted.removeIf(id -> isGone(id, nowMs));
        return counted;
    }

    /** Counts the attempts that may have run, without those whose first endpoint has ended. */
    private long countRuns(RequestRow row, long nowMs) {
        return row.ranAtEndpointIds.stream().filter(id -> !isGone(id, nowMs)).count();
    }

    private boolean isGone(String endpointId, long nowMs) {
        return state.endedEndpointIds.contains(endpointId) || state.isSilenceExceeded(endpointId, nowMs);
    }
}

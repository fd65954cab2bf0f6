package io.radishwinch.server.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Asks endpoints for their state when there is reason to: streams that went silent, an endpoint that did not answer, an
 * order that should be done. Used on the control thread.
 */
final class EndpointProber {

    /** Shortest time between two questions to one endpoint because of its requests, in ms; the lag of its reports. */
    private static final long QUESTION_INTERVAL_MS = 300;

    private final EndpointControl endpoints;
    private final EndpointRegistry registry;
    private final FleetLog log;
    private final LongSupplier clockMs;
    private final Map<String, Long> nextQuestionMs = new HashMap<>();
    private final Set<String> asking = new HashSet<>();

    EndpointProber(EndpointControl endpoints, EndpointRegistry registry, FleetLog log, LongSupplier clockMs) {
        this.endpoints = endpoints;
        this.registry = registry;
        this.log = log;
        this.clockMs = clockMs;
    }

    /** Looks for dead endpoints behind one whose streams are silent. */
    void stalled(String endpointId) {
        if (isDue(endpointId)) {
            ask(endpointId, true);
        }
    }

    /** Asks an endpoint what it holds, because it refused an attempt as not meant for it. */
    void changed(String endpointId) {
        if (isDue(endpointId)) {
            ask(endpointId, false);
        }
    }

    /** Asks whether an endpoint still answers. */
    void check(String endpointId) {
        ask(endpointId, false);
    }

    /** Asks the endpoints that were unreachable whether they answer again. */
    void tick(long nowMs) {
        registry.dueForRetry(nowMs).forEach(id -> ask(id, false));
        nextQuestionMs.keySet().removeIf(id -> registry.contact(id).isEmpty());
    }

    private boolean isDue(String endpointId) {
        long nowMs = clockMs.getAsLong();
        boolean isDue = nowMs >= nextQuestionMs.getOrDefault(endpointId, Long.MIN_VALUE);
        if (isDue) {
            nextQuestionMs.put(endpointId, nowMs + QUESTION_INTERVAL_MS);
        }
        return isDue;
    }

    private void ask(String endpointId, boolean isForStreams) {
        registry.contact(endpointId).filter(contact -> asking.add(endpointId)).ifPresent(contact -> endpoints
                .report(contact)
                .subscribe()
                .with(report -> answered(endpointId, report, isForStreams), error -> {
                    asking.remove(endpointId);
                    registry.unreachable(endpointId, "no report: " + error.getMessage(), clockMs.getAsLong());
                }));
    }

    private void answered(String endpointId, EndpointReport report, boolean isForStreams) {
        asking.remove(endpointId);
        long nowMs = clockMs.getAsLong();
        registry.reported(endpointId, report, nowMs);
        if (!isForStreams) {
            return;
        }
        for (String address : report.stalledAddresses()) {
            registry.endpointAt(address)
                    .ifPresent(id -> registry.unreachable(id, "streams of " + endpointId + " wait for it", nowMs));
        }
        if (report.stalledAddresses().isEmpty()) {
            log.belief("endpoint-silent", endpointId, "pace " + report.pace() + ", waits for no other endpoint");
        }
    }
}

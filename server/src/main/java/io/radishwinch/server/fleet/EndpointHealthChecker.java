package io.radishwinch.server.fleet;

import io.radishwinch.server.proxy.EndpointContact;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Asks endpoints for their state when there is reason to: streams that went silent, an endpoint that did not answer, an
 * order that should be done. Used on the control thread.
 */
final class EndpointHealthChecker {

    /** Shortest time between two questions to one endpoint because of its requests, in ms; the lag of its reports. */
    private static final long MIN_CHECK_INTERVAL_MS = 300;

    /** Time after which a question has an answer or has failed unless the process stood still, in ms. */
    private static final long MAX_CHECK_DURATION_MS = 1_000;

    private final EndpointControl endpoints;
    private final EndpointRegistry registry;
    private final FleetLog log;
    private final LongSupplier clockMs;
    private final Map<String, Long> nextCheckAtMs = new HashMap<>();
    private final Set<String> pendingChecks = new HashSet<>();

    EndpointHealthChecker(EndpointControl endpoints, EndpointRegistry registry, FleetLog log, LongSupplier clockMs) {
        this.endpoints = endpoints;
        this.registry = registry;
        this.log = log;
        this.clockMs = clockMs;
    }

    /** Looks for dead endpoints behind one whose streams are silent. */
    void checkStalledStreams(String endpointId) {
        if (tryAcquireCheck(endpointId)) {
            sendCheck(endpointId, true);
        }
    }

    /** Asks an endpoint what it holds, because it refused an attempt as not meant for it. */
    void checkHoldings(String endpointId) {
        if (tryAcquireCheck(endpointId)) {
            sendCheck(endpointId, false);
        }
    }

    /** Asks whether an endpoint still answers. */
    void check(String endpointId) {
        sendCheck(endpointId, false);
    }

    /** Asks the endpoints that were unreachable whether they answer again. */
    void tick(long nowMs) {
        registry.takeDueHealthChecks(nowMs).forEach(id -> sendCheck(id, false));
        nextCheckAtMs.keySet().removeIf(id -> registry.contact(id).isEmpty());
    }

    private boolean tryAcquireCheck(String endpointId) {
        long nowMs = clockMs.getAsLong();
        boolean isDue = nowMs >= nextCheckAtMs.getOrDefault(endpointId, Long.MIN_VALUE);
        if (isDue) {
            nextCheckAtMs.put(endpointId, nowMs + MIN_CHECK_INTERVAL_MS);
        }
        return isDue;
    }

    private void sendCheck(String endpointId, boolean isForStreams) {
        Optional<EndpointContact> contact = registry.contact(endpointId);
        if (contact.isEmpty() || !pendingChecks.add(endpointId)) {
            return;
        }
        long askedAtMs = clockMs.getAsLong();
        endpoints
                .requestStatus(contact.get())
                .subscribe()
                .with(
                        answer -> onCheckResponse(endpointId, answer, isForStreams),
                        error -> onCheckFailure(endpointId, isForStreams, askedAtMs, error.getMessage()));
    }

    private void onCheckFailure(String endpointId, boolean isForStreams, long askedAtMs, String cause) {
        pendingChecks.remove(endpointId);
        long nowMs = clockMs.getAsLong();
        if (nowMs - askedAtMs > MAX_CHECK_DURATION_MS) {
            // This process stood still meanwhile, so that the missing answer says nothing of the endpoint.
            sendCheck(endpointId, isForStreams);
        } else {
            registry.markUnreachable(endpointId, "no report: " + cause, nowMs);
        }
    }

    private void onCheckResponse(String endpointId, Optional<StatusReport> answer, boolean isForStreams) {
        pendingChecks.remove(endpointId);
        long nowMs = clockMs.getAsLong();
        if (answer.isEmpty()) {
            registry.markReachable(endpointId, nowMs);
            return;
        }
        StatusReport report = answer.get();
        registry.applyStatusReport(endpointId, report, nowMs);
        if (!isForStreams) {
            return;
        }
        for (String address : report.stalledAddresses()) {
            registry.endpointAt(address)
                    .ifPresent(id -> registry.markUnreachable(id, "streams of " + endpointId + " wait for it", nowMs));
        }
        if (report.stalledAddresses().isEmpty()) {
            log.stateChanged(
                    "endpoint-silent", endpointId, "pace " + report.stepTimeRatio() + ", waits for no other endpoint");
        }
    }
}

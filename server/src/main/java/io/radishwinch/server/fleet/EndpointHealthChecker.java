package io.radishwinch.server.fleet;

import io.radishwinch.server.Failures;
import io.radishwinch.server.proxy.EndpointContact;
import io.smallrye.mutiny.Uni;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Runs health checks of endpoints on demand: for unresponsive streams, failed attempts and unreachable endpoints. Used
 * on the control thread.
 */
final class EndpointHealthChecker {

    /**
     * Minimum interval between two checks of one endpoint that its requests trigger, in ms; the lag of status reports.
     */
    private static final long MIN_CHECK_INTERVAL_MS = 300;

    /** Time within which a check completes or fails, in ms; a longer one means that this process was paused. */
    private static final long MAX_CHECK_DURATION_MS = 1_000;

    /** Text of the operating system's error ECONNREFUSED. */
    private static final String CONNECTION_REFUSED = "Connection refused";

    private final EndpointControl endpoints;
    private final EndpointRegistry registry;
    private final Predicate<String> isPaused;
    private final EndpointReachability reachability;
    private final FleetLog log;
    private final LongSupplier clockMs;
    private final Map<String, Long> nextCheckAtMs = new HashMap<>();
    private final Set<String> pendingChecks = new HashSet<>();

    /** Endpoints that a failed check has taken out of use since the last tick. */
    private final Set<String> newlyUnreachable = new LinkedHashSet<>();

    /**
     * Creates a health checker.
     *
     * @param isPaused returns whether an endpoint has asked for a pause; it is not checked before the pause is over
     * @param reachability tells whether a failed check shows that the endpoint or that this router is cut off
     */
    EndpointHealthChecker(
            EndpointControl endpoints,
            EndpointRegistry registry,
            Predicate<String> isPaused,
            EndpointReachability reachability,
            FleetLog log,
            LongSupplier clockMs) {
        this.endpoints = endpoints;
        this.registry = registry;
        this.isPaused = isPaused;
        this.reachability = reachability;
        this.log = log;
        this.clockMs = clockMs;
    }

    /** Checks an endpoint with unresponsive streams and the endpoints that those streams wait for. */
    void checkStalledStreams(String endpointId) {
        if (tryAcquireCheck(endpointId)) {
            sendCheck(endpointId, true, false);
        }
    }

    /** Refreshes the holdings of an endpoint that refused an attempt because they have changed. */
    void checkHoldings(String endpointId) {
        if (tryAcquireCheck(endpointId)) {
            sendCheck(endpointId, false, false);
        }
    }

    /** Checks whether an endpoint responds. */
    void check(String endpointId) {
        sendCheck(endpointId, false, false);
    }

    /**
     * Checks the unreachable endpoints whose backoff has passed. Those that have just been taken out of use are checked
     * at once: between two silences, an endpoint may respond for no longer than the backoff.
     */
    void tick(long nowMs) {
        reachability.tick(nowMs);
        List<String> repeated = List.copyOf(newlyUnreachable);
        newlyUnreachable.clear();
        repeated.forEach(id -> sendCheck(id, false, false));
        registry.takeDueHealthChecks(nowMs, this::canBeChecked).forEach(id -> sendCheck(id, false, false));
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

    /**
     * Sends a check unless one is pending.
     *
     * @param isRepeat whether this check repeats one during which this process was paused
     */
    private void sendCheck(String endpointId, boolean checksStreams, boolean isRepeat) {
        Optional<EndpointContact> contact = registry.contact(endpointId);
        if (contact.isEmpty() || !canBeChecked(endpointId)) {
            return;
        }
        pendingChecks.add(endpointId);
        long startedAtMs = clockMs.getAsLong();
        Uni.createFrom()
                .deferred(() -> endpoints.requestStatus(contact.get()))
                .subscribe()
                .with(
                        response -> onCheckResponse(endpointId, response, checksStreams),
                        error -> onCheckFailure(endpointId, checksStreams, isRepeat, startedAtMs, error));
    }

    private boolean canBeChecked(String endpointId) {
        return !isPaused.test(endpointId) && !pendingChecks.contains(endpointId) && !reachability.isIsolated();
    }

    private void onCheckFailure(
            String endpointId, boolean checksStreams, boolean isRepeat, long startedAtMs, Throwable error) {
        pendingChecks.remove(endpointId);
        long nowMs = clockMs.getAsLong();
        String cause = "no report: " + Failures.describe(error);
        if (isRefused(error)) {
            reachability.confirm(endpointId, () -> registry.markEnded(endpointId, cause, clockMs.getAsLong()));
        } else if (nowMs - startedAtMs > MAX_CHECK_DURATION_MS && !isRepeat) {
            // This process was paused during the check, so a missing response says nothing about the endpoint. A second
            // late failure counts: a process that is merely slow would otherwise repeat the check forever.
            sendCheck(endpointId, checksStreams, true);
        } else {
            reachability.confirm(endpointId, () -> markUnreachable(endpointId, cause));
        }
    }

    private void markUnreachable(String endpointId, String cause) {
        if (registry.markUnreachable(endpointId, cause, clockMs.getAsLong())) {
            newlyUnreachable.add(endpointId);
        }
    }

    /** Returns whether nothing listens at the address; a process that is silent still accepts connections. */
    private static boolean isRefused(Throwable error) {
        for (Throwable cause = error; cause != null; cause = cause.getCause()) {
            if (cause instanceof ConnectException && Failures.describe(cause).contains(CONNECTION_REFUSED)) {
                return true;
            }
        }
        return false;
    }

    private void onCheckResponse(String endpointId, Optional<StatusReport> response, boolean checksStreams) {
        pendingChecks.remove(endpointId);
        long nowMs = clockMs.getAsLong();
        if (response.isEmpty()) {
            registry.markReachable(endpointId, nowMs);
            return;
        }
        StatusReport report = response.get();
        registry.applyStatusReport(endpointId, report, nowMs);
        if (!checksStreams) {
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

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
final class EndpointProber {

    /** Shortest time between two questions to one endpoint because of its requests, in ms; the lag of its reports. */
    private static final long QUESTION_INTERVAL_MS = 300;

    /** Time after which a question has an answer or has failed unless the process stood still, in ms. */
    private static final long MAX_ANSWER_MS = 1_000;

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
        Optional<EndpointContact> contact = registry.contact(endpointId);
        if (contact.isEmpty() || !asking.add(endpointId)) {
            return;
        }
        long askedAtMs = clockMs.getAsLong();
        endpoints
                .report(contact.get())
                .subscribe()
                .with(
                        answer -> answered(endpointId, answer, isForStreams),
                        error -> failed(endpointId, isForStreams, askedAtMs, error.getMessage()));
    }

    private void failed(String endpointId, boolean isForStreams, long askedAtMs, String cause) {
        asking.remove(endpointId);
        long nowMs = clockMs.getAsLong();
        if (nowMs - askedAtMs > MAX_ANSWER_MS) {
            // This process stood still meanwhile, so that the missing answer says nothing of the endpoint.
            ask(endpointId, isForStreams);
        } else {
            registry.unreachable(endpointId, "no report: " + cause, nowMs);
        }
    }

    private void answered(String endpointId, Optional<EndpointReport> answer, boolean isForStreams) {
        asking.remove(endpointId);
        long nowMs = clockMs.getAsLong();
        if (answer.isEmpty()) {
            registry.answered(endpointId, nowMs);
            return;
        }
        EndpointReport report = answer.get();
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

package io.radishwinch.core.impl;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;

/** Admits requests within the contract and this router's allotment, or refuses them before they cost work. */
final class AdmissionSystem {

    /** Wait suggested to callers when the state that refuses them has no known end, in ms. */
    private static final long DEFAULT_RETRY_AFTER_MS = 1_000;
    /** Longest wait suggested to callers, in ms; limits and allotments change meanwhile. */
    private static final long MAX_RETRY_AFTER_MS = 60_000;

    /** Wait suggested to callers that any other router can serve at once, in ms; the shortest that a header tells. */
    private static final long OTHER_ROUTER_RETRY_AFTER_MS = 10;

    /** Requests of one content that may wait while the crash quarantine lets no further one start. */
    private static final int MAX_QUEUED_COPIES = 100;

    private final CoreState state;

    AdmissionSystem(CoreState state) {
        this.state = state;
    }

    void arrived(RequestSpec spec, long nowMs) {
        if (state.requests.containsKey(spec.requestId())) {
            // A second answer under this identifier would reach the caller of the first request.
            return;
        }
        Reason reason = state.contractRefusalReason(spec);
        if (reason == null) {
            reason = stateRefusalReason(spec, nowMs);
        }
        if (reason != null) {
            state.refuseAtAdmission(spec, reason, retryAfterMs(reason, spec, nowMs));
            return;
        }
        CallerRow caller = state.caller(state.config.contracts().get(spec.caller()), nowMs);
        if (!caller.hasConcurrency()) {
            state.refuseAtAdmission(spec, Reason.CONCURRENCY_LIMITED, DEFAULT_RETRY_AFTER_MS);
            return;
        }
        long waitMs = Math.max(caller.requests.waitMs(1, nowMs), caller.tokens.waitMs(spec.costTokens(), nowMs));
        if (waitMs > 0) {
            state.refuseAtAdmission(spec, Reason.RATE_LIMITED, Math.min(waitMs, MAX_RETRY_AFTER_MS));
            return;
        }
        int copies = state.activeByFingerprint.getOrDefault(spec.fingerprint(), 0);
        if (copies >= MAX_QUEUED_COPIES && !state.quarantine.canStart(spec.fingerprint(), nowMs)) {
            state.refuseAtAdmission(spec, Reason.QUEUE_FULL, state.retryAfter.waitMs(spec, nowMs));
            return;
        }
        if (!state.queue.offer(spec, nowMs, other -> refuseDisplaced(other, nowMs))) {
            state.refuseAtAdmission(spec, Reason.QUEUE_FULL, state.retryAfter.waitMs(spec, nowMs));
            return;
        }
        if (state.requests.size() - state.running.size()
                >= state.settings.queue().capacity()) {
            // Requests that wait outside the queue use its capacity too.
            state.queue.remove(spec.requestId());
            state.refuseAtAdmission(spec, Reason.QUEUE_FULL, state.retryAfter.waitMs(spec, nowMs));
            return;
        }
        caller.requests.take(1);
        caller.tokens.take(spec.costTokens());
        caller.active++;
        RequestRow row = new RequestRow(spec);
        state.requests.put(spec.requestId(), row);
        state.activeByFingerprint.merge(spec.fingerprint(), 1, Integer::sum);
        state.recordDecision(row, nowMs, "admitted");
    }

    private Reason stateRefusalReason(RequestSpec spec, long nowMs) {
        boolean endsInTime = state.settings.servesWhileDraining() && spec.deadlineMs() <= state.drainDeadlineMs;
        if (state.isDraining && !endsInTime) {
            return Reason.DRAINING;
        }
        if (state.quarantine.isQuarantined(spec.fingerprint(), nowMs)) {
            return Reason.QUARANTINED;
        }
        PoolRow pool = state.pool(spec.pool());
        if (nowMs + pool.neededMs(spec, 0, false, nowMs) >= spec.deadlineMs()) {
            return Reason.DEADLINE_UNREACHABLE;
        }
        return state.isUncoveredBeyondGracePeriod(spec.pool(), nowMs) ? Reason.NO_CAPACITY : null;
    }

    private void refuseDisplaced(RequestSpec spec, long nowMs) {
        state.refuse(state.requests.get(spec.requestId()), Reason.QUEUE_FULL, nowMs);
    }

    private long retryAfterMs(Reason reason, RequestSpec spec, long nowMs) {
        return switch (reason) {
            case DRAINING -> OTHER_ROUTER_RETRY_AFTER_MS;
            case NO_CAPACITY, DEADLINE_UNREACHABLE -> state.retryAfter.waitMs(spec, nowMs);
            default -> 0;
        };
    }
}

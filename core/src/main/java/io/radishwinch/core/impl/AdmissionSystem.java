package io.radishwinch.core.impl;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;

/** Admits requests within the contract and this router's allotment, and refuses all others before they run. */
final class AdmissionSystem {

    /** Retry-After for refusals whose cause has no known end, in ms. */
    private static final long DEFAULT_RETRY_AFTER_MS = 1_000;
    /** Longest Retry-After for rate limits, in ms; limits and allotments can change within this time. */
    private static final long MAX_RETRY_AFTER_MS = 60_000;

    /**
     * Retry-After for requests that another router can serve at once, in ms; the smallest value the header can express.
     */
    private static final long OTHER_ROUTER_RETRY_AFTER_MS = 10;

    /** Maximum number of active requests with one fingerprint while the crash quarantine allows no further attempt. */
    private static final int MAX_QUEUED_COPIES = 100;

    private final CoreState state;

    AdmissionSystem(CoreState state) {
        this.state = state;
    }

    void arrived(RequestSpec spec, long nowMs) {
        if (state.requests.containsKey(spec.requestId())) {
            // A second response with this identifier would reach the caller of the first request.
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
            // Requests that wait outside the queue count against its capacity too.
            state.queue.remove(spec.requestId());
            state.refuseAtAdmission(spec, Reason.QUEUE_FULL, state.retryAfter.waitMs(spec, nowMs));
            return;
        }
        caller.requests.take(1);
        caller.tokens.take(spec.costTokens());
        caller.active++;
        RequestRow row = new RequestRow(spec, state.config.pool(spec.pool()));
        row.silentGapsBeforeMs = state.pool(spec.pool()).silentGapsMs(nowMs);
        state.requests.put(spec.requestId(), row);
        state.activeByFingerprint.merge(spec.fingerprint(), 1, Integer::sum);
        state.recordDecision(row, nowMs, "admitted");
    }

    private Reason stateRefusalReason(RequestSpec spec, long nowMs) {
        boolean canEndBeforeDrain = state.settings.servesWhileDraining() && spec.deadlineMs() <= state.drainDeadlineMs;
        if (state.isDraining && !canEndBeforeDrain) {
            return Reason.DRAINING;
        }
        if (state.quarantine.isQuarantined(spec.fingerprint(), nowMs) || state.partQuarantineMs(spec, nowMs) > 0) {
            return Reason.QUARANTINED;
        }
        PoolRow pool = state.pool(spec.pool());
        if (state.isStopping && nowMs + pool.neededMs(spec, 0, true, nowMs) >= state.drainDeadlineMs) {
            return Reason.DRAINING;
        }
        // The estimate is that of a whole response, and the rest of a begun one is unknown.
        long neededMs = spec.continuesResponse() ? 0 : pool.neededMs(spec, 0, false, nowMs);
        if (nowMs + neededMs >= spec.deadlineMs()) {
            return Reason.DEADLINE_UNREACHABLE;
        }
        boolean isUnservable =
                state.isUncoveredBeyondGracePeriod(spec.pool(), nowMs) || state.isPausedTooLong(spec, nowMs);
        return isUnservable ? Reason.NO_CAPACITY : null;
    }

    private void refuseDisplaced(RequestSpec spec, long nowMs) {
        state.refuse(state.requests.get(spec.requestId()), Reason.QUEUE_FULL, nowMs);
    }

    private long retryAfterMs(Reason reason, RequestSpec spec, long nowMs) {
        return switch (reason) {
            case DRAINING -> OTHER_ROUTER_RETRY_AFTER_MS;
            case QUARANTINED -> state.partQuarantineMs(spec, nowMs);
            case NO_CAPACITY, DEADLINE_UNREACHABLE -> state.capacityWaitMs(spec, nowMs);
            default -> 0;
        };
    }
}

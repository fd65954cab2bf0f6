package io.radishwinch.core.impl;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.chain.ChainConstraints;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Starts attempts of queued and waiting requests while endpoints have free slots. */
final class DispatchSystem {

    /** Waiting requests tried per tick, which bounds the duration of a tick. */
    private static final int MAX_WAITING_PER_TICK = 32;

    private final CoreState state;
    private final EndpointLimit endpointLimit;
    private Chain plannedChain;

    DispatchSystem(CoreState state, EndpointLimit endpointLimit) {
        this.state = state;
        this.endpointLimit = endpointLimit;
    }

    /** Starts queued requests until no further one can be dispatched. */
    void dispatch(long nowMs) {
        resumeAtFreedEndpoints(nowMs);
        while (true) {
            Optional<RequestSpec> next = state.queue.poll(spec -> isDispatchable(spec, nowMs), nowMs);
            if (next.isEmpty()) {
                return;
            }
            RequestRow row = state.requests.get(next.get().requestId());
            if (isTooLate(row, nowMs)) {
                refuseTooLate(row, nowMs);
            } else if (plannedChain == null) {
                waitForEndpoint(row, nowMs);
            } else {
                start(row, plannedChain, nowMs);
            }
        }
    }

    /**
     * Starts begun responses whose few endpoints have a free slot, before requests that may use any endpoint take it.
     */
    private void resumeAtFreedEndpoints(long nowMs) {
        if (state.freedEndpointIds.isEmpty()) {
            return;
        }
        List<RequestRow> candidates = state.waitingContinuations.stream()
                .filter(row -> row.state == RequestRow.State.WAITING_FOR_ENDPOINT
                        && !row.isHeldByQuarantine
                        && !Collections.disjoint(row.ranAtEndpointIds, state.freedEndpointIds))
                .limit(MAX_WAITING_PER_TICK)
                .toList();
        state.freedEndpointIds.clear();
        for (RequestRow row : candidates) {
            if (!isTooLate(row, nowMs)
                    && row.nextTransitionAtMs > nowMs
                    && state.quarantine.canStart(row.spec.fingerprint(), nowMs)) {
                retryWaiting(row, nowMs);
            }
        }
    }

    /** Requeues requests whose backoff has ended and tries to start those that wait for an endpoint. */
    void tick(long nowMs) {
        state.pools.values().forEach(PoolRow::unblock);
        int waitingTried = 0;
        for (RequestRow row : new ArrayList<>(state.waiting)) {
            if (isTooLate(row, nowMs)) {
                refuseTooLate(row, nowMs);
            } else if (row.state == RequestRow.State.BACKING_OFF) {
                if (row.nextTransitionAtMs <= nowMs && !row.isWaitingForRetryBudget) {
                    state.requeue(row, nowMs);
                }
            } else if (state.quarantine.canStart(row.spec.fingerprint(), nowMs)
                    && waitingTried++ < MAX_WAITING_PER_TICK) {
                retryWaiting(row, nowMs);
            }
        }
        dispatch(nowMs);
    }

    private void retryWaiting(RequestRow row, long nowMs) {
        if (row.isHeldByQuarantine) {
            row.canUseBusyEndpoint = row.nextTransitionAtMs <= nowMs;
            state.requeue(row, nowMs);
        } else if (row.nextTransitionAtMs <= nowMs) {
            row.canUseBusyEndpoint = true;
            state.requeue(row, nowMs);
        } else if (!yieldsSlot(row, nowMs)) {
            plan(row, nowMs).ifPresent(chain -> {
                state.stopWaiting(row);
                start(row, chain, nowMs);
            });
        }
    }

    /** Plans a chain; the exclusions that have ended are dropped only if there is no chain without these endpoints. */
    private Optional<Chain> plan(RequestRow row, long nowMs) {
        Optional<Chain> chain = planOutsideExclusions(row, nowMs);
        boolean hasEndedExclusions =
                chain.isEmpty() && row.exclusionEndsMs.values().removeIf(endMs -> endMs <= nowMs);
        return hasEndedExclusions ? planOutsideExclusions(row, nowMs) : chain;
    }

    private Optional<Chain> planOutsideExclusions(RequestRow row, long nowMs) {
        ChainConstraints constraints =
                new ChainConstraints(excludedEndpointIds(row, nowMs), endpointLimit.firstEndpointIds(row, nowMs));
        return state.planner.plan(row.spec, state.poolSpec(row), constraints, nowMs);
    }

    private boolean isDispatchable(RequestSpec spec, long nowMs) {
        plannedChain = null;
        RequestRow row = state.requests.get(spec.requestId());
        PoolRow pool = state.pool(spec.pool());
        row.isHeldByQuarantine = !state.quarantine.canStart(spec.fingerprint(), nowMs);
        if (isTooLate(row, nowMs) || row.isHeldByQuarantine || yieldsSlot(row, nowMs)) {
            return true;
        }
        if (pool.isBlocked()) {
            return false;
        }
        plannedChain = plan(row, nowMs).orElse(null);
        if (plannedChain != null) {
            return true;
        }
        // If only the constraints of this request prevent a plan, it waits outside the queue and does not block others.
        boolean hasConstraints = !row.exclusionEndsMs.isEmpty()
                || state.quarantine.isSuspect(spec.fingerprint(), nowMs)
                || !endpointLimit.firstEndpointIds(row, nowMs).isEmpty();
        ModelSpec model = state.poolSpec(row);
        if (hasConstraints
                && state.planner.plan(spec, model, ChainConstraints.NONE, nowMs).isPresent()) {
            return true;
        }
        pool.block(nowMs);
        return false;
    }

    /**
     * Returns the endpoints that the request must not use: those on which it failed earlier, and those whose load would
     * interfere with the observation of a suspect.
     */
    private Set<String> excludedEndpointIds(RequestRow row, long nowMs) {
        boolean isSuspect = state.quarantine.isSuspect(row.spec.fingerprint(), nowMs);
        if (!isSuspect && state.observedEndpointIds.isEmpty()) {
            return row.exclusionEndsMs.keySet();
        }
        int maxOtherAttempts = state.settings.quarantine().maxOtherAttempts();
        Set<String> excluded = new LinkedHashSet<>(row.exclusionEndsMs.keySet());
        if (!isSuspect) {
            state.observedEndpointIds.stream()
                    .filter(id -> state.attemptsByEndpoint.getOrDefault(id, 0) > maxOtherAttempts)
                    .forEach(excluded::add);
            return excluded;
        }
        excluded.addAll(state.observedEndpointIds);
        if (!row.canUseBusyEndpoint) {
            excluded.add(state.quarantine.crashedEndpointId(row.spec.fingerprint(), nowMs));
            state.attemptsByEndpoint.forEach((id, attempts) -> {
                if (attempts > maxOtherAttempts) {
                    excluded.add(id);
                }
            });
        }
        return excluded;
    }

    private void refuseTooLate(RequestRow row, long nowMs) {
        Reason reason = hasWaitedTooLong(row, nowMs) ? Reason.NO_CAPACITY : Reason.DEADLINE_UNREACHABLE;
        state.refuse(row, state.deadlineReason(row, row.hasBegun() ? Reason.DEADLINE_EXCEEDED : reason), nowMs);
    }

    /**
     * Returns whether a request that never ran is past its latest start time. It is refused then, so that its caller
     * can still retry. The time in which it waits for the end of a silence does not count, because a retry would meet
     * the same silence.
     */
    private boolean hasWaitedTooLong(RequestRow row, long nowMs) {
        // A pool that was configured anew counts from zero.
        long silentMs = Math.max(0, state.pool(row.spec.pool()).silentGapsMs(nowMs) - row.silentGapsBeforeMs);
        return nowMs - silentMs >= row.spec.startDeadlineMs()
                && (row.verdict == null || row.verdict == Verdict.NOT_RUN);
    }

    private boolean isTooLate(RequestRow row, long nowMs) {
        if (hasWaitedTooLong(row, nowMs)) {
            return true;
        }
        PoolRow pool = state.pool(row.spec.pool());
        long neededMs = row.continuesResponse() ? 0 : pool.neededMs(row.spec, 0, pool.isContended(nowMs), nowMs);
        return nowMs + neededMs >= state.deadlineMs(row);
    }

    /** Returns whether the rest of a begun response cannot end in time while others wait for its slot. */
    private boolean yieldsSlot(RequestRow row, long nowMs) {
        PoolRow pool = state.pool(row.spec.pool());
        return row.hasBegun()
                && pool.isContended(nowMs)
                && nowMs + pool.neededMs(row.spec, row.deliveredTokens, false, nowMs) >= state.deadlineMs(row);
    }

    private void waitForEndpoint(RequestRow row, long nowMs) {
        boolean waitsForIdleEndpoint =
                state.quarantine.isSuspect(row.spec.fingerprint(), nowMs) && !row.canUseBusyEndpoint;
        long waitMs =
                waitsForIdleEndpoint ? state.settings.quarantine().busyEndpointDelayMs() : state.settings.exclusionMs();
        row.nextTransitionAtMs = nowMs + waitMs;
        state.waitOutsideQueue(row, RequestRow.State.WAITING_FOR_ENDPOINT, nowMs);
        state.recordDecision(
                row,
                nowMs,
                row.isHeldByQuarantine
                        ? "parked, a quarantine allows no attempt"
                        : "parked, waits for other endpoints");
    }

    private void start(RequestRow row, Chain chain, long nowMs) {
        if (row.epoch == 0 && !row.spec.continuesResponse()) {
            state.retries.recordFirstAttempt(row.spec, nowMs);
        }
        row.state = RequestRow.State.RUNNING;
        row.epoch++;
        row.attempts++;
        row.attemptStartedAtMs = nowMs;
        row.firstTokenAtMs = -1;
        row.hasProvenParts = false;
        row.tokensBeforeAttempt = row.deliveredTokens;
        row.isAccepted = false;
        row.cannotBeTakenUp = false;
        row.endedEndpoints.clear();
        row.hasReservedRetry = false;
        row.canUseBusyEndpoint = false;
        state.acquire(row, chain, nowMs);
        List<String> kvSources = row.kvSourceEndpointIds.stream()
                .filter(id -> state.directory.isUsable(id, nowMs))
                .toList();
        state.actions.add(new Action.StartAttempt(
                row.id(),
                row.epoch,
                chain,
                row.deliveredTokens,
                kvSources,
                row.spec.rank().ordinal(),
                row.spec.deadlineMs()));
        state.recordDecision(
                row,
                nowMs,
                "attempt " + row.epoch + " started at " + chain.firstStage().endpointId() + ", "
                        + chain.stages().size() + " stages, from token " + row.deliveredTokens);
    }
}

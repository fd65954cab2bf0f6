package io.radishwinch.core.impl;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Stage;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.core.retry.RetryPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Tracks running attempts and decides between retry, reroute and refusal when they fail. */
final class AttemptSystem {

    /**
     * Time after the end of an endpoint within which a response that it has sent still arrives, in ms. An attempt whose
     * end has not been reported by then is ended.
     */
    private static final long MAX_LATE_END_MS = Event.EndpointRemoved.MAX_SILENCE_MS;

    private final CoreState state;
    private final QuarantineSystem quarantineSystem;
    private final PartQuarantineSystem partQuarantineSystem;
    private final EndpointLimit endpointLimit;

    AttemptSystem(
            CoreState state,
            QuarantineSystem quarantineSystem,
            PartQuarantineSystem partQuarantineSystem,
            EndpointLimit endpointLimit) {
        this.state = state;
        this.endpointLimit = endpointLimit;
        this.quarantineSystem = quarantineSystem;
        this.partQuarantineSystem = partQuarantineSystem;
    }

    void started(Event.AttemptStarted event) {
        RequestRow row = runningAttempt(event.requestId(), event.epoch());
        if (row != null) {
            row.isAccepted = true;
        }
    }

    void firstToken(Event.FirstToken event, long nowMs) {
        RequestRow row = runningAttempt(event.requestId(), event.epoch());
        if (row == null) {
            return;
        }
        state.recordResponse(row.chain.firstStage().endpointId(), nowMs);
        if (row.firstTokenAtMs < 0) {
            row.isAccepted = true;
            row.firstTokenAtMs = nowMs;
        }
    }

    void progress(Event.Progress event, long nowMs) {
        RequestRow row = runningAttempt(event.requestId(), event.epoch());
        if (row != null) {
            state.recordResponse(row.chain.firstStage().endpointId(), nowMs);
            row.deliveredTokens = Math.max(row.deliveredTokens, event.deliveredTokens());
            if (row.firstTokenAtMs < 0 && row.deliveredTokens > row.tokensBeforeAttempt) {
                // An exchange reports the first token of a request, not that of each attempt.
                row.isAccepted = true;
                row.firstTokenAtMs = nowMs;
            }
        }
    }

    void finished(Event.AttemptFinished event, long nowMs) {
        RequestRow row = runningAttempt(event.requestId(), event.epoch());
        if (row == null) {
            return;
        }
        state.recordResponse(row.chain.firstStage().endpointId(), nowMs);
        row.deliveredTokens = Math.max(row.deliveredTokens, event.deliveredTokens());
        row.verdict = Verdict.RAN;
        long firstMs = (row.firstTokenAtMs < 0 ? nowMs : row.firstTokenAtMs) - row.attemptStartedAtMs;
        int newTokens = row.deliveredTokens - row.tokensBeforeAttempt;
        double intervalMs = newTokens > 1 ? (double) (nowMs - row.attemptStartedAtMs - firstMs) / (newTokens - 1) : 0;
        state.actions.addAll(state.directory.recordSuccess(row.chain, firstMs, intervalMs, nowMs));
        quarantineSystem.requestFinished(row, nowMs);
        partQuarantineSystem.recordProof(row, nowMs);
        if (row.epoch == 1) {
            state.pool(row.spec.pool()).recordFinished(row.spec, firstMs, intervalMs, newTokens, nowMs);
        }
        state.retries.recordCompletion(row.spec, nowMs);
        state.complete(row, nowMs);
    }

    void failed(Event.AttemptFailed event, long nowMs) {
        RequestRow row = runningAttempt(event.requestId(), event.epoch());
        if (row == null) {
            return;
        }
        row.deliveredTokens = Math.max(row.deliveredTokens, event.deliveredTokens());
        boolean isCancelled = row.state == RequestRow.State.CANCELLING;
        Reason reason = isCancelled ? row.cancelReason : event.reason();
        String endpointId = isCancelled ? row.cancelEndpointId : event.failedEndpointId();
        boolean hasOutput = row.firstTokenAtMs >= 0 || row.deliveredTokens > row.tokensBeforeAttempt;
        Verdict verdict = hasOutput ? event.verdict().combine(Verdict.MAY_HAVE_RUN) : event.verdict();
        endAttempt(row, endpointId, reason, verdict, nowMs);
    }

    /**
     * Reroutes or cancels the attempts on a removed endpoint; the end of each one reports the delivered tokens.
     * Attempts on an endpoint that is only suspected continue unless another attempt can take them up. Those on one
     * that has ended are ended here if nothing reports their end in time.
     */
    void endpointRemoved(Event.EndpointRemoved removed, long nowMs) {
        if (removed.isSuspected()) {
            state.silentSinceMs.put(removed.endpointId(), nowMs);
        } else {
            if (removed.isEndProven() || state.isSilenceExceeded(removed.endpointId(), nowMs)) {
                state.recordEnd(removed.endpointId());
            }
            state.silentSinceMs.remove(removed.endpointId());
        }
        List<RequestRow> rows = state.running.stream()
                .filter(row -> row.chain.uses(removed.endpointId()))
                .toList();
        for (RequestRow row : rows) {
            // An accepted non-repeatable request must not run twice, and its response may still arrive.
            boolean canRestart = row.spec.isRepeatable() || !row.isAccepted;
            if (removed.hasCrashed() || canRestart && !removed.isSuspected()) {
                limitAttempt(row, removed, nowMs);
            }
            if (row.state == RequestRow.State.RUNNING && canRestart) {
                row.isCancelledByCrash = removed.hasCrashed();
                boolean isRerouted = startReroute(row, removed.endpointId(), nowMs);
                if (!isRerouted && (!removed.isSuspected() || canLeaveSuspected(row, removed.endpointId(), nowMs))) {
                    state.cancel(row, Reason.STAGE_DIED, removed.endpointId(), nowMs);
                }
            }
        }
        if (!removed.isSuspected()) {
            quarantineSystem.endpointEnded(removed.endpointId(), nowMs);
        }
        partQuarantineSystem.endpointEnded(removed.endpointId(), nowMs);
        if (removed.hasCrashed()) {
            quarantineSystem.endProven(removed.endpointId(), nowMs);
        }
        for (RequestRow row : rows) {
            if (removed.hasCrashed() && row.isAccepted && state.requests.containsKey(row.id())) {
                quarantineSystem.recordCrash(row, removed.endpointId(), nowMs);
                partQuarantineSystem.recordFailure(row, removed.endpointId(), nowMs);
            }
        }
    }

    private static void limitAttempt(RequestRow row, Event.EndpointRemoved removed, long nowMs) {
        row.endedEndpoints.merge(
                removed.endpointId(),
                new RequestRow.EndedEndpoint(nowMs + MAX_LATE_END_MS, removed.hasCrashed()),
                (earlier, later) ->
                        new RequestRow.EndedEndpoint(earlier.deadlineMs(), earlier.isProven() || later.isProven()));
    }

    /** Ends the suspicion of an endpoint that responds again, and the limit of its attempts that may go on. */
    void endpointJoined(String endpointId) {
        state.endedEndpointIds.remove(endpointId);
        state.silentSinceMs.remove(endpointId);
        for (RequestRow row : state.running) {
            // The response to a request that cannot run again is still waited for, as reports of crashes can be wrong.
            boolean canRestart = row.spec.isRepeatable() || !row.isAccepted;
            row.endedEndpoints.computeIfPresent(endpointId, (id, end) -> end.isProven() && canRestart ? end : null);
        }
    }

    /** Cancels the attempts on suspected endpoints that another attempt can take up by now. */
    private void leaveSuspectedEndpoints(long nowMs) {
        if (state.silentSinceMs.isEmpty()) {
            return;
        }
        for (String endpointId : state.silentSinceMs.keySet()) {
            if (state.isSilenceExceeded(endpointId, nowMs)) {
                quarantineSystem.endpointEnded(endpointId, nowMs);
            }
        }
        for (RequestRow row : state.running) {
            if (row.state == RequestRow.State.RUNNING && row.rerouteChain == null) {
                leaveSuspectedEndpoint(row, nowMs);
            }
        }
    }

    private void leaveSuspectedEndpoint(RequestRow row, long nowMs) {
        for (Stage stage : row.chain.stages()) {
            String endpointId = stage.endpointId();
            if (state.silentSinceMs.containsKey(endpointId) && canLeaveSuspected(row, endpointId, nowMs)) {
                state.cancel(row, Reason.STAGE_DIED, endpointId, nowMs);
                return;
            }
        }
    }

    /** Returns whether another attempt can take up a running one in time, whose endpoint does not respond. */
    private boolean canLeaveSuspected(RequestRow row, String endpointId, long nowMs) {
        if (!row.spec.isRepeatable()) {
            // An attempt that the endpoint has not accepted did not run.
            return !row.isAccepted;
        }
        boolean isSilenceExceeded = state.isSilenceExceeded(endpointId, nowMs);
        long neededMs = state.pool(row.spec.pool()).neededMs(row.spec, row.deliveredTokens, false, nowMs);
        return endpointLimit.canBeTakenUp(row, isSilenceExceeded, nowMs)
                && !row.cannotBeTakenUp
                && (row.hasBegun() || row.attempts < state.settings.retry().maxAttempts())
                && state.contractRefusalReason(row.spec) == null
                && state.directory.isCovered(row.spec.pool(), nowMs)
                && nowMs + neededMs < state.deadlineMs(row)
                && reserveRetry(row, nowMs);
    }

    /**
     * Asks the first stage to continue a stream over another chain without a new run.
     *
     * @return false if the stream cannot be rerouted
     */
    private boolean startReroute(RequestRow row, String lostEndpointId, long nowMs) {
        boolean canReroute = state.settings.reroutesStreams()
                && row.isAccepted
                && row.rerouteChain == null
                && !row.chain.firstStage().endpointId().equals(lostEndpointId);
        if (!canReroute) {
            return false;
        }
        Optional<Chain> replacement =
                state.planner.replaceStage(row.spec, state.poolSpec(row), row.chain, lostEndpointId, nowMs);
        if (replacement.isEmpty()) {
            return false;
        }
        row.rerouteChain = replacement.get();
        row.rerouteLostEndpointId = lostEndpointId;
        row.rerouteDeadlineMs = nowMs + state.settings.cancelTimeoutMs();
        state.actions.add(new Action.RerouteAttempt(row.id(), row.epoch, row.rerouteChain));
        state.recordDecision(row, nowMs, "attempt " + row.epoch + " moved off " + lostEndpointId);
        return true;
    }

    /**
     * Replaces the chain of a rerouted attempt. If the reroute failed, the attempt is cancelled, unless the lost
     * endpoint may respond again.
     */
    void finishReroute(Event.AttemptRerouted event, long nowMs) {
        RequestRow row = runningAttempt(event.requestId(), event.epoch());
        if (row == null || row.rerouteChain == null) {
            return;
        }
        Chain chain = row.rerouteChain;
        row.rerouteChain = null;
        if (row.state != RequestRow.State.RUNNING) {
            return;
        }
        boolean isUsable = chain.stages().stream()
                .allMatch(stage ->
                        state.directory.isUsable(stage.endpointId(), nowMs) || row.chain.uses(stage.endpointId()));
        if (event.isAccepted() && isUsable) {
            state.replaceChain(row, chain, nowMs);
            row.endedEndpoints.keySet().removeIf(id -> !chain.uses(id));
        } else if (!mayRespondAgain(row, row.rerouteLostEndpointId)) {
            state.cancel(row, Reason.STAGE_DIED, row.rerouteLostEndpointId, nowMs);
        }
    }

    /** Applies the timeouts of deadlines, reroutes, cancellations and waits for the retry budget. */
    void tick(long nowMs) {
        leaveSuspectedEndpoints(nowMs);
        for (RequestRow row : List.copyOf(state.running)) {
            if (!row.isRunning()) {
                continue;
            }
            if (row.rerouteChain != null && row.rerouteDeadlineMs <= nowMs) {
                finishReroute(new Event.AttemptRerouted(row.id(), row.epoch, false), nowMs);
            }
            if (state.deadlineMs(row) <= nowMs) {
                state.pool(row.spec.pool()).recordUnfinished(row.spec, nowMs - row.attemptStartedAtMs, nowMs);
                state.refuse(row, state.deadlineReason(row, Reason.DEADLINE_EXCEEDED), nowMs);
            } else if (row.outlivesEndpoint(nowMs)) {
                state.recordDecision(row, nowMs, "no end reported since that of " + row.endedEndpoints.keySet());
                state.refuse(row, Reason.STAGE_DIED, nowMs);
            } else if (row.state != RequestRow.State.CANCELLING || row.nextTransitionAtMs > nowMs) {
                continue;
            } else if (row.cancelReason == Reason.PREEMPTED) {
                // No other attempt can continue the response that has begun, and its endpoint is sound.
                row.state = RequestRow.State.RUNNING;
                row.preemptions = state.settings.maxPreemptions();
            } else if (row.cancelReason == Reason.STAGE_DIED && mayRespondAgain(row, row.cancelEndpointId)) {
                // No other attempt can continue the response that has begun, and its endpoint may respond again.
                row.state = RequestRow.State.RUNNING;
                row.cannotBeTakenUp = true;
            } else {
                // The delivered tokens are unknown, and a resume from an outdated count would deliver tokens twice.
                state.refuse(row, row.cancelReason, nowMs);
            }
        }
        for (RequestRow row : List.copyOf(state.waiting)) {
            if (row.isWaitingForRetryBudget && row.nextTransitionAtMs <= nowMs) {
                state.stopWaiting(row);
                row.budgetWaits++;
                retryOrRefuse(row, nowMs);
            }
        }
    }

    private void endAttempt(RequestRow row, String endpointId, Reason reason, Verdict verdict, long nowMs) {
        Chain chain = row.chain;
        boolean hasLostEndpoint = reason == Reason.STAGE_DIED && verdict != Verdict.NOT_RUN && chain.uses(endpointId);
        boolean isInterrupted = row.state == RequestRow.State.CANCELLING && !row.isCancelledByCrash;
        state.release(row, nowMs);
        row.rerouteChain = null;
        row.state = RequestRow.State.BACKING_OFF;
        row.verdict = row.verdict == null ? verdict : row.verdict.combine(verdict);
        row.lastReason = reason;
        if (reason == Reason.ENDPOINT_ERROR) {
            row.errors++;
        }
        if (verdict != Verdict.NOT_RUN) {
            row.ranAtEndpointIds.add(chain.firstStage().endpointId());
        }
        row.budgetWaits = 0;
        row.isCancelledByCrash = false;
        row.kvSourceEndpointIds = new ArrayList<>();
        for (Stage stage : chain.stages()) {
            if (!stage.endpointId().equals(endpointId)) {
                row.kvSourceEndpointIds.add(stage.endpointId());
            }
        }
        if (reason == Reason.PREEMPTED) {
            row.attempts--;
            row.preemptions++;
        } else if (isEndpointFault(reason) && chain.uses(endpointId)) {
            // The directory itself backs off from an endpoint that refuses, also for other requests.
            long waitMs = reason == Reason.ENDPOINT_REFUSED ? 0 : state.settings.exclusionMs();
            row.exclusionEndsMs.put(endpointId, nowMs + waitMs);
            state.actions.addAll(state.directory.recordFailure(endpointId, reason, nowMs));
        }
        state.recordDecision(
                row,
                nowMs,
                "attempt " + row.epoch + " ended: " + reason.wireName() + " at " + endpointId + ", "
                        + verdict.wireName());
        if (hasLostEndpoint && isInterrupted) {
            quarantineSystem.recordInterruption(row, endpointId, nowMs);
        } else if (hasLostEndpoint) {
            quarantineSystem.recordBrokenAttempt(row, endpointId, nowMs);
            partQuarantineSystem.recordFailure(row, endpointId, nowMs);
        }
        if (state.requests.containsKey(row.id())) {
            retryOrRefuse(row, nowMs);
        }
    }

    /** Charges the retry that follows a cancellation, so that an attempt that could not be retried is not cancelled. */
    private boolean reserveRetry(RequestRow row, long nowMs) {
        row.hasReservedRetry =
                row.hasReservedRetry || state.retries.tryReserve(row.spec, row.deliveredTokens > 0, nowMs);
        return row.hasReservedRetry;
    }

    /** Relays a request. If it may have run, the other router runs it again, so that the retry budget must allow it. */
    void relayRequested(String requestId, long nowMs) {
        RequestRow row = state.requests.get(requestId);
        if (row == null) {
            return;
        }
        boolean needsRetry = row.isRunning() || row.isWaitingForRetryBudget;
        if (!needsRetry || reserveRetry(row, nowMs)) {
            state.recordDecision(row, nowMs, "relayed");
            state.actions.add(new Action.Relay(requestId));
        }
    }

    /** Relays a request whose response has begun and that is no longer in the tables, if the retry budget allows it. */
    void relayRepeated(RequestSpec request, long nowMs) {
        if (state.retries.tryReserve(request, true, nowMs)) {
            state.actions.add(new Action.Relay(request.requestId()));
        }
    }

    private void retryOrRefuse(RequestRow row, long nowMs) {
        RetryPolicy.Failure failure = new RetryPolicy.Failure(
                row.spec, row.lastReason, row.verdict, row.attempts, row.errors, row.budgetWaits, row.deliveredTokens);
        RetryPolicy.Decision decision = row.hasReservedRetry && row.lastReason == Reason.STAGE_DIED
                ? new RetryPolicy.Retry(0)
                : state.retries.decide(failure, nowMs);
        row.hasReservedRetry = false;
        Reason contractReason = state.withdrawalReason(row);
        row.isWaitingForRetryBudget = false;
        if (state.partQuarantineMs(row.spec, nowMs) > 0 && !row.hasProvenPrompt) {
            state.refuse(row, Reason.QUARANTINED, nowMs);
        } else if (decision instanceof RetryPolicy.DoNotRetry stop) {
            state.refuse(row, stop.reason(), nowMs);
        } else if (endpointLimit.isReached(row, nowMs)) {
            state.refuse(row, Reason.ATTEMPTS_EXHAUSTED, nowMs);
        } else if (row.isCallerDisconnected || contractReason != null) {
            state.refuse(row, row.isCallerDisconnected ? row.lastReason : contractReason, nowMs);
        } else if (decision instanceof RetryPolicy.WaitForBudget wait) {
            row.isWaitingForRetryBudget = true;
            row.nextTransitionAtMs = nowMs + wait.waitMs();
            state.waitOutsideQueue(row, RequestRow.State.BACKING_OFF, nowMs);
        } else if (decision instanceof RetryPolicy.Retry retry) {
            state.actions.add(new Action.CountRetry(row.id(), row.spec.caller(), row.spec.rank(), row.lastReason));
            row.nextTransitionAtMs = nowMs + retry.waitMs();
            if (state.waitOutsideQueue(row, RequestRow.State.BACKING_OFF, nowMs) && retry.waitMs() == 0) {
                state.requeue(row, nowMs);
            }
        }
    }

    /** Returns whether the endpoint of an attempt is only suspected, or is in use again in the same lifetime. */
    private boolean mayRespondAgain(RequestRow row, String endpointId) {
        return !row.endedEndpoints.containsKey(endpointId)
                && (state.silentSinceMs.containsKey(endpointId) || !state.directory.isRemoved(endpointId));
    }

    private RequestRow runningAttempt(String requestId, int epoch) {
        RequestRow row = state.requests.get(requestId);
        return row != null && row.isRunning() && row.epoch == epoch ? row : null;
    }

    private static boolean isEndpointFault(Reason reason) {
        return reason == Reason.STAGE_DIED
                || reason == Reason.ENDPOINT_REFUSED
                || reason == Reason.ENDPOINT_CHANGED
                || reason == Reason.ENDPOINT_TIMEOUT
                || reason == Reason.ENDPOINT_ERROR;
    }
}

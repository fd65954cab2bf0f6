package io.radishwinch.core.impl;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Stage;
import io.radishwinch.core.model.Verdict;
import java.util.ArrayList;
import java.util.List;

/** Follows running attempts: their progress, their end and what comes after it. */
final class AttemptSystem {

    private final CoreState state;

    AttemptSystem(CoreState state) {
        this.state = state;
    }

    void firstToken(Event.FirstToken event, long nowMs) {
        RequestRow row = current(event.requestId(), event.epoch());
        if (row != null && row.firstTokenAtMs < 0) {
            row.firstTokenAtMs = nowMs;
        }
    }

    void progress(Event.Progress event) {
        RequestRow row = current(event.requestId(), event.epoch());
        if (row != null) {
            row.deliveredTokens = Math.max(row.deliveredTokens, event.deliveredTokens());
        }
    }

    void finished(Event.AttemptFinished event, long nowMs) {
        RequestRow row = current(event.requestId(), event.epoch());
        if (row == null) {
            return;
        }
        row.deliveredTokens = Math.max(row.deliveredTokens, event.deliveredTokens());
        row.verdict = Verdict.RAN;
        long firstMs = (row.firstTokenAtMs < 0 ? nowMs : row.firstTokenAtMs) - row.attemptStartedAtMs;
        int newTokens = row.deliveredTokens - row.attemptFirstTokens;
        double intervalMs = newTokens > 1 ? (double) (nowMs - row.attemptStartedAtMs - firstMs) / (newTokens - 1) : 0;
        state.out.addAll(state.directory.succeeded(row.chain, firstMs, intervalMs, nowMs));
        if (row.attempts == 1) {
            state.pool(row.spec.pool()).sample(row.spec, firstMs, intervalMs, newTokens, nowMs);
        }
        state.complete(row, nowMs);
    }

    void failed(Event.AttemptFailed event, long nowMs) {
        RequestRow row = current(event.requestId(), event.epoch());
        if (row == null) {
            return;
        }
        row.deliveredTokens = Math.max(row.deliveredTokens, event.deliveredTokens());
        boolean cancelled = row.state == RequestRow.State.CANCELLING;
        Reason reason = cancelled ? row.cancelReason : event.reason();
        String endpointId = cancelled ? row.cancelEndpointId : event.failedEndpointId();
        boolean ran = row.firstTokenAtMs >= 0 || row.deliveredTokens > row.attemptFirstTokens;
        ended(row, endpointId, reason, ran ? event.verdict().combine(Verdict.MAY_HAVE_RUN) : event.verdict(), nowMs);
    }

    /** Cancels the attempts that run on an endpoint that is gone; their ends state the tokens delivered. */
    void endpointGone(String endpointId, long nowMs) {
        for (RequestRow row : List.copyOf(state.running)) {
            if (row.state == RequestRow.State.RUNNING && row.chain.uses(endpointId)) {
                cancel(row, Reason.STAGE_DIED, endpointId, nowMs);
            }
        }
    }

    /** Cancels a running attempt and waits for its end. */
    void cancel(RequestRow row, Reason reason, String endpointId, long nowMs) {
        row.state = RequestRow.State.CANCELLING;
        row.cancelReason = reason;
        row.cancelEndpointId = endpointId;
        row.dueAtMs = nowMs + state.settings.cancelTimeoutMs();
        state.out.add(new Action.CancelAttempt(row.id(), row.epoch, reason));
        state.note(row, nowMs, "attempt " + row.epoch + " cancelled: " + reason.wireName());
    }

    /** Ends requests whose deadline passed and attempts whose cancellation was not confirmed. */
    void tick(long nowMs) {
        for (RequestRow row : List.copyOf(state.running)) {
            if (row.spec.deadlineMs() <= nowMs) {
                state.pool(row.spec.pool()).sampleUnfinished(row.spec, nowMs - row.attemptStartedAtMs, nowMs);
                state.refuse(row, Reason.DEADLINE_EXCEEDED, nowMs);
            } else if (row.state == RequestRow.State.CANCELLING && row.dueAtMs <= nowMs) {
                ended(row, row.cancelEndpointId, row.cancelReason, Verdict.MAY_HAVE_RUN, nowMs);
            }
        }
    }

    private void ended(RequestRow row, String endpointId, Reason reason, Verdict verdict, long nowMs) {
        Chain chain = row.chain;
        state.release(row, nowMs);
        row.verdict = row.verdict == null ? verdict : row.verdict.combine(verdict);
        row.lastReason = reason;
        row.state = RequestRow.State.BACKING_OFF;
        row.kvSourceEndpointIds = new ArrayList<>();
        for (Stage stage : chain.stages()) {
            if (!stage.endpointId().equals(endpointId)) {
                row.kvSourceEndpointIds.add(stage.endpointId());
            }
        }
        if (isEndpointFault(reason) && endpointId != null) {
            row.excludedEndpointIds.add(endpointId);
            state.out.addAll(state.directory.failed(endpointId, reason, nowMs));
        }
        state.note(
                row,
                nowMs,
                "attempt " + row.epoch + " ended: " + reason.wireName() + " at " + endpointId + ", "
                        + verdict.wireName());
        Reason withdrawn = state.contractReason(row.spec);
        if (!isRetryable(reason) || !row.mayStart() || row.callerGone) {
            state.refuse(row, reason, nowMs);
        } else if (withdrawn != null) {
            state.refuse(row, withdrawn, nowMs);
        } else if (row.attempts >= state.settings.maxAttempts()) {
            state.refuse(row, Reason.ATTEMPTS_EXHAUSTED, nowMs);
        } else {
            row.dueAtMs = nowMs;
            state.waiting.add(row);
            state.out.add(new Action.CountRetry(row.spec.caller(), row.spec.rank(), reason));
        }
    }

    private RequestRow current(String requestId, int epoch) {
        RequestRow row = state.requests.get(requestId);
        return row != null && row.isRunning() && row.epoch == epoch ? row : null;
    }

    private static boolean isRetryable(Reason reason) {
        return isEndpointFault(reason) || reason == Reason.PREEMPTED;
    }

    private static boolean isEndpointFault(Reason reason) {
        return reason == Reason.STAGE_DIED || reason == Reason.ENDPOINT_REFUSED || reason == Reason.ENDPOINT_TIMEOUT;
    }
}

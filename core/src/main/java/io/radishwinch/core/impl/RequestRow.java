package io.radishwinch.core.impl;

import io.radishwinch.core.DecisionCore.RequestView;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Row of the request table: an admitted request until its last action is issued. */
final class RequestRow {

    /** State of a request; only the last two states occupy slots. */
    enum State {
        /** In the request queue. */
        QUEUED,
        /** Waits outside the queue for the time of its next attempt. */
        BACKING_OFF,
        /** Waits outside the queue for an endpoint that it may use, so that it blocks no other request. */
        WAITING_FOR_ENDPOINT,
        /** An attempt is running. */
        RUNNING,
        /** The attempt was cancelled; its end, which reports the delivered tokens, is pending. */
        CANCELLING
    }

    /**
     * Endpoint of a running attempt that has ended.
     *
     * @param deadlineMs time by which the end of the attempt must be reported, in ms
     * @param isProven whether the endpoint is in another lifetime once it is in use again
     */
    record EndedEndpoint(long deadlineMs, boolean isProven) {}

    final RequestSpec spec;
    /** Pool as configured when the request was admitted. */
    final ModelSpec admittedPool;

    final ArrayDeque<String> history = new ArrayDeque<>();
    /**
     * Endpoints on which the request failed, each with the time in ms until which the request waits for others instead.
     */
    final Map<String, Long> exclusionEndsMs = new LinkedHashMap<>();

    /** Total duration of the gaps of its pool that end with the silence of endpoints, at its admission, in ms. */
    long silentGapsBeforeMs;

    State state = State.QUEUED;
    int epoch;
    int attempts;
    int preemptions;
    /** Number of attempts to which an endpoint responded with an error. */
    int errors;

    /** First endpoints of the attempts that may have run. */
    final List<String> ranAtEndpointIds = new ArrayList<>();

    int budgetWaits;
    int deliveredTokens;
    /** Combined verdict of all ended attempts; null before the first one ends. */
    Verdict verdict;

    Reason lastReason;
    /** Chain of the running attempt; null if none is running. */
    Chain chain;

    List<String> kvSourceEndpointIds = new ArrayList<>();
    long attemptStartedAtMs;
    long firstTokenAtMs = -1;
    int tokensBeforeAttempt;
    /** Whether the running attempt has shown that the parts of the prompt do not crash endpoints. */
    boolean hasProvenParts;
    /** Whether any attempt has shown it. */
    boolean hasProvenPrompt;
    /** Time of the next state change: end of the backoff, of the wait for an endpoint or of the cancel timeout. */
    long nextTransitionAtMs;

    /** New chain of the running attempt; null unless the first endpoint was asked to reroute it. */
    Chain rerouteChain;

    String rerouteLostEndpointId;
    long rerouteDeadlineMs;

    Reason cancelReason;
    String cancelEndpointId;
    /** Whether the attempt was cancelled because an endpoint crashed, as opposed to left. */
    boolean isCancelledByCrash;
    /** Endpoints of the running attempt that have ended. */
    final Map<String, EndedEndpoint> endedEndpoints = new LinkedHashMap<>();
    /** Whether the request waits for a retry that the budget has not granted yet. */
    boolean isWaitingForRetryBudget;
    /** Whether the retry after the running attempt has been charged to the budget. */
    boolean hasReservedRetry;
    /** Whether the running attempt was cancelled, but its response cannot be continued by another attempt. */
    boolean cannotBeTakenUp;
    /** Whether the crash quarantine delays the request because of other attempts with its fingerprint. */
    boolean isHeldByQuarantine;
    /** Whether the request may use endpoints with many other attempts, after it waited for one with few. */
    boolean canUseBusyEndpoint;
    /** Whether the first endpoint accepted the running attempt. */
    boolean isAccepted;
    /** Whether the running attempt is of a suspect under observation. */
    boolean isObserved;

    boolean isCallerDisconnected;

    RequestRow(RequestSpec spec, ModelSpec admittedPool) {
        this.spec = spec;
        this.admittedPool = admittedPool;
        this.ranAtEndpointIds.addAll(spec.earlierEndpointIds());
    }

    RequestView view(String stateName, Optional<Verdict> finalVerdict, Optional<Reason> reason) {
        return new RequestView(spec, stateName, epoch, List.copyOf(history), finalVerdict, reason);
    }

    String id() {
        return spec.requestId();
    }

    boolean isRunning() {
        return state == State.RUNNING || state == State.CANCELLING;
    }

    /** Returns whether the running attempt has gone on for too long after the end of one of its endpoints. */
    boolean outlivesEndpoint(long nowMs) {
        return !endedEndpoints.isEmpty() && endedEndpoints.values().stream().anyMatch(end -> end.deadlineMs <= nowMs);
    }

    /**
     * Returns whether the caller has received events, so that the request can no longer be refused but only broken off.
     */
    boolean hasBegun() {
        return deliveredTokens > 0 || isRunning() && firstTokenAtMs >= 0;
    }

    /**
     * Returns whether the caller has received events, from this router or from the one that has relayed the request.
     * The latter may still be refused, as its caller's router then relays it to another one.
     */
    boolean continuesResponse() {
        return hasBegun() || spec.continuesResponse();
    }

    /** Returns the verdict of the request if it ended now. */
    Verdict currentVerdict() {
        if (isRunning()) {
            return verdict == null ? Verdict.MAY_HAVE_RUN : verdict.combine(Verdict.MAY_HAVE_RUN);
        }
        return verdict == null ? Verdict.NOT_RUN : verdict;
    }

    /** Returns the prompt and generated tokens to charge; 0 if the request did not run. */
    long usedTokens() {
        return currentVerdict() == Verdict.NOT_RUN ? 0 : (long) spec.promptTokens() + deliveredTokens;
    }
}

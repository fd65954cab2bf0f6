package io.radishwinch.core.impl;

import io.radishwinch.core.DecisionCore.RequestView;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Row of the request table: an admitted request until its last action. */
final class RequestRow {

    /** State of a request; every state but the last two holds no slot. */
    enum State {
        /** In the request queue. */
        QUEUED,
        /** Waits for the time of its next attempt. */
        BACKING_OFF,
        /** Waits for an endpoint that it may use, outside the queue so that it blocks no other request. */
        WAITING_FOR_ENDPOINT,
        /** An attempt runs. */
        RUNNING,
        /** The core cancelled the attempt and waits for its end, which states the tokens delivered. */
        CANCELLING
    }

    final RequestSpec spec;
    final ArrayDeque<String> history = new ArrayDeque<>();
    final Set<String> excludedEndpointIds = new LinkedHashSet<>();
    State state = State.QUEUED;
    int epoch;
    int attempts;
    int preemptions;
    /** Attempts that may have run and whose first endpoint was not lost. */
    int runs;

    int budgetWaits;
    int deliveredTokens;
    /** Combined verdict of all ended attempts, null before the first has ended. */
    Verdict verdict;

    Reason lastReason;
    /** Chain of the running attempt, null if there is none. */
    Chain chain;

    List<String> kvSourceEndpointIds = new ArrayList<>();
    long attemptStartedAtMs;
    long firstTokenAtMs = -1;
    int tokensBeforeAttempt;
    /** Time of the next change of state: end of the backoff, of parking or of the wait for a cancelled attempt. */
    long nextTransitionAtMs;

    /** Chain on which the running attempt is to go on, null unless the first endpoint was asked to move it. */
    Chain rerouteChain;

    String rerouteLostEndpointId;
    long rerouteDeadlineMs;

    Reason cancelReason;
    String cancelEndpointId;
    /** Whether a cancelled attempt ended because an endpoint crashed rather than left. */
    boolean isCancelledByCrash;
    /** Whether the retry that the request waits for was not granted yet. */
    boolean isWaitingForRetryBudget;
    /** Whether the request waits until fewer attempts with its fingerprint run. */
    boolean isHeldByQuarantine;
    /** Whether the request has waited long enough for an endpoint with few other attempts. */
    boolean canUseBusyEndpoint;
    /** Whether the first endpoint accepted the running attempt. */
    boolean isAccepted;
    /** Whether the running attempt is a suspect's under observation. */
    boolean isObserved;

    boolean isCallerDisconnected;

    RequestRow(RequestSpec spec) {
        this.spec = spec;
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

    /** Returns the verdict over all attempts if the request ended now. */
    Verdict currentVerdict() {
        if (isRunning()) {
            return verdict == null ? Verdict.MAY_HAVE_RUN : verdict.combine(Verdict.MAY_HAVE_RUN);
        }
        return verdict == null ? Verdict.NOT_RUN : verdict;
    }

    /** Returns the tokens to charge when the request ends: none if it did not run. */
    long usedTokens() {
        return currentVerdict() == Verdict.NOT_RUN ? 0 : (long) spec.promptTokens() + deliveredTokens;
    }
}

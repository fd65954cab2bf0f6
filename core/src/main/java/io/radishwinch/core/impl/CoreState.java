package io.radishwinch.core.impl;

import io.radishwinch.core.DecisionCore.RequestView;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.chain.ChainPlanner;
import io.radishwinch.core.chain.EndpointDirectory;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RankTerms;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.core.quarantine.CrashQuarantine;
import io.radishwinch.core.quarantine.PartQuarantine;
import io.radishwinch.core.quarantine.PartQuarantineSettings;
import io.radishwinch.core.queue.DeadlineIndex;
import io.radishwinch.core.queue.Entitlements;
import io.radishwinch.core.queue.RequestQueue;
import io.radishwinch.core.retry.Backoff;
import io.radishwinch.core.retry.BudgetedRetryPolicy;
import io.radishwinch.core.retry.RetryPolicy;
import io.radishwinch.core.retry.RetrySettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/** Tables and collaborators shared by the systems of the core. */
final class CoreState implements Entitlements {

    private static final double DEFAULT_WEIGHT = 1;
    /** Largest share of the queue capacity that requests of one caller may use outside the queue. */
    private static final double MAX_WAITING_SHARE = 0.25;

    private static final String FINISHED = "finished";
    private static final int MAX_FINISHED = 2_000;

    /** Several times the endpoints that end within the longest deadline. */
    private static final int MAX_ENDED_ENDPOINTS = 4_096;

    private static final int MAX_PENDING_ALLOTMENTS = 10_000;

    final CoreSettings settings;
    final EndpointDirectory directory;
    final ChainPlanner planner;
    final RequestQueue queue;
    final RetryPolicy retries;
    final CrashQuarantine quarantine;
    final PartQuarantine partQuarantine;
    final RetryAfterPolicy retryAfter;
    /** Running attempts of this router by endpoint; endpoints without attempts are absent. */
    final Map<String, Integer> attemptsByEndpoint = new HashMap<>();

    final Map<String, CallerRow> callers = new HashMap<>();
    final Map<String, PoolRow> pools = new HashMap<>();
    /** Requests between admission and their last action, in arrival order. */
    final Map<String, RequestRow> requests = new LinkedHashMap<>();
    /** Requests with a running attempt, in the order of their start. */
    final Set<RequestRow> running = new LinkedHashSet<>();
    /** Requests that wait outside the queue, longest wait first. */
    final Set<RequestRow> waiting = new LinkedHashSet<>();

    /** Those of them that continue a response, in the same order. */
    final Set<RequestRow> waitingContinuations = new LinkedHashSet<>();

    /** First endpoints of the attempts that have ended since the last dispatch. */
    final Set<String> freedEndpointIds = new HashSet<>();

    /** Number of requests between admission and their last action, by fingerprint. */
    final Map<String, Integer> activeByFingerprint = new HashMap<>();
    /** Endpoints that run a suspect under observation, at most one suspect each. */
    final Set<String> observedEndpointIds = new LinkedHashSet<>();

    /** Endpoints that are suspected because they do not respond, with the start of their silence in ms. */
    final Map<String, Long> silentSinceMs = new HashMap<>();

    /** Endpoints that are known to have ended, oldest first. */
    final Set<String> endedEndpointIds = new LinkedHashSet<>();

    /** Allotments that arrived before their contracts. */
    final Map<String, Event.AllotmentChanged> pendingAllotments = new LinkedHashMap<>();

    /** Most recently ended requests, for operators. */
    final FinishedRequests finished = new FinishedRequests(MAX_FINISHED);

    FleetConfig config = FleetConfig.empty();
    boolean isStopping;
    boolean isDraining;
    long drainDeadlineMs;
    List<Action> actions = new ArrayList<>();
    long nowMs;

    CoreState(
            CoreSettings settings,
            EndpointDirectory directory,
            ChainPlanner planner,
            TableDecisionCore.QueueFactory queues) {
        this.settings = settings;
        this.directory = directory;
        this.planner = planner;
        this.queue = queues.create(settings.queue(), this, new DeadlineIndex(this::minServiceMs));
        RetrySettings retry = settings.retry();
        this.retries = new BudgetedRetryPolicy(
                retry,
                retry.newBudget(),
                new Backoff(retry.backoffBaseMs(), retry.backoffMaxMs(), new SplittableRandom(settings.seed())));
        this.quarantine = new CrashQuarantine(settings.quarantine());
        this.partQuarantine = new PartQuarantine(PartQuarantineSettings.defaults());
        this.retryAfter = new RetryAfterPolicy(settings.minRetryAfterMs(), settings.maxRetryAfterMs(), settings.seed());
    }

    @Override
    public double weight(String caller) {
        Contract contract = config.contracts().get(caller);
        return contract == null || contract.weight() <= 0 ? DEFAULT_WEIGHT : contract.weight();
    }

    @Override
    public double floorTokensPerS(String caller, Rank rank) {
        Contract contract = config.contracts().get(caller);
        RankTerms terms = contract == null ? null : contract.ranks().get(rank);
        CallerRow row = callers.get(caller);
        return terms == null || row == null ? 0 : terms.floorTokensPerS() * row.floorShare();
    }

    private long minServiceMs(RequestSpec spec) {
        RequestRow row = requests.get(spec.requestId());
        boolean isContinuation = row == null ? spec.continuesResponse() : row.continuesResponse();
        // A begun response is ended by its deadline only.
        return isContinuation ? 0 : pool(spec.pool()).neededMs(spec, 0, false, nowMs);
    }

    PoolRow pool(String name) {
        return pools.computeIfAbsent(name, key -> new PoolRow());
    }

    CallerRow caller(Contract contract, long nowMs) {
        return callers.computeIfAbsent(contract.caller(), key -> new CallerRow(contract.limits(), settings, nowMs));
    }

    /** Applies this router's allotment of a caller's limits, or stores it until the contract is in effect. */
    void applyAllotment(Event.AllotmentChanged allotment, long nowMs) {
        Contract contract = config.contracts().get(allotment.caller());
        if (contract != null) {
            caller(contract, nowMs).setAllotment(allotment, contract.limits(), nowMs);
        } else if (pendingAllotments.size() < MAX_PENDING_ALLOTMENTS) {
            pendingAllotments.put(allotment.caller(), allotment);
        }
    }

    /** Records that an endpoint has ended. Those that are forgotten above the maximum number count as running. */
    void recordEnd(String endpointId) {
        if (endedEndpointIds.add(endpointId) && endedEndpointIds.size() > MAX_ENDED_ENDPOINTS) {
            endedEndpointIds.remove(endedEndpointIds.iterator().next());
        }
    }

    /** Records that an endpoint has sent something. A suspected one stays out of use, and its silence starts anew. */
    void recordResponse(String endpointId, long nowMs) {
        silentSinceMs.computeIfPresent(endpointId, (id, sinceMs) -> nowMs);
    }

    /** Returns whether an endpoint is suspected and has been silent for longer than a sound one may be. */
    boolean isSilenceExceeded(String endpointId, long nowMs) {
        return nowMs - silentSinceMs.getOrDefault(endpointId, nowMs) >= Event.EndpointRemoved.MAX_SILENCE_MS;
    }

    /** Returns whether the pool has had a coverage gap for at least the grace period. */
    boolean isUncoveredBeyondGracePeriod(String poolName, long nowMs) {
        PoolRow pool = pool(poolName);
        if (directory.isCovered(poolName, nowMs)) {
            pool.uncoveredSinceMs = -1;
            return false;
        }
        if (pool.uncoveredSinceMs < 0) {
            pool.uncoveredSinceMs = nowMs;
        }
        return nowMs - pool.uncoveredSinceMs >= settings.uncoveredGraceMs()
                && !directory.isCoveredAfterSilences(poolName, nowMs);
    }

    /** Records which pools have a coverage gap that ends with the silence of endpoints. */
    void recordSilentGaps(long nowMs) {
        pools.forEach((name, pool) -> pool.recordSilentGap(directory.isCoveredAfterSilences(name, nowMs), nowMs));
    }

    /** Returns whether the pauses that endpoints asked for leave too little time to start the request. */
    boolean isPausedTooLong(RequestSpec spec, long nowMs) {
        long startMs = directory.pauseEndMs(spec.pool(), nowMs);
        boolean startsTooLate = startMs >= spec.startDeadlineMs()
                || startMs + pool(spec.pool()).neededMs(spec, 0, false, nowMs) >= spec.deadlineMs();
        return startMs > nowMs && startsTooLate;
    }

    /** Returns the wait in ms to suggest to a caller whose request is refused for lack of capacity. */
    long capacityWaitMs(RequestSpec spec, long nowMs) {
        return Math.max(retryAfter.waitMs(spec, nowMs), directory.pauseEndMs(spec.pool(), nowMs) - nowMs);
    }

    /** Returns why the configuration in effect does not allow the request, or null if it does. */
    Reason contractRefusalReason(RequestSpec spec) {
        Contract contract = config.contracts().get(spec.caller());
        ModelSpec pool = config.pool(spec.pool());
        if (contract == null) {
            // Requests are authenticated before they reach the core, under the same configuration or an earlier one.
            return Reason.CONTRACT_WITHDRAWN;
        }
        if (pool == null) {
            return spec.pool().startsWith(ModelSpec.SERVICE_PREFIX) ? Reason.UNKNOWN_SERVICE : Reason.UNKNOWN_MODEL;
        }
        if (!contract.ranks().containsKey(spec.rank()) || !contract.allowsPool(spec.pool())) {
            return Reason.FORBIDDEN;
        }
        return spec.costTokens() > pool.maxContextTokens() ? Reason.MALFORMED_REQUEST : null;
    }

    /**
     * Returns why the configuration in effect withdraws an admitted request, or null if it does not. A request that may
     * have run keeps the terms of its admission, because its response may have begun.
     */
    Reason withdrawalReason(RequestRow row) {
        return row.currentVerdict() == Verdict.NOT_RUN ? contractRefusalReason(row.spec) : null;
    }

    /** Returns the pool of a request as configured, or as it was at its admission if it has been deleted. */
    ModelSpec poolSpec(RequestRow row) {
        ModelSpec configured = config.pool(row.spec.pool());
        return configured == null ? row.admittedPool : configured;
    }

    void recordDecision(RequestRow row, long nowMs, String decision) {
        if (row.history.size() >= settings.maxHistory()) {
            row.history.removeFirst();
        }
        row.history.addLast("+" + (nowMs - row.spec.arrivedAtMs()) + " ms " + decision);
    }

    /** Refuses a request that was not admitted. */
    void refuseAtAdmission(RequestSpec spec, Reason reason, long retryAfterMs) {
        actions.add(new Action.Refuse(spec.requestId(), reason, Verdict.NOT_RUN, retryAfterMs));
        List<String> history = List.of("+" + (nowMs - spec.arrivedAtMs()) + " ms refused: " + reason.wireName());
        finished.add(new RequestView(spec, FINISHED, 0, history, Optional.of(Verdict.NOT_RUN), Optional.of(reason)));
    }

    /** Ends a request with an error that carries the combined verdict of its attempts. */
    void refuse(RequestRow row, Reason reason, long nowMs) {
        Verdict verdict = row.currentVerdict();
        long retryAfterMs = verdict == Verdict.NOT_RUN ? retryAfterMs(row.spec, reason, nowMs) : 0;
        Action action = new Action.Refuse(row.id(), reason, verdict, retryAfterMs);
        recordDecision(row, nowMs, "refused: " + reason.wireName());
        finished.add(row.view(FINISHED, Optional.of(verdict), Optional.of(reason)));
        if (row.state == RequestRow.State.RUNNING) {
            actions.add(new Action.CancelAttempt(row.id(), row.epoch, reason));
        }
        removeRequest(row, nowMs);
        actions.add(action);
    }

    /** Cancels a running attempt; its end is reported by a later event. */
    void cancel(RequestRow row, Reason reason, String endpointId, long nowMs) {
        row.state = RequestRow.State.CANCELLING;
        row.cancelReason = reason;
        row.cancelEndpointId = endpointId;
        row.nextTransitionAtMs = nowMs + settings.cancelTimeoutMs();
        actions.add(new Action.CancelAttempt(row.id(), row.epoch, reason));
        recordDecision(row, nowMs, "attempt " + row.epoch + " cancelled: " + reason.wireName());
    }

    /** Refuses a request because of a quarantine; one that outlasts it waits for its end instead. */
    void refuseOrHold(RequestRow row, long nowMs) {
        if (!outlastsQuarantine(row, nowMs)) {
            refuse(row, Reason.QUARANTINED, nowMs);
        } else if (row.state == RequestRow.State.RUNNING) {
            cancel(row, Reason.QUARANTINED, "", nowMs);
        }
    }

    /**
     * Returns whether a request waits for the end of the quarantine of its fingerprint instead of being refused: its
     * caller is reading, its prompt has not crashed the endpoint that began the response, and time is left afterwards.
     */
    boolean outlastsQuarantine(RequestRow row, long nowMs) {
        return row.hasBegun()
                && row.hasProvenPrompt
                && row.spec.isRepeatable()
                && quarantine.quarantinedUntilMs(row.spec.fingerprint(), nowMs) < deadlineMs(row);
    }

    private long retryAfterMs(RequestSpec spec, Reason reason, long nowMs) {
        return reason == Reason.QUARANTINED
                ? partQuarantineMs(spec, nowMs)
                : isCapacityShortage(reason) ? capacityWaitMs(spec, nowMs) : 0;
    }

    /** Returns the rest of the quarantine of the parts of a prompt in ms, or 0 if they are not quarantined. */
    long partQuarantineMs(RequestSpec spec, long nowMs) {
        return Math.max(0, partQuarantine.quarantinedUntilMs(spec.sharedParts(), nowMs) - nowMs);
    }

    private static boolean isCapacityShortage(Reason reason) {
        return switch (reason) {
            case NO_CAPACITY,
                    QUEUE_FULL,
                    DEADLINE_UNREACHABLE,
                    ATTEMPTS_EXHAUSTED,
                    RETRY_BUDGET_EXHAUSTED,
                    ENDPOINT_REFUSED,
                    ENDPOINT_CHANGED,
                    STAGE_DIED,
                    DRAINING -> true;
            default -> false;
        };
    }

    void complete(RequestRow row, long nowMs) {
        recordDecision(row, nowMs, "answered");
        finished.add(row.view(FINISHED, Optional.of(Verdict.RAN), Optional.empty()));
        removeRequest(row, nowMs);
        actions.add(new Action.Complete(row.id()));
    }

    /** Removes a request from all tables and corrects its charges to the tokens used. */
    void removeRequest(RequestRow row, long nowMs) {
        long usedTokens = row.usedTokens();
        boolean ran = row.currentVerdict() != Verdict.NOT_RUN;
        if (row.chain != null) {
            release(row, nowMs);
        }
        if (row.state == RequestRow.State.QUEUED) {
            queue.remove(row.id());
        }
        // Polled requests that were refused before they ran are corrected to zero, so that they do not use up a floor.
        // A call of a plain service has no tokens and counts as one.
        queue.correctCharge(row.spec, ran ? Math.max(1, usedTokens) : 0);
        stopWaiting(row);
        requests.remove(row.id());
        activeByFingerprint.computeIfPresent(
                row.spec.fingerprint(), (fingerprint, count) -> count > 1 ? count - 1 : null);
        CallerRow caller = callers.get(row.spec.caller());
        if (caller != null) {
            caller.active--;
            caller.tokens.refund(row.spec.costTokens() - usedTokens);
        }
    }

    /** Occupies the slots of a chain for an attempt. */
    void acquire(RequestRow row, Chain chain, long nowMs) {
        row.chain = chain;
        running.add(row);
        directory.acquire(chain, row.spec, nowMs);
        quarantine.recordAttemptStarted(row.spec.fingerprint());
        chain.stages().forEach(stage -> attemptsByEndpoint.merge(stage.endpointId(), 1, Integer::sum));
        if (quarantine.isSuspect(row.spec.fingerprint(), nowMs)) {
            row.isObserved = true;
            chain.stages().forEach(stage -> observedEndpointIds.add(stage.endpointId()));
        }
    }

    /** Releases the slots of a running attempt and occupies those of another chain. */
    void replaceChain(RequestRow row, Chain chain, long nowMs) {
        release(row, nowMs);
        acquire(row, chain, nowMs);
    }

    /** Releases the slots of the running attempt. */
    void release(RequestRow row, long nowMs) {
        endObservation(row);
        directory.release(row.chain, row.spec, nowMs);
        freedEndpointIds.add(row.chain.firstStage().endpointId());
        quarantine.recordAttemptEnded(row.spec.fingerprint());
        row.chain
                .stages()
                .forEach(stage -> attemptsByEndpoint.computeIfPresent(
                        stage.endpointId(), (id, count) -> count > 1 ? count - 1 : null));
        row.chain = null;
        running.remove(row);
        pool(row.spec.pool()).unblock();
    }

    /** Ends the observation of a suspect's attempt, which opens its endpoints to other work. */
    void endObservation(RequestRow row) {
        if (row.isObserved) {
            row.isObserved = false;
            row.chain.stages().forEach(stage -> observedEndpointIds.remove(stage.endpointId()));
            pool(row.spec.pool()).unblock();
        }
    }

    /**
     * Moves a request to the set that waits outside the queue, until {@code row.nextTransitionAtMs}.
     *
     * @return false if the limit of waiting requests was reached and the request was refused
     */
    boolean waitOutsideQueue(RequestRow row, RequestRow.State newState, long nowMs) {
        row.state = newState;
        int capacity = settings.queue().capacity();
        CallerRow caller = callers.get(row.spec.caller());
        boolean isFull =
                waiting.size() >= capacity || caller.waiting >= Math.max(1, (int) (capacity * MAX_WAITING_SHARE));
        // The slots of the endpoints bound the number of begun responses.
        if (isFull && !row.hasBegun()) {
            refuse(row, Reason.QUEUE_FULL, nowMs);
            return false;
        }
        waiting.add(row);
        if (row.continuesResponse()) {
            waitingContinuations.add(row);
        }
        caller.waiting++;
        return true;
    }

    /** Removes a request from the set that waits outside the queue; does nothing if it is not in it. */
    void stopWaiting(RequestRow row) {
        waitingContinuations.remove(row);
        if (waiting.remove(row)) {
            callers.get(row.spec.caller()).waiting--;
        }
    }

    /** Returns a request that waited outside the queue to the queue, ahead of its caller's other requests. */
    void requeue(RequestRow row, long nowMs) {
        stopWaiting(row);
        row.state = RequestRow.State.QUEUED;
        row.isHeldByQuarantine = false;
        queue.requeue(row.spec, nowMs);
    }

    /**
     * Returns the time in ms by which the request must end: the earlier of its deadline and that of a drain. Before the
     * drain starts, the latter applies only to requests that another router can still serve instead.
     */
    long deadlineMs(RequestRow row) {
        return isDraining || isStopping && row.epoch == 0
                ? Math.min(drainDeadlineMs, row.spec.deadlineMs())
                : row.spec.deadlineMs();
    }

    /** Returns {@link Reason#DRAINING} if a drain shortens the deadline of the request, otherwise the given reason. */
    Reason deadlineReason(RequestRow row, Reason otherwise) {
        return deadlineMs(row) < row.spec.deadlineMs() ? Reason.DRAINING : otherwise;
    }
}

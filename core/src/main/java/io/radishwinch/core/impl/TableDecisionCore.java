package io.radishwinch.core.impl;

import io.radishwinch.core.DecisionCore;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.chain.ChainPlanner;
import io.radishwinch.core.chain.EndpointDirectory;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.core.queue.DeadlineIndex;
import io.radishwinch.core.queue.Entitlements;
import io.radishwinch.core.queue.QueueSettings;
import io.radishwinch.core.queue.RankedFairQueue;
import io.radishwinch.core.queue.RequestQueue;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decision core over tables of callers, pools and requests.
 *
 * <p>Each system processes the tables on every tick and on its own events. For every {@link Action.CancelAttempt} of a
 * request that has not ended, an adapter must report the end of the attempt, either as finished or as failed with the
 * delivered tokens. Otherwise the request is refused after {@link CoreSettings#cancelTimeoutMs()}, because the token
 * from which it would resume is unknown, unless its endpoint may still respond. An attempt whose end is not reported
 * within {@link Event.EndpointRemoved#MAX_SILENCE_MS} of the proven end of an endpoint is ended as one that may have
 * run.
 */
public final class TableDecisionCore implements DecisionCore {

    private final CoreState state;
    private final AdmissionSystem admission;
    private final DispatchSystem dispatch;
    private final QuarantineSystem quarantineSystem;
    private final PartQuarantineSystem partQuarantineSystem;
    private final AttemptSystem attempts;
    private final PreemptionSystem preemption;

    private TableDecisionCore(CoreState state) {
        this.state = state;
        this.admission = new AdmissionSystem(state);
        EndpointLimit endpointLimit = new EndpointLimit(state);
        this.dispatch = new DispatchSystem(state, endpointLimit);
        this.quarantineSystem = new QuarantineSystem(state);
        this.partQuarantineSystem = new PartQuarantineSystem(state);
        this.attempts = new AttemptSystem(state, quarantineSystem, partQuarantineSystem, endpointLimit);
        this.preemption = new PreemptionSystem(state, endpointLimit);
    }

    /** Creates a core with a {@link RankedFairQueue}. */
    public static TableDecisionCore create(CoreSettings settings, EndpointDirectory directory, ChainPlanner planner) {
        return create(settings, directory, planner, RankedFairQueue::new);
    }

    /** Creates a core with the given queue. */
    public static TableDecisionCore create(
            CoreSettings settings, EndpointDirectory directory, ChainPlanner planner, QueueFactory queues) {
        return new TableDecisionCore(new CoreState(settings, directory, planner, queues));
    }

    /** Creates the queue of a core. */
    @FunctionalInterface
    public interface QueueFactory {

        /** Creates an empty queue. */
        RequestQueue create(QueueSettings settings, Entitlements entitlements, DeadlineIndex deadlines);
    }

    @Override
    public List<Action> handle(Event event, long nowMs) {
        state.nowMs = nowMs;
        state.actions = new ArrayList<>(state.directory.handle(event, nowMs));
        if (event instanceof Event.Tick) {
            tick(nowMs);
        } else if (event instanceof Event.RequestArrived arrived) {
            admission.arrived(arrived.request(), nowMs);
            dispatch.dispatch(nowMs);
        } else if (event instanceof Event.AttemptStarted started) {
            attempts.started(started);
        } else if (event instanceof Event.FirstToken first) {
            attempts.firstToken(first, nowMs);
        } else if (event instanceof Event.Progress progress) {
            attempts.progress(progress, nowMs);
        } else if (event instanceof Event.AttemptFinished finished) {
            attempts.finished(finished, nowMs);
            dispatch.dispatch(nowMs);
        } else if (event instanceof Event.AttemptFailed failed) {
            attempts.failed(failed, nowMs);
            dispatch.dispatch(nowMs);
        } else if (event instanceof Event.AttemptRerouted rerouted) {
            attempts.finishReroute(rerouted, nowMs);
            dispatch.dispatch(nowMs);
        } else if (event instanceof Event.CallerDisconnected disconnected) {
            callerDisconnected(disconnected.requestId(), nowMs);
        } else if (event instanceof Event.RelayRequested requested) {
            attempts.relayRequested(requested.requestId(), nowMs);
        } else if (event instanceof Event.RelayRepeated repeated) {
            attempts.relayRepeated(repeated.request(), nowMs);
        } else {
            handleControl(event, nowMs);
        }
        return state.actions;
    }

    private void handleControl(Event event, long nowMs) {
        if (event instanceof Event.ConfigChanged changed) {
            applyConfig(changed.config(), nowMs);
        } else if (event instanceof Event.AllotmentChanged allotment) {
            state.applyAllotment(allotment, nowMs);
        } else if (event instanceof Event.EndpointRemoved removed) {
            attempts.endpointRemoved(removed, nowMs);
            dispatch.dispatch(nowMs);
        } else if (event instanceof Event.EndpointJoined joined) {
            attempts.endpointJoined(joined.endpoint().id());
            quarantineSystem.endpointJoined(joined.endpoint().id(), nowMs);
        } else if (event instanceof Event.EndpointLeaving leaving) {
            quarantineSystem.endpointLeaving(leaving.endpointId(), nowMs);
        } else if (event instanceof Event.EndpointResponded responded) {
            state.recordResponse(responded.endpointId(), nowMs);
        } else if (event instanceof Event.CrashShared crash) {
            quarantineSystem.recordPeerCrash(crash, nowMs);
        } else if (event instanceof Event.QuarantineShared shared) {
            quarantineSystem.recordPeerQuarantine(shared, nowMs);
        } else if (event instanceof Event.PromptCrashShared shared) {
            partQuarantineSystem.applyCrash(shared.crash(), nowMs);
        } else if (event instanceof Event.PartsProven proven) {
            partQuarantineSystem.applyProof(proven.parts(), proven.atMs(), nowMs);
        } else if (event instanceof Event.RouterCountChanged counted) {
            state.retries.setRouterCount(counted.routerCount(), nowMs);
        } else if (event instanceof Event.StopRequested stop) {
            state.isStopping = true;
            state.drainDeadlineMs = stop.deadlineMs();
        } else if (event instanceof Event.DrainStarted drain) {
            state.isStopping = true;
            state.isDraining = true;
            state.drainDeadlineMs = drain.deadlineMs();
        }
    }

    private void tick(long nowMs) {
        state.recordSilentGaps(nowMs);
        attempts.tick(nowMs);
        for (RequestSpec spec : state.queue.removeExpired(nowMs)) {
            RequestRow row = state.requests.get(spec.requestId());
            state.refuse(row, row.hasBegun() ? Reason.DEADLINE_EXCEEDED : Reason.DEADLINE_UNREACHABLE, nowMs);
        }
        state.quarantine.tick(nowMs);
        quarantineSystem.tick(nowMs);
        partQuarantineSystem.tick(nowMs);
        refuseUnservable(nowMs);
        dispatch.tick(nowMs);
        preemption.tick(nowMs);
    }

    /**
     * Refuses requests that never ran and wait for a pool whose coverage gap outlasts the grace period, or whose
     * endpoints pause for too long.
     */
    private void refuseUnservable(long nowMs) {
        Set<String> uncovered = new HashSet<>();
        for (String pool : state.pools.keySet()) {
            if (state.isUncoveredBeyondGracePeriod(pool, nowMs)) {
                uncovered.add(pool);
            }
        }
        boolean hasPauses =
                state.pools.keySet().stream().anyMatch(pool -> state.directory.pauseEndMs(pool, nowMs) > nowMs);
        if (uncovered.isEmpty() && !hasPauses) {
            return;
        }
        for (RequestRow row : List.copyOf(state.requests.values())) {
            boolean hasNotRun = !row.isRunning() && row.currentVerdict() == Verdict.NOT_RUN;
            if (hasNotRun && (uncovered.contains(row.spec.pool()) || state.isPausedTooLong(row.spec, nowMs))) {
                state.refuse(row, Reason.NO_CAPACITY, nowMs);
            }
        }
    }

    private void callerDisconnected(String requestId, long nowMs) {
        RequestRow row = state.requests.get(requestId);
        if (row == null) {
            return;
        }
        if (row.isRunning() && !row.spec.isRepeatable()) {
            // Cancelling would not undo the operation. If it continues, its outcome is recorded and can be replayed.
            row.isCallerDisconnected = true;
            return;
        }
        if (row.state == RequestRow.State.RUNNING) {
            state.actions.add(new Action.CancelAttempt(requestId, row.epoch, Reason.CALLER_DISCONNECTED));
        }
        state.removeRequest(row, nowMs);
        dispatch.dispatch(nowMs);
    }

    private void applyConfig(FleetConfig config, long nowMs) {
        state.config = config;
        config.contracts().values().forEach(contract -> state.caller(contract, nowMs)
                .setLimits(contract.limits(), nowMs));
        for (Event.AllotmentChanged allotment : List.copyOf(state.pendingAllotments.values())) {
            if (config.contracts().containsKey(allotment.caller())) {
                state.pendingAllotments.remove(allotment.caller());
                state.applyAllotment(allotment, nowMs);
            }
        }
        for (RequestRow row : List.copyOf(state.requests.values())) {
            Reason reason = state.withdrawalReason(row);
            if (reason != null) {
                state.refuse(row, reason, nowMs);
            }
        }
        state.callers
                .entrySet()
                .removeIf(entry -> !config.contracts().containsKey(entry.getKey()) && entry.getValue().active == 0);
        state.pools.keySet().removeIf(name -> config.pool(name) == null);
    }

    CoreState state() {
        return state;
    }

    @Override
    public Optional<RequestView> request(String requestId) {
        RequestRow row = state.requests.get(requestId);
        return row == null
                ? state.finished.find(requestId)
                : Optional.of(row.view(row.isRunning() ? "running" : "queued", Optional.empty(), Optional.empty()));
    }

    @Override
    public Optional<CallerView> caller(String caller) {
        return Optional.ofNullable(state.callers.get(caller)).map(row -> row.view(rankViews(caller)));
    }

    @Override
    public CoreView view() {
        return new CoreView(
                rankViews(null), state.directory.endpointViews(state.nowMs), state.directory.poolViews(state.nowMs));
    }

    /** Counts the queued and running requests of one caller by rank, or of all callers if it is null. */
    private List<RankView> rankViews(String caller) {
        int[] queued = new int[Rank.values().length];
        int[] running = new int[Rank.values().length];
        for (RequestRow row : state.requests.values()) {
            if (caller == null || row.spec.caller().equals(caller)) {
                int[] counts = row.isRunning() ? running : queued;
                counts[row.spec.rank().ordinal()]++;
            }
        }
        List<RankView> views = new ArrayList<>();
        for (Rank rank : Rank.values()) {
            views.add(new RankView(rank, queued[rank.ordinal()], running[rank.ordinal()]));
        }
        return views;
    }
}

package io.radishwinch.core.impl;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.chain.ChainPlanner;
import io.radishwinch.core.chain.EndpointDirectory;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.core.queue.RequestQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Tables and collaborators that the systems of the core share. */
final class CoreState {

    final CoreSettings settings;
    final EndpointDirectory directory;
    final ChainPlanner planner;
    final RequestQueue queue;
    final Map<String, CallerRow> callers = new HashMap<>();
    final Map<String, PoolRow> pools = new HashMap<>();
    /** Requests between admission and their last action, in order of arrival. */
    final Map<String, RequestRow> requests = new LinkedHashMap<>();
    /** Rows of requests that run, in order of their start. */
    final Set<RequestRow> running = new LinkedHashSet<>();
    /** Rows that wait outside the queue, in the order in which they began to wait. */
    final Set<RequestRow> waiting = new LinkedHashSet<>();

    FleetConfig config = FleetConfig.empty();
    boolean draining;
    long drainDeadlineMs;
    List<Action> out = new ArrayList<>();

    CoreState(CoreSettings settings, EndpointDirectory directory, ChainPlanner planner, RequestQueue queue) {
        this.settings = settings;
        this.directory = directory;
        this.planner = planner;
        this.queue = queue;
    }

    PoolRow pool(String name) {
        return pools.computeIfAbsent(name, key -> new PoolRow());
    }

    CallerRow caller(Contract contract, long nowMs) {
        return callers.computeIfAbsent(contract.caller(), key -> new CallerRow(contract.limits(), settings, nowMs));
    }

    void note(RequestRow row, long nowMs, String decision) {
        if (row.history.size() >= settings.maxHistory()) {
            row.history.removeFirst();
        }
        row.history.addLast("+" + (nowMs - row.spec.arrivedAtMs()) + " ms " + decision);
    }

    /** Refuses a request that was not admitted. */
    void refuseEarly(RequestSpec spec, Reason reason, long retryAfterMs) {
        out.add(new Action.Refuse(spec.requestId(), reason, Verdict.NOT_RUN, retryAfterMs));
    }

    /** Ends a request with an error that carries the verdict over all its attempts. */
    void refuse(RequestRow row, Reason reason, long nowMs) {
        Action action = new Action.Refuse(row.id(), reason, row.verdictNow(), 0);
        if (row.isRunning()) {
            out.add(new Action.CancelAttempt(row.id(), row.epoch, reason));
        }
        forget(row, nowMs);
        out.add(action);
    }

    void complete(RequestRow row, long nowMs) {
        forget(row, nowMs);
        out.add(new Action.Complete(row.id()));
    }

    /** Removes a request from all tables and settles what it was charged. */
    void forget(RequestRow row, long nowMs) {
        long usedTokens = row.usedTokens();
        if (row.chain != null) {
            release(row, nowMs);
        }
        if (row.state == RequestRow.State.QUEUED) {
            queue.remove(row.id());
        }
        if (row.attempts > 0) {
            queue.settle(row.spec, usedTokens);
        }
        waiting.remove(row);
        requests.remove(row.id());
        CallerRow caller = callers.get(row.spec.caller());
        if (caller != null) {
            caller.active--;
            caller.tokens.giveBack(row.spec.costTokens() - usedTokens);
        }
    }

    /** Frees the slots of the running attempt. */
    void release(RequestRow row, long nowMs) {
        directory.release(row.chain, row.spec, nowMs);
        row.chain = null;
        running.remove(row);
        pool(row.spec.pool()).blocked = false;
    }
}

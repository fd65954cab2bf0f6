package io.radishwinch.core.impl;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Starts attempts while slots are free. */
final class DispatchSystem {

    /** Parked requests tried on one tick; bounds the time of the tick. */
    private static final int MAX_PARKED_PER_TICK = 32;

    private final CoreState state;
    private Chain planned;

    DispatchSystem(CoreState state) {
        this.state = state;
    }

    /** Starts queued requests until no further one can be dispatched. */
    void dispatch(long nowMs) {
        while (true) {
            Optional<RequestSpec> next = state.queue.poll(spec -> isDispatchable(spec, nowMs), nowMs);
            if (next.isEmpty()) {
                return;
            }
            RequestRow row = state.requests.get(next.get().requestId());
            if (isTooLate(row, nowMs)) {
                state.refuse(row, Reason.DEADLINE_UNREACHABLE, nowMs);
            } else if (planned == null) {
                park(row, nowMs);
            } else {
                start(row, planned, nowMs);
            }
        }
    }

    /** Returns requests whose backoff is over to the queue and tries parked ones. */
    void tick(long nowMs) {
        state.pools.values().forEach(PoolRow::unblock);
        int parkedTried = 0;
        List<RequestRow> due = new ArrayList<>(state.waiting);
        for (RequestRow row : due) {
            if (isTooLate(row, nowMs)) {
                state.refuse(row, Reason.DEADLINE_UNREACHABLE, nowMs);
            } else if (row.state == RequestRow.State.BACKING_OFF && row.dueAtMs <= nowMs) {
                state.waiting.remove(row);
                row.state = RequestRow.State.QUEUED;
                state.queue.requeue(row.spec, nowMs);
            } else if (row.state == RequestRow.State.PARKED && parkedTried++ < MAX_PARKED_PER_TICK) {
                tryParked(row, nowMs);
            }
        }
        dispatch(nowMs);
    }

    private void tryParked(RequestRow row, long nowMs) {
        if (row.dueAtMs <= nowMs) {
            row.excludedEndpointIds.clear();
            state.waiting.remove(row);
            row.state = RequestRow.State.QUEUED;
            state.queue.requeue(row.spec, nowMs);
            return;
        }
        state.planner
                .plan(row.spec, state.config.pool(row.spec.pool()), row.excludedEndpointIds, nowMs)
                .ifPresent(chain -> {
                    state.waiting.remove(row);
                    start(row, chain, nowMs);
                });
    }

    private boolean isDispatchable(RequestSpec spec, long nowMs) {
        planned = null;
        RequestRow row = state.requests.get(spec.requestId());
        PoolRow pool = state.pool(spec.pool());
        if (isTooLate(row, nowMs)) {
            return true;
        }
        if (pool.isBlocked()) {
            return false;
        }
        ModelSpec model = state.config.pool(spec.pool());
        planned =
                state.planner.plan(spec, model, row.excludedEndpointIds, nowMs).orElse(null);
        if (planned != null) {
            return true;
        }
        // A request that only lacks endpoints it has not failed on is parked, so that others can pass it.
        boolean others = !row.excludedEndpointIds.isEmpty()
                && state.planner.plan(spec, model, Set.of(), nowMs).isPresent();
        if (!others) {
            pool.block(nowMs);
        }
        return others;
    }

    private boolean isTooLate(RequestRow row, long nowMs) {
        PoolRow pool = state.pool(row.spec.pool());
        return nowMs + pool.neededMs(row.spec, row.deliveredTokens, pool.isContended(nowMs), nowMs)
                >= row.spec.deadlineMs();
    }

    private void park(RequestRow row, long nowMs) {
        row.state = RequestRow.State.PARKED;
        row.dueAtMs = nowMs + state.settings.exclusionMs();
        state.waiting.add(row);
        state.note(row, nowMs, "parked, endpoints of earlier failures excluded");
    }

    private void start(RequestRow row, Chain chain, long nowMs) {
        row.state = RequestRow.State.RUNNING;
        row.epoch++;
        row.attempts++;
        row.chain = chain;
        row.attemptStartedAtMs = nowMs;
        row.firstTokenAtMs = -1;
        row.attemptFirstTokens = row.deliveredTokens;
        state.running.add(row);
        state.directory.acquire(chain, row.spec, nowMs);
        List<String> kvSources = row.kvSourceEndpointIds.stream()
                .filter(id -> state.directory.isUsable(id, nowMs))
                .toList();
        state.out.add(new Action.StartAttempt(
                row.id(),
                row.epoch,
                chain,
                row.deliveredTokens,
                kvSources,
                row.spec.rank().ordinal(),
                row.spec.deadlineMs()));
        state.note(
                row,
                nowMs,
                "attempt " + row.epoch + " started at " + chain.head().endpointId() + ", "
                        + chain.stages().size() + " stages, from token " + row.deliveredTokens);
    }
}

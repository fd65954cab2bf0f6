package io.radishwinch.core.impl;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import java.util.Comparator;
import java.util.Optional;

/** Preempts running batch attempts for requests of higher ranks that have waited too long. */
final class PreemptionSystem {

    private final CoreState state;
    private final EndpointLimit endpointLimit;

    PreemptionSystem(CoreState state, EndpointLimit endpointLimit) {
        this.state = state;
        this.endpointLimit = endpointLimit;
    }

    /** Preempts at most one attempt per pool and tick, so that a freed slot is used before the next preemption. */
    void tick(long nowMs) {
        if (state.isStopping) {
            // A preempted request might not end before the drain does; other routers serve those that wait.
            return;
        }
        state.pools.forEach((name, pool) -> {
            if (pool.isBlocked() && !isPreempting(name) && hasWaitingUrgentWork(name, nowMs)) {
                victim(name, nowMs).ifPresent(row -> state.cancel(row, Reason.PREEMPTED, "", nowMs));
            }
        });
    }

    private boolean isPreempting(String pool) {
        return state.running.stream()
                .anyMatch(row -> row.state == RequestRow.State.CANCELLING
                        && row.cancelReason == Reason.PREEMPTED
                        && row.spec.pool().equals(pool));
    }

    private boolean hasWaitingUrgentWork(String pool, long nowMs) {
        for (Rank rank : Rank.values()) {
            Optional<RequestSpec> next = rank == Rank.BATCH ? Optional.empty() : state.queue.peek(rank, pool);
            if (next.isPresent() && nowMs - next.get().arrivedAtMs() >= state.settings.preemptAfterMs()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the batch attempt with the fewest tokens to recompute. Attempts that serve a floor are not preempted, nor
     * are those close to completion, which release their slots soon, and those of requests that could not run again.
     */
    private Optional<RequestRow> victim(String pool, long nowMs) {
        return state.running.stream()
                .filter(row -> row.state == RequestRow.State.RUNNING
                        && row.spec.rank() == Rank.BATCH
                        && row.spec.pool().equals(pool)
                        && row.spec.isRepeatable()
                        && row.preemptions < state.settings.maxPreemptions()
                        && !state.queue.isPolledForFloor(row.id())
                        && endpointLimit.hasRunsAfterCurrent(row, nowMs)
                        && state.contractRefusalReason(row.spec) == null
                        && !isNearCompletion(row, nowMs))
                .min(Comparator.comparingLong(row -> (long) row.spec.promptTokens() + row.deliveredTokens));
    }

    private boolean isNearCompletion(RequestRow row, long nowMs) {
        long expectedMs = state.pool(row.spec.pool()).expectedMs(row.spec, row.tokensBeforeAttempt, nowMs);
        long remainingMs = row.attemptStartedAtMs + expectedMs - nowMs;
        return expectedMs > 0 && remainingMs >= 0 && remainingMs < state.settings.preemptAfterMs();
    }
}

package io.radishwinch.core.retry;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;

/**
 * Retries endpoint failures within a retry budget and a limit of attempts.
 *
 * <p>A response that has begun is lost to its caller if it is given up, so that only attempts to which an endpoint
 * responded with an error count against its limit; the budget and the deadline limit all others. A non-repeatable
 * request is retried only if every attempt ended with {@code not-run}. Preempted attempts, and those that a quarantine
 * ended, resume without charge to the budget, because no endpoint failed and the core limits both itself.
 */
public final class BudgetedRetryPolicy implements RetryPolicy {

    private final RetrySettings settings;
    private final RetryBudget budget;
    private final Backoff backoff;

    /** Creates a policy. */
    public BudgetedRetryPolicy(RetrySettings settings, RetryBudget budget, Backoff backoff) {
        this.settings = settings;
        this.budget = budget;
        this.backoff = backoff;
    }

    @Override
    public void recordFirstAttempt(RequestSpec request, long nowMs) {
        budget.recordFirstAttempt(request.caller(), request.pool(), nowMs);
    }

    @Override
    public void recordCompletion(RequestSpec request, long nowMs) {
        budget.recordCompletion(request.caller(), request.pool(), nowMs);
    }

    @Override
    public void setRouterCount(int routerCount, long nowMs) {
        budget.setRouterCount(routerCount, nowMs);
    }

    @Override
    public boolean tryReserve(RequestSpec request, boolean hasStarted, long nowMs) {
        return budget.tryWithdraw(request.caller(), request.pool(), hasStarted, nowMs);
    }

    @Override
    public Decision decide(Failure failure, long nowMs) {
        RequestSpec request = failure.request();
        if (!isRetryable(failure.reason()) || (!request.isRepeatable() && failure.verdict() != Verdict.NOT_RUN)) {
            return new DoNotRetry(failure.reason());
        }
        if (failure.reason() == Reason.PREEMPTED || failure.reason() == Reason.QUARANTINED) {
            return new Retry(0);
        }
        if (failure.budgetWaits() == 0) {
            budget.recordFailure(request.pool(), nowMs);
        }
        int limitedAttempts = failure.hasBegun() ? failure.errors() : failure.attempts();
        if (limitedAttempts >= settings.maxAttempts()) {
            return new DoNotRetry(Reason.ATTEMPTS_EXHAUSTED);
        }
        if (budget.tryWithdraw(request.caller(), request.pool(), failure.hasBegun(), nowMs)) {
            // The first retry has no backoff if the caller of an interrupted stream waits for its next token, or if the
            // failure does not indicate that other endpoints fail: a changed endpoint or an error response.
            boolean isIsolated = failure.hasBegun()
                    || failure.reason() == Reason.ENDPOINT_CHANGED
                    || failure.reason() == Reason.ENDPOINT_ERROR;
            boolean isImmediate = isIsolated && failure.attempts() == 1 && failure.budgetWaits() == 0;
            return new Retry(isImmediate ? 0 : backoff.waitMs(failure.attempts() - 1));
        }
        return failure.hasBegun() || failure.budgetWaits() < settings.maxBudgetWaits()
                ? new WaitForBudget(1 + backoff.waitMs(failure.attempts() + failure.budgetWaits()))
                : new DoNotRetry(Reason.RETRY_BUDGET_EXHAUSTED);
    }

    private static boolean isRetryable(Reason reason) {
        return switch (reason) {
            case STAGE_DIED,
                    ENDPOINT_REFUSED,
                    ENDPOINT_CHANGED,
                    ENDPOINT_TIMEOUT,
                    ENDPOINT_ERROR,
                    PREEMPTED,
                    QUARANTINED -> true;
            default -> false;
        };
    }
}

package io.radishwinch.core.retry;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;

/**
 * Retries endpoint failures within a retry budget and a limit of attempts.
 *
 * <p>A response that has begun is not given up because endpoints refuse to continue it: the limit of attempts ends it
 * only after an attempt that failed. A non-repeatable request is retried only if every attempt ended with
 * {@code not-run}. Preempted attempts resume without charge to the budget, because no endpoint failed and the core
 * limits preemptions itself.
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
        if (failure.reason() == Reason.PREEMPTED) {
            return new Retry(0);
        }
        if (failure.budgetWaits() == 0) {
            budget.recordFailure(request.pool(), nowMs);
        }
        if (failure.attempts() >= settings.maxAttempts() && !isRefusedResume(failure)) {
            return new DoNotRetry(Reason.ATTEMPTS_EXHAUSTED);
        }
        if (budget.tryWithdraw(request.caller(), request.pool(), failure.deliveredTokens() > 0, nowMs)) {
            // The first retry has no backoff if the caller of an interrupted stream waits for its next token, or if the
            // failure does not indicate that other endpoints fail: a changed endpoint or an error response.
            boolean isIsolated = failure.deliveredTokens() > 0
                    || failure.reason() == Reason.ENDPOINT_CHANGED
                    || failure.reason() == Reason.ENDPOINT_ERROR;
            boolean isImmediate = isIsolated && failure.attempts() == 1 && failure.budgetWaits() == 0;
            return new Retry(isImmediate ? 0 : backoff.waitMs(failure.attempts() - 1));
        }
        return failure.deliveredTokens() > 0 || failure.budgetWaits() < settings.maxBudgetWaits()
                ? new WaitForBudget(1 + backoff.waitMs(failure.attempts() + failure.budgetWaits()))
                : new DoNotRetry(Reason.RETRY_BUDGET_EXHAUSTED);
    }

    /**
     * Returns whether endpoints refuse to continue a response that the caller is reading. Such attempts are limited by
     * the budget and the deadline only, because the caller would lose the response without a failure of an endpoint.
     */
    private static boolean isRefusedResume(Failure failure) {
        return failure.deliveredTokens() > 0
                && (failure.reason() == Reason.ENDPOINT_REFUSED || failure.reason() == Reason.ENDPOINT_CHANGED);
    }

    private static boolean isRetryable(Reason reason) {
        return switch (reason) {
            case STAGE_DIED, ENDPOINT_REFUSED, ENDPOINT_CHANGED, ENDPOINT_TIMEOUT, ENDPOINT_ERROR, PREEMPTED -> true;
            default -> false;
        };
    }
}

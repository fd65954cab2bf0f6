package io.radishwinch.core.retry;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;

/**
 * Retries faults of endpoints within a budget and a number of attempts.
 *
 * <p>A non-repeatable request is retried only while every attempt ended with {@code not-run}. Preempted attempts resume
 * without a charge: no endpoint failed, and the core bounds preemptions itself.
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
    public void setRouterCount(int routers, long nowMs) {
        budget.setRouterCount(routers, nowMs);
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
        if (failure.attempts() >= settings.maxAttempts()) {
            return new DoNotRetry(Reason.ATTEMPTS_EXHAUSTED);
        }
        if (budget.tryWithdraw(request.caller(), request.pool(), failure.deliveredTokens() > 0, nowMs)) {
            // The reader of a broken stream waits for its next token, and other endpoints take over its first retry.
            // An endpoint that has changed or answered with an error says nothing of the others.
            boolean isIsolated = failure.deliveredTokens() > 0
                    || failure.reason() == Reason.ENDPOINT_CHANGED
                    || failure.reason() == Reason.ENDPOINT_ERROR;
            boolean immediate = isIsolated && failure.attempts() == 1 && failure.budgetWaits() == 0;
            return new Retry(immediate ? 0 : backoff.waitMs(failure.attempts() - 1));
        }
        return failure.deliveredTokens() > 0 || failure.budgetWaits() < settings.maxBudgetWaits()
                ? new WaitForBudget(1 + backoff.waitMs(failure.attempts() + failure.budgetWaits()))
                : new DoNotRetry(Reason.RETRY_BUDGET_EXHAUSTED);
    }

    private static boolean isRetryable(Reason reason) {
        return switch (reason) {
            case STAGE_DIED, ENDPOINT_REFUSED, ENDPOINT_CHANGED, ENDPOINT_TIMEOUT, ENDPOINT_ERROR, PREEMPTED -> true;
            default -> false;
        };
    }
}

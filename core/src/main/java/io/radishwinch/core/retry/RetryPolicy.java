package io.radishwinch.core.retry;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;

/** Decides whether an attempt that ended without a complete response is retried. */
public interface RetryPolicy {

    /** Records the first attempt of a request; retries are granted in proportion to first attempts. */
    void recordFirstAttempt(RequestSpec request, long nowMs);

    /** Records that a request completed. */
    void recordCompletion(RequestSpec request, long nowMs);

    /** Sets the number of routers that share the endpoints. */
    void setRouterCount(int routerCount, long nowMs);

    /**
     * Charges the retry of a running attempt to the budget before the attempt is cancelled.
     *
     * @param hasStarted whether the caller has received a part of the response
     * @return false if the budget is exhausted and nothing was charged
     */
    boolean tryReserve(RequestSpec request, boolean hasStarted, long nowMs);

    /** Returns the decision on a failed attempt; a granted retry is charged to the budget immediately. */
    Decision decide(Failure failure, long nowMs);

    /**
     * A failed attempt.
     *
     * @param request request of the attempt
     * @param reason reason for the end of the attempt
     * @param verdict combined verdict of all attempts so far
     * @param attempts number of attempts so far
     * @param errors number of attempts so far to which an endpoint responded with an error
     * @param budgetWaits number of waits for the budget since the attempt
     * @param deliveredTokens generated tokens delivered to the caller so far
     */
    record Failure(
            RequestSpec request,
            Reason reason,
            Verdict verdict,
            int attempts,
            int errors,
            int budgetWaits,
            int deliveredTokens) {

        /** Returns whether the caller has received a part of the response, from this router or from another one. */
        boolean hasBegun() {
            return deliveredTokens > 0 || request.continuesResponse();
        }
    }

    /** Decision on a failed attempt. */
    sealed interface Decision {}

    /**
     * Starts another attempt.
     *
     * @param waitMs backoff before the attempt, in ms
     */
    record Retry(long waitMs) implements Decision {}

    /**
     * Waits because the budget is exhausted, then decides again.
     *
     * @param waitMs time until the next decision, in ms
     */
    record WaitForBudget(long waitMs) implements Decision {}

    /**
     * Refuses the request.
     *
     * @param reason reason for the refusal
     */
    record DoNotRetry(Reason reason) implements Decision {}
}

package io.radishwinch.core.retry;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;

/** Decides what follows an attempt that ended without a whole answer. */
public interface RetryPolicy {

    /** Notes the first attempt of a request; retries are granted in proportion to these. */
    void recordFirstAttempt(RequestSpec request, long nowMs);

    /** Notes that a request completed. */
    void recordCompletion(RequestSpec request, long nowMs);

    /** Notes how many routers share the endpoints. */
    void setRouterCount(int routers, long nowMs);

    /** Returns what to do after a failed attempt; a granted retry is charged at once. */
    Decision decide(Failure failure, long nowMs);

    /**
     * A failed attempt.
     *
     * @param request request
     * @param reason why the attempt ended
     * @param verdict combined verdict of all attempts so far
     * @param attempts attempts so far
     * @param budgetWaits waits for the budget since the attempt
     * @param deliveredTokens answer tokens delivered so far
     */
    record Failure(
            RequestSpec request, Reason reason, Verdict verdict, int attempts, int budgetWaits, int deliveredTokens) {}

    /** What to do after a failed attempt. */
    sealed interface Decision {}

    /**
     * Start another attempt.
     *
     * @param waitMs time to wait before it, in ms
     */
    record Retry(long waitMs) implements Decision {}

    /**
     * The budget is used up; ask again later.
     *
     * @param waitMs time to wait before asking, in ms
     */
    record WaitForBudget(long waitMs) implements Decision {}

    /**
     * Refuse the request.
     *
     * @param reason reason of the refusal
     */
    record DoNotRetry(Reason reason) implements Decision {}
}

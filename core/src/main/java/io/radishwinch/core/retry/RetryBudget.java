package io.radishwinch.core.retry;

/** Limits the retries of a router. */
public interface RetryBudget {

    /** Records the first attempt of a request. */
    void recordFirstAttempt(String caller, String pool, long nowMs);

    /** Records that a request completed. */
    void recordCompletion(String caller, String pool, long nowMs);

    /** Records a failed attempt. */
    void recordFailure(String pool, long nowMs);

    /**
     * Takes one retry.
     *
     * @param caller caller of the request
     * @param pool pool of the request
     * @param hasStarted whether the caller has received a part of the response, so that only this router can continue
     *     it
     * @return false if the budget is exhausted and no retry was taken
     */
    boolean tryWithdraw(String caller, String pool, boolean hasStarted, long nowMs);

    /** Sets the number of routers that share the endpoints. */
    default void setRouterCount(int routerCount, long nowMs) {}
}

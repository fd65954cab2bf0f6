package io.radishwinch.core.retry;

/** Bounds the retries of a router. */
public interface RetryBudget {

    /** Notes the first attempt of a request. */
    void recordFirstAttempt(String caller, String pool, long nowMs);

    /** Notes that a request completed. */
    void recordCompletion(String caller, String pool, long nowMs);

    /** Notes a failed attempt. */
    void recordFailure(String pool, long nowMs);

    /**
     * Takes one retry.
     *
     * @param hasStarted whether the caller has received a part of the answer, so that nobody but this router can go on
     * @return false if none is left; nothing is taken then
     */
    boolean tryWithdraw(String caller, String pool, boolean hasStarted, long nowMs);

    /** Notes how many routers share the endpoints. */
    default void setRouterCount(int routers, long nowMs) {}
}

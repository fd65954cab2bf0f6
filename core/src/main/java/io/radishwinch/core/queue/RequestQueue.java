package io.radishwinch.core.queue;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RequestSpec;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Bounded queue of the requests that wait for a chain. */
public interface RequestQueue {

    /**
     * Adds a request.
     *
     * @param displaced receives a request that leaves the queue to make room
     * @return false if the queue is full; the request is then not queued
     */
    boolean offer(RequestSpec request, long nowMs, Consumer<RequestSpec> displaced);

    /**
     * Puts a request that was polled earlier back in front of the other requests of its caller and rank, without a
     * bound and without another charge. The number of such requests is bounded by the slots of the endpoints.
     */
    void requeue(RequestSpec request, long nowMs);

    /**
     * Removes and returns the request to run next among those that can be dispatched.
     *
     * @param dispatchable whether a request could start now; tried in queue order and at most once for each pool and
     *     rank
     * @param nowMs current time in ms
     */
    Optional<RequestSpec> poll(Predicate<RequestSpec> dispatchable, long nowMs);

    /**
     * Returns the request of a rank and pool that would run next, or empty if none waits or ranks are not kept apart.
     */
    Optional<RequestSpec> peek(Rank rank, String pool);

    /** Removes a request, for example because its caller has gone; returns whether it was queued. */
    boolean remove(String requestId);

    /** Removes and returns the requests whose deadline can no longer be met. */
    List<RequestSpec> removeExpired(long nowMs);

    /**
     * Corrects the charge of a polled request, which was its largest cost, to the tokens that it used.
     *
     * @param request request that ended
     * @param usedTokens prompt and answer tokens that it used, at least 1 if it ran
     */
    void correctCharge(RequestSpec request, long usedTokens);

    /** Returns whether a polled request that has not been settled was polled to keep its caller's floor. */
    boolean isPolledForFloor(String requestId);

    /** Returns the number of queued requests. */
    int size();
}

package io.radishwinch.core.queue;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RequestSpec;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Bounded queue of requests that are not assigned to a chain yet. */
public interface RequestQueue {

    /**
     * Adds a request.
     *
     * @param request request to add
     * @param nowMs current time in ms
     * @param displaced receives a request that is removed to free capacity for the new one
     * @return false if the queue is full and the request was not added
     */
    boolean offer(RequestSpec request, long nowMs, Consumer<RequestSpec> displaced);

    /**
     * Returns a polled request to the queue, ahead of the other requests of its caller and rank, without a capacity
     * check and without another charge. The slots of the endpoints bound the number of such requests.
     */
    void requeue(RequestSpec request, long nowMs);

    /**
     * Removes and returns the next request that can be dispatched, or empty if there is none.
     *
     * @param dispatchable returns whether a request can start now; called in queue order, at most once per pool and
     *     rank
     * @param nowMs current time in ms
     */
    Optional<RequestSpec> poll(Predicate<RequestSpec> dispatchable, long nowMs);

    /**
     * Returns the next request of a rank and pool, or empty if there is none or if the queue does not distinguish
     * ranks.
     */
    Optional<RequestSpec> peek(Rank rank, String pool);

    /** Removes a request, for example because its caller disconnected; returns whether it was queued. */
    boolean remove(String requestId);

    /** Removes and returns the requests whose deadline can no longer be met. */
    List<RequestSpec> removeExpired(long nowMs);

    /**
     * Corrects the charge of a polled request, which was estimated from its largest cost, to the tokens that it used.
     *
     * @param request request that ended
     * @param usedTokens prompt and generated tokens that it used, at least 1 if it ran
     */
    void correctCharge(RequestSpec request, long usedTokens);

    /** Returns whether a request was polled to meet its caller's floor and its charge has not been corrected yet. */
    boolean isPolledForFloor(String requestId);

    /** Returns the number of queued requests. */
    int size();
}

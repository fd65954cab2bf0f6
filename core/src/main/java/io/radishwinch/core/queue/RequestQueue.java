package io.radishwinch.core.queue;

import io.radishwinch.core.model.RequestSpec;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Bounded queue of the requests that wait for a chain. */
public interface RequestQueue {

    /**
     * Adds a request.
     *
     * @return false if the queue is full; the request is then not queued
     */
    boolean offer(RequestSpec request, long nowMs);

    /**
     * Removes and returns the request to run next among those that can be dispatched.
     *
     * @param dispatchable whether a request could start now; tried in queue order and at most once for each pool and
     *     rank
     * @param nowMs current time in ms
     */
    Optional<RequestSpec> poll(Predicate<RequestSpec> dispatchable, long nowMs);

    /** Removes a request, for example because its caller has gone; returns whether it was queued. */
    boolean remove(String requestId);

    /** Removes and returns the requests whose deadline can no longer be met. */
    List<RequestSpec> removeExpired(long nowMs);

    /** Returns the number of queued requests. */
    int size();
}

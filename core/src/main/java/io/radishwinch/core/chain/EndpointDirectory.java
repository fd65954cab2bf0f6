package io.radishwinch.core.chain;

import io.radishwinch.core.DecisionCore.EndpointView;
import io.radishwinch.core.DecisionCore.PoolView;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import java.util.List;

/**
 * Maintains the endpoint table with its health, load accounting, cache index and placement.
 *
 * <p>The decision core passes every event to {@link #handle} and reports the start and end of its attempts. Chain
 * planners read the table.
 */
public interface EndpointDirectory {

    /**
     * Applies an event that concerns endpoints, links, caches, the configuration or the tick; ignores all others.
     *
     * @return orders to engines and state changes to log
     */
    List<Action> handle(Event event, long nowMs);

    /** Occupies one slot on every stage of the chain. */
    void acquire(Chain chain, RequestSpec request, long nowMs);

    /** Frees the slots that {@link #acquire} occupied. */
    void release(Chain chain, RequestSpec request, long nowMs);

    /**
     * Records a completed attempt.
     *
     * @param firstTokenMs time from the start of the attempt to its first token, in ms
     * @param tokenIntervalMs mean time between tokens in ms, or 0 if there was only one token
     * @return state changes to log
     */
    List<Action> recordSuccess(Chain chain, long firstTokenMs, double tokenIntervalMs, long nowMs);

    /**
     * Records a failed attempt on an endpoint.
     *
     * @return state changes to log
     */
    List<Action> recordFailure(String endpointId, Reason reason, long nowMs);

    /** Returns whether the endpoint may receive new work: it is listed and is not leaving, reloading or ejected. */
    boolean isUsable(String endpointId, long nowMs);

    /** Returns whether the endpoint failed or was removed from the list; unlike one that only receives no new work. */
    boolean isRemoved(String endpointId);

    /** Returns whether usable endpoints cover every layer of the pool, regardless of free slots. */
    boolean isCovered(String pool, long nowMs);

    /** Returns whether the pool is not covered, and is again once the endpoints respond that are only suspected. */
    boolean isCoveredAfterSilences(String pool, long nowMs);

    /**
     * Returns the time in ms until which requests for a pool wait for endpoints that have asked for a pause, or the
     * given time if others hold every layer.
     */
    long pauseEndMs(String pool, long nowMs);

    /**
     * Returns the throughput bound of a pool in tokens/s, or 0 if the pool is not covered. The value is cached and
     * recomputed when the table changes.
     */
    double throughputBoundTokensPerS(String pool, long nowMs);

    /** Returns the state of each endpoint, ordered by identifier. */
    List<EndpointView> endpointViews(long nowMs);

    /** Returns the state of each pool, ordered by name. */
    List<PoolView> poolViews(long nowMs);
}

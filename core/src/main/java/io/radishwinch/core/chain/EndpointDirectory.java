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
 * The endpoint table and the systems that run over it: health, load accounting, cache knowledge and placement.
 *
 * <p>The decision core passes every event to {@link #handle} and reports what its own attempts do. Chain planners read
 * the table.
 */
public interface EndpointDirectory {

    /**
     * Applies an event that concerns endpoints, links, caches, configuration or the tick; ignores all others.
     *
     * @return orders to engines and changes of state to log
     */
    List<Action> handle(Event event, long nowMs);

    /** Occupies one slot on every stage of the chain. */
    void acquire(Chain chain, RequestSpec request, long nowMs);

    /** Frees the slots that {@link #acquire} occupied. */
    void release(Chain chain, RequestSpec request, long nowMs);

    /**
     * Records a finished attempt.
     *
     * @param firstTokenMs time from start to first token, in ms
     * @param tokenIntervalMs mean time between tokens, in ms, or 0 if the answer had one token
     * @return changes of state to log
     */
    List<Action> recordSuccess(Chain chain, long firstTokenMs, double tokenIntervalMs, long nowMs);

    /**
     * Records a failure of one endpoint.
     *
     * @return changes of state to log
     */
    List<Action> recordFailure(String endpointId, Reason reason, long nowMs);

    /** Returns whether the endpoint may receive new work: known, alive, not leaving and not ejected. */
    boolean isUsable(String endpointId, long nowMs);

    /** Returns whether usable endpoints cover every layer of the pool, regardless of free slots. */
    boolean isCovered(String pool, long nowMs);

    /**
     * Returns the achievable throughput of a pool in tokens/s, 0 if it is not covered; recomputed when the table
     * changes, not on each call.
     */
    double throughputBoundTokensPerS(String pool, long nowMs);

    /** Returns the state of each endpoint, ordered by identifier. */
    List<EndpointView> endpointViews(long nowMs);

    /** Returns the state of each pool, ordered by name. */
    List<PoolView> poolViews(long nowMs);
}

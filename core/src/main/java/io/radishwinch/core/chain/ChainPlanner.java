package io.radishwinch.core.chain;

import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.RequestSpec;
import java.util.Optional;

/** Plans the chain of endpoints that runs a request. */
public interface ChainPlanner {

    /**
     * Plans a chain with a free slot on every stage.
     *
     * @param request request to run
     * @param pool model, or the one-layer pool of a plain service
     * @param constraints endpoints that the chain may use
     * @param nowMs current time in ms
     * @return a chain over all layers of the pool, or empty if the usable endpoints with free slots do not cover them
     */
    Optional<Chain> plan(RequestSpec request, ModelSpec pool, ChainConstraints constraints, long nowMs);

    /**
     * Replaces one stage of a running chain other than the first by endpoints that hold the same layers.
     *
     * @param request running request
     * @param pool model
     * @param chain chain of the running attempt
     * @param lostEndpointId endpoint of the stage to replace
     * @param nowMs current time in ms
     * @return a chain that keeps all other stages, or empty if no other endpoints can run the layers
     */
    default Optional<Chain> replaceStage(
            RequestSpec request, ModelSpec pool, Chain chain, String lostEndpointId, long nowMs) {
        return Optional.empty();
    }
}

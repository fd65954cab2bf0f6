package io.radishwinch.core.chain;

import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.RequestSpec;
import java.util.Optional;
import java.util.Set;

/** Chooses the endpoints that run a request. */
public interface ChainPlanner {

    /**
     * Plans a chain with a free slot on every stage.
     *
     * @param request request to run
     * @param pool model, or the one-layer pool of a plain service
     * @param excludedEndpointIds endpoints that must not be used, for example those on which earlier attempts failed
     * @param nowMs current time in ms
     * @return a chain over all layers of the pool, or empty if the usable endpoints with free slots do not cover them
     */
    Optional<Chain> plan(RequestSpec request, ModelSpec pool, Set<String> excludedEndpointIds, long nowMs);

    /**
     * Replaces one stage of a running chain, other than its first, by endpoints that hold its layers.
     *
     * @param request request that runs
     * @param pool model
     * @param chain chain that runs
     * @param lostEndpointId endpoint of the stage to replace
     * @param nowMs current time in ms
     * @return a chain with the same other stages, or empty if no other endpoints can take the layers over
     */
    default Optional<Chain> replaceStage(
            RequestSpec request, ModelSpec pool, Chain chain, String lostEndpointId, long nowMs) {
        return Optional.empty();
    }
}

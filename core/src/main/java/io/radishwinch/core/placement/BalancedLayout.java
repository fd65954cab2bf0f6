package io.radishwinch.core.placement;

import io.radishwinch.core.model.EnginePoolSpec;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns each engine the number of layers that leaves memory for a common number of requests, and places each range at
 * the layers with the least capacity.
 *
 * <p>The placement follows the rule by which a server joins a Petals swarm, where it takes the contiguous blocks with
 * the least throughput (A. Borzunov et al., "Distributed inference and fine-tuning of large language models over the
 * internet", NeurIPS 2023, section 3.2). It uses the capacity for requests instead of the throughput, because memory is
 * the limiting resource.
 */
public final class BalancedLayout implements Layout {

    /** Copies of the model to hold over all engines, so that the loss of one engine leaves no coverage gap. */
    private static final double TARGET_COPIES = 1.25;

    private static final int MAX_CAPACITY_REQUESTS = 160;
    private static final double CAPACITY_STEP = 0.9;

    @Override
    public Map<String, LayerRange> plan(Collection<PlacementEndpoint> endpoints, ModelSpec model, EnginePoolSpec pool) {
        double capacityRequests = targetCapacityRequests(endpoints, model, pool);
        List<PlacementEndpoint> largestFirst = endpoints.stream()
                .sorted(Comparator.comparing((PlacementEndpoint endpoint) ->
                                -pool.maxLayersForRequests(endpoint.spec().acceleratorKind(), capacityRequests, model))
                        .thenComparing(PlacementEndpoint::id))
                .toList();
        LayerCapacity capacity = new LayerCapacity(model.layerCount());
        Map<String, LayerRange> ranges = new LinkedHashMap<>();
        for (PlacementEndpoint endpoint : largestFirst) {
            String kind = endpoint.spec().acceleratorKind();
            int layers = pool.maxLayersForRequests(kind, capacityRequests, model);
            if (layers > 0) {
                LayerRange range = capacity.mostNeededRange(layers, capacityRequests);
                capacity.add(range, pool.requestCapacity(kind, layers, model));
                ranges.put(endpoint.id(), range);
            }
        }
        return ranges;
    }

    /**
     * Returns the largest capacity per engine, in requests, at which the engines together hold the target number of
     * copies of the model. Falls back to the largest capacity at which they hold one copy, and then to 1.
     */
    static double targetCapacityRequests(
            Collection<PlacementEndpoint> endpoints, ModelSpec model, EnginePoolSpec pool) {
        for (double copies : new double[] {TARGET_COPIES, 1}) {
            for (double capacity = MAX_CAPACITY_REQUESTS; capacity >= 1; capacity *= CAPACITY_STEP) {
                if (totalLayers(endpoints, capacity, model, pool) >= copies * model.layerCount()) {
                    return capacity;
                }
            }
        }
        return 1;
    }

    /** Returns whether the engines together can hold a complete copy of the model. */
    static boolean canHoldCopy(Collection<PlacementEndpoint> endpoints, ModelSpec model, EnginePoolSpec pool) {
        return totalLayers(endpoints, 1, model, pool) >= model.layerCount();
    }

    private static int totalLayers(
            Collection<PlacementEndpoint> endpoints, double capacityRequests, ModelSpec model, EnginePoolSpec pool) {
        return endpoints.stream()
                .mapToInt(endpoint ->
                        pool.maxLayersForRequests(endpoint.spec().acceleratorKind(), capacityRequests, model))
                .sum();
    }
}

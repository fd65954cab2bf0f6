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
 * Gives every engine as many layers as leave it room for the same number of requests, and places each where the layers
 * have least room.
 *
 * <p>The placement follows the rule by which a server joins a swarm: it takes the contiguous blocks with the least
 * throughput (A. Borzunov et al., "Distributed inference and fine-tuning of large language models over the internet",
 * NeurIPS 2023, section 3.2), with the room for requests in place of the throughput, since memory is what runs out.
 */
public final class BalancedLayout implements Layout {

    /** Copies of the model that the engines should hold together, so that the loss of an engine leaves no gap. */
    private static final double TARGET_COPIES = 1.25;

    private static final int MAX_CAPACITY_REQUESTS = 160;
    private static final double CAPACITY_STEP = 0.9;

    @Override
    public Map<String, LayerRange> plan(Collection<PlacementEndpoint> endpoints, ModelSpec model, EnginePoolSpec pool) {
        double room = targetCapacityRequests(endpoints, model, pool);
        List<PlacementEndpoint> largestFirst = endpoints.stream()
                .sorted(Comparator.comparing((PlacementEndpoint endpoint) ->
                                -pool.maxLayersForRequests(endpoint.spec().acceleratorKind(), room, model))
                        .thenComparing(PlacementEndpoint::id))
                .toList();
        LayerCapacity capacity = new LayerCapacity(model.layerCount());
        Map<String, LayerRange> ranges = new LinkedHashMap<>();
        for (PlacementEndpoint endpoint : largestFirst) {
            String kind = endpoint.spec().acceleratorKind();
            int layers = pool.maxLayersForRequests(kind, room, model);
            if (layers > 0) {
                LayerRange range = capacity.mostNeededRange(layers);
                capacity.add(range, pool.requestCapacity(kind, layers, model));
                ranges.put(endpoint.id(), range);
            }
        }
        return ranges;
    }

    /**
     * Returns the largest room at which the engines hold the wanted copies of the model together, in requests; if there
     * is none, the largest at which they hold one copy, and otherwise 1.
     */
    static double targetCapacityRequests(
            Collection<PlacementEndpoint> endpoints, ModelSpec model, EnginePoolSpec pool) {
        for (double copies : new double[] {TARGET_COPIES, 1}) {
            for (double room = MAX_CAPACITY_REQUESTS; room >= 1; room *= CAPACITY_STEP) {
                if (totalLayers(endpoints, room, model, pool) >= copies * model.layerCount()) {
                    return room;
                }
            }
        }
        return 1;
    }

    /** Returns whether the engines can hold a whole copy of the model together. */
    static boolean canHoldCopy(Collection<PlacementEndpoint> endpoints, ModelSpec model, EnginePoolSpec pool) {
        return totalLayers(endpoints, 1, model, pool) >= model.layerCount();
    }

    private static int totalLayers(
            Collection<PlacementEndpoint> endpoints, double room, ModelSpec model, EnginePoolSpec pool) {
        return endpoints.stream()
                .mapToInt(endpoint -> pool.maxLayersForRequests(endpoint.spec().acceleratorKind(), room, model))
                .sum();
    }
}

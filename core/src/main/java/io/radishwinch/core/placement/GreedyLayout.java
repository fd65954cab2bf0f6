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
 * Assigns consecutive ranges of as many layers as each engine can hold, in the order of endpoint identifiers.
 *
 * <p>Serves as the baseline for comparison with {@link BalancedLayout}.
 */
public final class GreedyLayout implements Layout {

    /** Requests for which each engine keeps memory free. */
    private static final int MIN_CAPACITY_REQUESTS = 1;

    @Override
    public Map<String, LayerRange> plan(Collection<PlacementEndpoint> endpoints, ModelSpec model, EnginePoolSpec pool) {
        List<PlacementEndpoint> sorted = endpoints.stream()
                .sorted(Comparator.comparing(PlacementEndpoint::id))
                .toList();
        Map<String, LayerRange> ranges = new LinkedHashMap<>();
        int next = 0;
        for (PlacementEndpoint endpoint : sorted) {
            int layers = pool.maxLayersForRequests(endpoint.spec().acceleratorKind(), MIN_CAPACITY_REQUESTS, model);
            if (layers > 0) {
                int first = Math.min(next, model.layerCount() - layers);
                ranges.put(endpoint.id(), new LayerRange(first, first + layers));
                next = first + layers == model.layerCount() ? 0 : first + layers;
            }
        }
        return ranges;
    }
}

package io.radishwinch.core.placement;

import io.radishwinch.core.model.AcceleratorSpec;
import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.EnginePoolSpec;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Test data: engines with four accelerator kinds for a model with 80 layers. */
final class MixedEngines {
    static final ModelSpec MODEL = new ModelSpec("m", 80, 1_750_000_000L, 845_000, 1 << 20);
    static final EnginePoolSpec POOL = new EnginePoolSpec(
            944,
            2,
            14_000,
            850,
            28_000,
            Map.of(
                    "huge", new AcceleratorSpec("huge", 72_000_000_000L, 1.4, 1),
                    "large", new AcceleratorSpec("large", 36_000_000_000L, 3.1, 3.2),
                    "medium", new AcceleratorSpec("medium", 21_600_000_000L, 16, 8.2),
                    "small", new AcceleratorSpec("small", 14_400_000_000L, 15, 15)));
    static final FleetConfig CONFIG = new FleetConfig(1, Map.of(), Map.of("m", MODEL), Map.of(), Map.of("m", POOL));

    private MixedEngines() {}

    static List<PlacementEndpoint> empty(String dataCentre) {
        List<PlacementEndpoint> engines = new ArrayList<>();
        add(engines, dataCentre, "huge", 1);
        add(engines, dataCentre, "large", 1);
        add(engines, dataCentre, "medium", 5);
        add(engines, dataCentre, "small", 7);
        return engines;
    }

    static PlacementEndpoint engine(String id, String dataCentre, String kind, Optional<LayerRange> layers) {
        EndpointSpec spec = new EndpointSpec(id, dataCentre, "10.0.0.1", 80, kind, 134, false, false);
        return new PlacementEndpoint(
                spec, layers.map(range -> List.of(new Holding("m", range))).orElse(List.of()), false, 0);
    }

    static PlacementEndpoint holding(PlacementEndpoint engine, LayerRange layers) {
        return engine(engine.id(), engine.spec().dataCentre(), engine.spec().acceleratorKind(), Optional.of(layers));
    }

    /** Returns the smallest capacity over all layers, in requests. */
    static double minCapacityRequests(Collection<PlacementEndpoint> engines, Map<String, LayerRange> ranges) {
        LayerCapacity capacity = new LayerCapacity(MODEL.layerCount());
        for (PlacementEndpoint engine : engines) {
            LayerRange range = ranges.get(engine.id());
            if (range != null) {
                capacity.add(range, POOL.requestCapacity(engine.spec().acceleratorKind(), range.size(), MODEL));
            }
        }
        return capacity.minCapacityRequests();
    }

    /** Returns the smallest capacity over all layers, from the layers that the engines hold, in requests. */
    static double minCapacityRequests(Collection<PlacementEndpoint> engines) {
        Map<String, LayerRange> ranges = new HashMap<>();
        engines.forEach(engine -> engine.holdings().forEach(holding -> ranges.put(engine.id(), holding.layers())));
        return minCapacityRequests(engines, ranges);
    }

    private static void add(List<PlacementEndpoint> engines, String dataCentre, String kind, int count) {
        for (int i = 0; i < count; i++) {
            engines.add(engine(dataCentre + "-" + kind + i, dataCentre, kind, Optional.empty()));
        }
    }
}

package io.radishwinch.core.placement;

import io.radishwinch.core.model.EnginePoolSpec;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import java.util.Collection;
import java.util.Map;

/** Plans the layers of engines that hold none yet. */
public interface Layout {

    /**
     * Plans a range for each engine that can hold a layer.
     *
     * @param endpoints engines to lay out
     * @param model model to spread over them
     * @param pool kinds of accelerators
     * @return range by endpoint; an engine without memory for a layer is missing
     */
    Map<String, LayerRange> plan(Collection<PlacementEndpoint> endpoints, ModelSpec model, EnginePoolSpec pool);
}

package io.radishwinch.core.placement;

import io.radishwinch.core.model.EnginePoolSpec;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import java.util.Collection;
import java.util.Map;

/** Strategy that assigns layers to engines without any. */
public interface Layout {

    /**
     * Plans a range for each engine that can hold a layer.
     *
     * @param endpoints engines without layers
     * @param model model to distribute over the engines
     * @param pool memory and speed of each accelerator kind
     * @return range by endpoint identifier; engines without memory for a layer are absent
     */
    Map<String, LayerRange> plan(Collection<PlacementEndpoint> endpoints, ModelSpec model, EnginePoolSpec pool);
}

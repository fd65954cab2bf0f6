package io.radishwinch.server.engine;

import io.radishwinch.core.model.LayerRange;

/**
 * KV cache of one request on a range of layers.
 *
 * @param requestId request
 * @param model model name
 * @param layers layers
 */
public record KvRange(String requestId, String model, LayerRange layers) {}

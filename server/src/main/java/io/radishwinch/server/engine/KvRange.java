package io.radishwinch.server.engine;

import io.radishwinch.core.model.LayerRange;

/**
 * KV cache of a request for a range of layers.
 *
 * @param requestId request identifier
 * @param model model name
 * @param layers layer range
 */
public record KvRange(String requestId, String model, LayerRange layers) {}

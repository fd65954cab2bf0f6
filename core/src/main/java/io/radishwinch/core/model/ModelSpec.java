package io.radishwinch.core.model;

/**
 * Properties of a model that callers can request.
 *
 * @param name name of the model in requests
 * @param layerCount number of layers
 * @param layerBytes weight bytes of one layer
 * @param kvBytesPerToken KV cache bytes of one token over all layers
 * @param maxContextTokens largest sum of prompt and generated tokens
 */
public record ModelSpec(String name, int layerCount, long layerBytes, long kvBytesPerToken, int maxContextTokens) {

    /** Prefix of the pool names of plain services, which are represented as models with one layer. */
    public static final String SERVICE_PREFIX = "service:";

    /** Returns the one-layer pool that represents a plain service. */
    public static ModelSpec forService(String serviceName) {
        return new ModelSpec(SERVICE_PREFIX + serviceName, 1, 0, 0, Integer.MAX_VALUE);
    }
}

package io.radishwinch.core.model;

/**
 * Stage of a chain: an endpoint and the layers that it runs for a request.
 *
 * @param endpointId endpoint that runs the layers
 * @param layers layers to run, a subset of the layers that the endpoint holds
 */
public record Stage(String endpointId, LayerRange layers) {}

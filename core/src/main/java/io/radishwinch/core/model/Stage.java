package io.radishwinch.core.model;

/**
 * One step of a chain: an endpoint and the layers that it runs for the request.
 *
 * @param endpointId endpoint that runs the layers
 * @param layers layers run there, a part of what the endpoint holds
 */
public record Stage(String endpointId, LayerRange layers) {}

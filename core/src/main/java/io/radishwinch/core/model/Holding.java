package io.radishwinch.core.model;

/**
 * Layers of a pool that an endpoint has loaded.
 *
 * @param pool model name, or {@code service:<name>} for a plain service
 * @param layers layers held
 */
public record Holding(String pool, LayerRange layers) {}

package io.radishwinch.core.model;

/**
 * Layers of a pool that an endpoint holds.
 *
 * @param pool model name, or {@code service:<name>} for a plain service
 * @param layers held layers
 */
public record Holding(String pool, LayerRange layers) {}

package io.radishwinch.server.route;

/**
 * A pool that serves part of a route.
 *
 * @param pool model name, or {@code service:<name>}
 * @param weight share relative to the other pools of the route
 */
public record Backend(String pool, int weight) {}

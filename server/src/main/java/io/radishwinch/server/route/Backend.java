package io.radishwinch.server.route;

/**
 * A pool that serves a share of the requests of a route.
 *
 * @param pool model name, or {@code service:<name>}
 * @param weight weight relative to the other pools of the route
 */
public record Backend(String pool, int weight) {}

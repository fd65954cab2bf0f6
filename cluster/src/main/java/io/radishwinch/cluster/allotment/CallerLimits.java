package io.radishwinch.cluster.allotment;

/**
 * What all routers together grant to one caller.
 *
 * @param limits upper limits over the whole fleet
 * @param floorTokensPerS sum of the contracted floors over the whole fleet, in tokens/s
 */
public record CallerLimits(LoadVector limits, double floorTokensPerS) {}

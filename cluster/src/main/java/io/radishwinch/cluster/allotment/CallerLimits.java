package io.radishwinch.cluster.allotment;

/**
 * Limits and floor of one caller over the whole fleet.
 *
 * @param limits upper limits over the whole fleet
 * @param floorTokensPerS sum of the contracted floors over the whole fleet, in tokens/s
 */
public record CallerLimits(LoadVector limits, double floorTokensPerS) {}

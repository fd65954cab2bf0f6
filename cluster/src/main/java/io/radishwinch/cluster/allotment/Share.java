package io.radishwinch.cluster.allotment;

/**
 * Part of a caller's limits that one router may use.
 *
 * @param limits limits of this router
 * @param floorShare fraction of the contracted floors that this router serves, 0 to 1
 */
public record Share(LoadVector limits, double floorShare) {}

package io.radishwinch.core.placement;

/**
 * Settings of {@link PlacementPlanner}.
 *
 * @param storeBytesPerS rate of the weight store for the whole data centre, in bytes/s
 * @param uncoveredDelayMs time for which layers must be without any holder before they are loaded, in ms
 * @param ejectedHolderDelayMs the same for layers that are held only by ejected endpoints, in ms
 * @param overloadShare share of occupied slots from which layers count as overloaded, 0 to 1
 * @param idleShare share of occupied slots up to which an endpoint may be moved to an overloaded model, 0 to 1
 * @param overloadDelayMs time for which the overload must last, in ms
 * @param cooldownMs shortest time between two overload moves of the same endpoint or to the same model, in ms
 * @param maxOrderDelayMs longest time from giving an order to its execution, without loading, in ms
 */
public record PlacementSettings(
        double storeBytesPerS,
        long uncoveredDelayMs,
        long ejectedHolderDelayMs,
        double overloadShare,
        double idleShare,
        long overloadDelayMs,
        long cooldownMs,
        long maxOrderDelayMs) {

    /** Returns the defaults for a weight store with the given rate in bytes/s. */
    public static PlacementSettings forStore(double storeBytesPerS) {
        return new PlacementSettings(storeBytesPerS, 500, 10_000, 0.9, 0.5, 10_000, 60_000, 2_000);
    }
}

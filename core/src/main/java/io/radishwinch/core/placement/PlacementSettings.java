package io.radishwinch.core.placement;

/**
 * Limits of {@link PlacementPlanner}.
 *
 * @param storeBytesPerS rate of the weight store for the whole data centre, in bytes/s
 * @param uncoveredDelayMs time for which layers must be without any holder before a load, in ms
 * @param ejectedHolderDelayMs the same while ejected endpoints still hold the layers, in ms
 * @param overloadShare share of slots in use from which layers count as overloaded
 * @param idleShare share of slots in use up to which an endpoint may be moved to an overloaded model
 * @param overloadDelayMs time for which the overload must last, in ms
 * @param cooldownMs shortest time between two moves of an endpoint or to a model because of overload, in ms
 * @param maxOrderDelayMs longest time from giving an order to its effect, loading not included, in ms
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

    /** Returns the defaults for a weight store of the given rate in bytes/s. */
    public static PlacementSettings forStore(double storeBytesPerS) {
        return new PlacementSettings(storeBytesPerS, 500, 10_000, 0.9, 0.5, 10_000, 60_000, 2_000);
    }
}

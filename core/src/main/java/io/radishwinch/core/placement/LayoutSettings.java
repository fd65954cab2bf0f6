package io.radishwinch.core.placement;

/**
 * Settings of the layout planner.
 *
 * @param stabilizationMs time without a new engine before the first layout, in ms; engines register within a heartbeat
 *     of each other
 * @param rejoiningEngines engines that join with layers within the settling time from which a group counts as coming
 *     back as a whole
 * @param maxOrdersPerTick orders given at once to repair a layout; the weight store slows down beyond a few loads
 * @param minCapacityRequests requests of usual size for which an engine that takes over layers must keep memory
 * @param refusalBackoffMs time for which an engine that refused an order is left alone, in ms; one report
 * @param loadTimeFactor longest loading time relative to the expected one, when loads compete
 * @param confirmationTimeoutMs time for the report of a finished load to arrive, in ms; about two heartbeats
 * @param costPerLoadS value lost for each second of loading, relative to that of covering a gap
 * @param costPerLostCapacityShare value lost if an engine keeps no room at all, relative to that of covering a gap
 * @param missingTimeoutMs time for which an engine that was just ordered may be out of sight, in ms; its streams stall
 *     while it gives up layers, which looks like its death
 * @param plannedLeaveWindowMs time after a planned leave in which repairs cut no streams, in ms; releases replace an
 *     engine a second
 * @param costPerInterruptedStream value lost for each stream that a move cuts, relative to that of covering a gap
 */
public record LayoutSettings(
        long stabilizationMs,
        int rejoiningEngines,
        int maxOrdersPerTick,
        double minCapacityRequests,
        long refusalBackoffMs,
        double loadTimeFactor,
        long confirmationTimeoutMs,
        double costPerLoadS,
        double costPerLostCapacityShare,
        long missingTimeoutMs,
        long plannedLeaveWindowMs,
        double costPerInterruptedStream) {

    /** Returns the defaults. */
    public static LayoutSettings defaults() {
        return new LayoutSettings(1_000, 3, 6, 10, 1_000, 2, 3_000, 0.2, 0.5, 1_500, 10_000, 0.005);
    }
}

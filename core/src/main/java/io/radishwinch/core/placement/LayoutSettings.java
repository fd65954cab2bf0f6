package io.radishwinch.core.placement;

/**
 * Settings of {@link LayoutPlanner}.
 *
 * @param stabilizationMs time without a new engine before the first layout, in ms; engines register within one
 *     heartbeat of each other
 * @param maxStabilizationMs time after which a first layout no longer waits for engines that join elsewhere, in ms;
 *     engines of one start-up have registered by then
 * @param rejoiningEngines number of engines that join with layers within the stabilization period from which the whole
 *     group counts as rejoining
 * @param maxOrdersPerTick orders given in one tick to repair a layout; the weight store slows down beyond a few loads
 * @param minCapacityRequests requests of typical size for which an engine that loads further layers must keep memory
 * @param refusalBackoffMs backoff after an engine refused an order, in ms; one load report arrives within it
 * @param loadTimeFactor longest loading time relative to the expected one, while loads compete for the weight store
 * @param confirmationTimeoutMs time for the load report of a finished load to arrive, in ms; about two heartbeats
 * @param costPerLoadS cost of one second of loading, relative to the value of closing a coverage gap
 * @param costPerLostCapacityShare cost of an engine that keeps no capacity for requests, relative to the value of
 *     closing a coverage gap
 * @param missingTimeoutMs time for which an engine with a pending order may be missing, in ms; its streams stall while
 *     it releases layers, which looks like a crash
 * @param plannedLeaveWindowMs time after a planned leave in which repairs interrupt no streams, in ms; software
 *     releases replace one engine per second
 * @param costPerInterruptedStream cost of each interrupted stream, relative to the value of closing a coverage gap
 * @param wideningDelayMs time without a change of the engines of a group before a narrow layout is widened, and between
 *     two searches for a move, in ms; silent engines have responded or are replaced by then
 * @param narrowShare share of the target capacity below which the smallest capacity of a layout is raised by moving
 *     engines that hold layers, 0 to 1
 * @param maxWideningGoal largest capacity for which engines are moved, relative to the target capacity; whole layers
 *     let a layout exceed its target a little
 * @param minWideningGain smallest share of the lacking capacity that such a move must restore, 0 to 1
 */
public record LayoutSettings(
        long stabilizationMs,
        long maxStabilizationMs,
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
        double costPerInterruptedStream,
        long wideningDelayMs,
        double narrowShare,
        double maxWideningGoal,
        double minWideningGain) {

    /** Returns the defaults. */
    public static LayoutSettings defaults() {
        return new LayoutSettings(
                1_000, 4_000, 3, 6, 10, 1_000, 2, 3_000, 0.2, 0.5, 1_500, 10_000, 0.005, 5_000, 0.75, 1.12, 0.25);
    }
}

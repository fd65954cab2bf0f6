package io.radishwinch.report;

/**
 * Service targets against which a day is evaluated.
 *
 * @param withinDeadlineShare minimum share of entitled requests completed by the deadline, from 0 to 1
 * @param firstTokenMs maximum time to the first token, in ms, for the same share of interactive requests
 * @param tokenIntervalMs maximum mean time between tokens, in ms, for the same share of interactive requests
 * @param floorShare minimum throughput in a surge relative to the floor, from 0 to 1
 */
public record ReportTargets(
        double withinDeadlineShare, double firstTokenMs, double tokenIntervalMs, double floorShare) {

    /** Returns the targets of section 1.3 of the design document. */
    public static ReportTargets defaults() {
        return new ReportTargets(0.95, 1400, 60, 0.95);
    }
}

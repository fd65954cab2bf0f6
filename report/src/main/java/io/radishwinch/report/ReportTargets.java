package io.radishwinch.report;

/**
 * Targets that a day is compared with.
 *
 * @param withinDeadlineShare share of entitled requests to complete by the deadline, from 0 to 1
 * @param firstTokenMs time to the first token of interactive requests at that share, in ms
 * @param tokenIntervalMs time between tokens of interactive requests at that share, in ms
 * @param floorShare share of a floor that must remain in a surge, from 0 to 1
 */
public record ReportTargets(
        double withinDeadlineShare, double firstTokenMs, double tokenIntervalMs, double floorShare) {

    /** Returns the targets of section 1.3 of the design document. */
    public static ReportTargets defaults() {
        return new ReportTargets(0.95, 1400, 60, 0.95);
    }
}

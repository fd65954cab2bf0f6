package io.radishwinch.core.quarantine;

/**
 * Settings of the quarantine of prompt parts.
 *
 * @param quarantineMs time for which a crash counts against the parts of its requests, in ms
 * @param minCrashes number of crashes, one after the other, after which parts are quarantined
 * @param minRequests number of different requests among these crashes
 * @param clockToleranceMs time by which an attempt may seem to start before the previous crash, in ms; covers the delay
 *     of messages between routers, by which their times differ
 * @param minCrashIntervalMs shortest time between two successive crashes, in ms
 * @param proofDelayMs time from the first token of an attempt until its parts count as harmless, in ms
 * @param confirmationMs time within which the end of an endpoint confirms that it crashed, in ms
 * @param maxCrashes maximum number of crashes and of parts that are tracked
 */
public record PartQuarantineSettings(
        long quarantineMs,
        int minCrashes,
        int minRequests,
        long clockToleranceMs,
        long minCrashIntervalMs,
        long proofDelayMs,
        long confirmationMs,
        int maxCrashes) {

    /** Returns the defaults. */
    public static PartQuarantineSettings defaults() {
        return new PartQuarantineSettings(10 * 60_000, 3, 2, 100, 30, 200, 5_000, 1_000);
    }
}

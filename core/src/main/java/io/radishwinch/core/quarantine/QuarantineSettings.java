package io.radishwinch.core.quarantine;

/**
 * Settings of the crash quarantine.
 *
 * @param quarantineMs time for which a fingerprint is refused, in ms
 * @param suspectMs time for which a crash counts against a fingerprint, in ms
 * @param trustMs time for which a finished request speaks for its fingerprint, in ms
 * @param restartDelayMs time from a crash here to the next attempt with the fingerprint, in ms; peers learn of the
 *     crash meanwhile
 * @param peerRestartDelayMs time from the report of a peer to an attempt here, in ms; longer than the peer needs for
 *     its own next attempt and the report of its end
 * @param maxEntries fingerprints kept in each table
 * @param maxOtherAttempts other attempts on an endpoint while a suspect is under observation there
 * @param busyEndpointDelayMs time after which a suspect may also run on endpoints with more other attempts, in ms
 * @param observationMs time from the first token of a suspect's attempt to the end of its observation, in ms; the
 *     attempt is then past the token at which the endpoint crashed
 * @param maxCrashes crashes after which a fingerprint is quarantined
 */
public record QuarantineSettings(
        long quarantineMs,
        long suspectMs,
        long trustMs,
        long restartDelayMs,
        long peerRestartDelayMs,
        int maxEntries,
        int maxOtherAttempts,
        long busyEndpointDelayMs,
        long observationMs,
        int maxCrashes) {

    /** Returns the defaults. */
    public static QuarantineSettings defaults() {
        return new QuarantineSettings(15 * 60_000, 5 * 60_000, 10 * 60_000, 200, 1_200, 10_000, 2, 200, 200, 2);
    }

    /** Returns a copy with other times, in ms. */
    public QuarantineSettings withTimes(long newQuarantineMs, long newSuspectMs, long newTrustMs) {
        return new QuarantineSettings(
                newQuarantineMs,
                newSuspectMs,
                newTrustMs,
                restartDelayMs,
                peerRestartDelayMs,
                maxEntries,
                maxOtherAttempts,
                busyEndpointDelayMs,
                observationMs,
                maxCrashes);
    }

    /** Returns a copy with another bound of the tables. */
    public QuarantineSettings withMaxEntries(int newMaxEntries) {
        return new QuarantineSettings(
                quarantineMs,
                suspectMs,
                trustMs,
                restartDelayMs,
                peerRestartDelayMs,
                newMaxEntries,
                maxOtherAttempts,
                busyEndpointDelayMs,
                observationMs,
                maxCrashes);
    }

    /** Returns a copy with other times between a crash and the next attempt, in ms. */
    public QuarantineSettings withRestartDelays(long newHoldMs, long newPeerHoldMs) {
        return new QuarantineSettings(
                quarantineMs,
                suspectMs,
                trustMs,
                newHoldMs,
                newPeerHoldMs,
                maxEntries,
                maxOtherAttempts,
                busyEndpointDelayMs,
                observationMs,
                maxCrashes);
    }

    /** Returns a copy without observation: a suspect may run beside any number of other attempts. */
    public QuarantineSettings withoutObservation() {
        return new QuarantineSettings(
                quarantineMs,
                suspectMs,
                trustMs,
                restartDelayMs,
                peerRestartDelayMs,
                maxEntries,
                Integer.MAX_VALUE,
                0,
                0,
                maxCrashes);
    }

    /** Returns a copy with another number of crashes after which a fingerprint is quarantined. */
    public QuarantineSettings withMaxCrashes(int newMaxCrashes) {
        return new QuarantineSettings(
                quarantineMs,
                suspectMs,
                trustMs,
                restartDelayMs,
                peerRestartDelayMs,
                maxEntries,
                maxOtherAttempts,
                busyEndpointDelayMs,
                observationMs,
                newMaxCrashes);
    }
}

package io.radishwinch.core.quarantine;

/**
 * Settings of the crash quarantine.
 *
 * @param quarantineMs duration of a quarantine, in ms
 * @param suspectMs time for which a crash counts against a fingerprint, in ms
 * @param trustMs time for which a fingerprint is trusted after a request with it finished, in ms
 * @param restartDelayMs time from a local crash to the next attempt with the fingerprint, in ms; covers the time in
 *     which peers learn of the crash
 * @param peerRestartDelayMs time from the crash report of a peer to the next local attempt, in ms; longer than the peer
 *     needs for its next attempt and the report of the outcome
 * @param maxEntries maximum number of fingerprints in each table
 * @param maxOtherAttempts maximum number of other attempts on an endpoint that runs a suspect under observation
 * @param busyEndpointDelayMs time after which a suspect may run on endpoints with more other attempts, in ms
 * @param observationMs time from the first token of a suspect's attempt to the end of its observation, in ms; the
 *     attempt has then passed the token at which the endpoint crashed
 * @param maxCrashes number of crashes after which a fingerprint is quarantined
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

    /** Returns a copy with other durations of quarantine, suspicion and trust, in ms. */
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

    /** Returns a copy with another limit of entries per table. */
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

    /** Returns a copy with other delays between a crash and the next attempt, in ms. */
    public QuarantineSettings withRestartDelays(long newRestartDelayMs, long newPeerRestartDelayMs) {
        return new QuarantineSettings(
                quarantineMs,
                suspectMs,
                trustMs,
                newRestartDelayMs,
                newPeerRestartDelayMs,
                maxEntries,
                maxOtherAttempts,
                busyEndpointDelayMs,
                observationMs,
                maxCrashes);
    }

    /** Returns a copy without observation, where a suspect may share an endpoint with any number of other attempts. */
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

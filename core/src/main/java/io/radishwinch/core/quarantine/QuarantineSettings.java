package io.radishwinch.core.quarantine;

/**
 * Settings of the crash quarantine.
 *
 * @param quarantineMs time for which a fingerprint is refused, in ms
 * @param suspectMs time for which a crash counts against a fingerprint, in ms
 * @param trustMs time for which a finished request speaks for its fingerprint, in ms
 * @param maxEntries fingerprints kept in each table
 * @param maxNeighbours other attempts on an endpoint while a suspect is under observation there
 * @param patienceMs time after which a suspect may also run on endpoints with more other attempts, in ms
 * @param observationMs time from the first token of a suspect's attempt to the end of its observation, in ms; the
 *     attempt is then past the token at which the endpoint crashed
 */
public record QuarantineSettings(
        long quarantineMs,
        long suspectMs,
        long trustMs,
        int maxEntries,
        int maxNeighbours,
        long patienceMs,
        long observationMs) {

    /** Returns the defaults. */
    public static QuarantineSettings defaults() {
        return new QuarantineSettings(15 * 60_000, 5 * 60_000, 10 * 60_000, 10_000, 2, 200, 200);
    }

    /** Returns a copy with other times, in ms. */
    public QuarantineSettings withTimes(long newQuarantineMs, long newSuspectMs, long newTrustMs) {
        return new QuarantineSettings(
                newQuarantineMs, newSuspectMs, newTrustMs, maxEntries, maxNeighbours, patienceMs, observationMs);
    }

    /** Returns a copy with another bound of the tables. */
    public QuarantineSettings withMaxEntries(int newMaxEntries) {
        return new QuarantineSettings(
                quarantineMs, suspectMs, trustMs, newMaxEntries, maxNeighbours, patienceMs, observationMs);
    }
}

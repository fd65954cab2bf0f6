package io.radishwinch.core.quarantine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Detects requests that crash the endpoints that run them, and quarantines their fingerprints.
 *
 * <p>A fingerprint that was running on an endpoint when it crashed is a suspect; after the configured number of crashes
 * it is quarantined. Until a request with the fingerprint finishes, the sum of its crashes and running attempts at this
 * router does not exceed that number, so that copies sent at the same time crash no further endpoints. A finished
 * request clears its fingerprint.
 *
 * <p>An attempt that broke at an endpoint that is not known to have ended is a suspicion. For a short time it counts
 * like a crash for the start of attempts, unless a request with the fingerprint finished lately; it never leads to a
 * quarantine.
 *
 * <p>An attempt that was cancelled because its endpoint did not respond counts as a crash only once the endpoint is
 * proven to have ended. Attempts at endpoints that accept no connections count for the start of others meanwhile.
 */
public final class CrashQuarantine {

    /** Time within which reports of a crash of the same endpoint count as the same crash, in ms. */
    private static final long SAME_CRASH_MS = 5_000;

    /**
     * Time for which an attempt that broke restricts further ones, in ms. A status check of its endpoint ends within
     * it.
     */
    private static final long SUSPICION_MS = 1_500;

    /** Number of finished requests of a fingerprint for each crash that its quarantine takes. */
    private static final int FINISHED_PER_CRASH = 20;

    /** Highest number of crashes before a quarantine, however many requests have finished. */
    private static final int MAX_CRASH_LIMIT = 5;

    /** Time for which an announced leave explains why an endpoint does not respond, in ms. */
    private static final long LEAVE_MS = 60_000;

    /**
     * Last crash of a fingerprint.
     *
     * @param allowsTrial whether one more attempt may run alone, although the number of crashes would quarantine
     */
    private record Crash(String endpointId, long atMs, long restartAllowedAtMs, int count, boolean allowsTrial) {}

    private final QuarantineSettings settings;
    private final ExpiringMap<Long> quarantined;
    private final ExpiringMap<Crash> suspects;
    private final ExpiringMap<Boolean> trusted;
    private final ExpiringMap<Crash> suspicions;
    private final ExpiringMap<Integer> finishedCounts;
    private final InterruptedAttempts interruptions;
    private final ExpiringMap<Boolean> leaves;
    private final Map<String, Integer> running = new HashMap<>();

    /** Creates an empty quarantine. */
    public CrashQuarantine(QuarantineSettings settings) {
        this.settings = settings;
        this.quarantined = new ExpiringMap<>(settings.maxEntries());
        this.suspects = new ExpiringMap<>(settings.maxEntries());
        this.trusted = new ExpiringMap<>(settings.maxEntries());
        this.suspicions = new ExpiringMap<>(settings.maxEntries());
        this.finishedCounts = new ExpiringMap<>(settings.maxEntries());
        this.interruptions = new InterruptedAttempts(settings.maxEntries());
        this.leaves = new ExpiringMap<>(settings.maxEntries());
    }

    /** Returns whether the fingerprint is quarantined. */
    public boolean isQuarantined(String fingerprint, long nowMs) {
        return quarantined.get(fingerprint, nowMs) != null;
    }

    /** Returns the end of the quarantine in ms, or 0 if the fingerprint is not quarantined. */
    public long quarantinedUntilMs(String fingerprint, long nowMs) {
        Long untilMs = quarantined.get(fingerprint, nowMs);
        return untilMs == null ? 0 : untilMs;
    }

    /**
     * Returns whether the fingerprint was running on a crashed endpoint, or on one whose crash is suspected, and no
     * request with it has finished since.
     */
    public boolean isSuspect(String fingerprint, long nowMs) {
        return suspects.get(fingerprint, nowMs) != null || suspicions.get(fingerprint, nowMs) != null;
    }

    /** Returns whether another attempt can start without putting more endpoints at risk than the settings allow. */
    public boolean canStart(String fingerprint, long nowMs) {
        if (isQuarantined(fingerprint, nowMs)) {
            return false;
        }
        Crash crash = suspects.get(fingerprint, nowMs);
        Crash suspicion = suspicions.get(fingerprint, nowMs);
        if (crash != null && nowMs < crash.restartAllowedAtMs()
                || suspicion != null && nowMs < suspicion.restartAllowedAtMs()) {
            return false;
        }
        if (crash == null && trusted.get(fingerprint, nowMs) != null) {
            return true;
        }
        // An interruption is also a suspicion for some time.
        int unproven =
                Math.max(suspicion == null ? 0 : suspicion.count(), interruptions.delayCount(fingerprint, nowMs));
        int atRisk = unproven + running.getOrDefault(fingerprint, 0);
        if (crash != null && crash.allowsTrial() && atRisk == 0) {
            return true;
        }
        return (crash == null ? 0 : crash.count()) + atRisk < crashLimit(fingerprint, nowMs);
    }

    /** Returns the last endpoint at which an attempt of the suspect ended, or an empty string if it is no suspect. */
    public String crashedEndpointId(String fingerprint, long nowMs) {
        Crash suspicion = suspicions.get(fingerprint, nowMs);
        Crash crash = suspicion == null ? suspects.get(fingerprint, nowMs) : suspicion;
        return crash == null ? "" : crash.endpointId();
    }

    /** Returns the total number of entries of all tables. */
    public int size() {
        return quarantined.size()
                + suspects.size()
                + trusted.size()
                + suspicions.size()
                + finishedCounts.size()
                + interruptions.size()
                + leaves.size()
                + running.size();
    }

    /** Records the start of an attempt with the fingerprint. */
    public void recordAttemptStarted(String fingerprint) {
        running.merge(fingerprint, 1, Integer::sum);
    }

    /** Records the end of an attempt with the fingerprint, with any outcome. */
    public void recordAttemptEnded(String fingerprint) {
        running.computeIfPresent(fingerprint, (key, count) -> count > 1 ? count - 1 : null);
    }

    /** Records a finished request, which clears its fingerprint. */
    public void recordRequestFinished(String fingerprint, long nowMs) {
        suspects.remove(fingerprint);
        suspicions.remove(fingerprint);
        interruptions.forgetFingerprint(fingerprint);
        trusted.put(fingerprint, true, nowMs + settings.trustMs());
        Integer earlier = finishedCounts.get(fingerprint, nowMs);
        int count = earlier == null ? 1 : Math.min(earlier + 1, FINISHED_PER_CRASH * MAX_CRASH_LIMIT);
        finishedCounts.put(fingerprint, count, nowMs + settings.trustMs());
    }

    /** Records that an attempt with the fingerprint broke at an endpoint that is not known to have ended. */
    public void recordSuspicion(String fingerprint, String endpointId, long nowMs) {
        if (trusted.get(fingerprint, nowMs) != null) {
            return;
        }
        Crash earlier = suspicions.get(fingerprint, nowMs);
        int count = earlier == null ? 1 : earlier.count() + 1;
        suspicions.put(
                fingerprint,
                new Crash(endpointId, nowMs, nowMs + settings.restartDelayMs(), count, false),
                nowMs + SUSPICION_MS);
    }

    /**
     * Records that an attempt with the fingerprint was cancelled because its endpoint did not respond.
     *
     * @param delaysCopies whether it counts like a crash for the start of attempts until the endpoint responds or is
     *     proven to have ended
     */
    public void recordInterruption(String fingerprint, String endpointId, boolean delaysCopies, long nowMs) {
        boolean isExplained = leaves.get(endpointId, nowMs) != null
                || isKnownCrash(suspects.get(fingerprint, nowMs), endpointId, nowMs);
        if (!isExplained) {
            interruptions.record(fingerprint, endpointId, delaysCopies, nowMs);
            if (delaysCopies) {
                recordSuspicion(fingerprint, endpointId, nowMs);
            }
        }
    }

    /**
     * Records that an endpoint is proven to have ended at which an attempt with the fingerprint was cancelled.
     *
     * <p>Such attempts alone quarantine their fingerprint one crash later than others: copies are held until the proof,
     * so that a sound request which lost its endpoints to another one had no chance to finish. It gets one, alone.
     *
     * @return whether the peers should learn of the crash; only the first one is shared before the quarantine
     */
    public boolean recordProvenInterruption(String fingerprint, String endpointId, long nowMs) {
        Crash earlier = suspects.get(fingerprint, nowMs);
        boolean allowsTrial = earlier == null || earlier.count() < crashLimit(fingerprint, nowMs);
        return recordCrash(fingerprint, endpointId, settings.peerRestartDelayMs(), allowsTrial, nowMs)
                && (earlier == null || isQuarantined(fingerprint, nowMs));
    }

    /** Forgets the attempts that were cancelled at an endpoint, and returns their fingerprints. */
    public List<String> takeInterrupted(String endpointId, long nowMs) {
        return interruptions.takeEndpoint(endpointId, nowMs);
    }

    /** Records that an endpoint that responds has announced its end, so that its end is no crash. */
    public void recordLeave(String endpointId, long nowMs) {
        leaves.put(endpointId, true, nowMs + LEAVE_MS);
    }

    /** Forgets the cancelled attempts at an endpoint that responds in the same lifetime. */
    public void recordEndpointJoined(String endpointId, long nowMs) {
        leaves.remove(endpointId);
        interruptions.takeEndpoint(endpointId, nowMs);
    }

    private static boolean isKnownCrash(Crash crash, String endpointId, long nowMs) {
        return crash != null && crash.endpointId().equals(endpointId) && nowMs - crash.atMs() < SAME_CRASH_MS;
    }

    /**
     * Records that the fingerprint was running on an endpoint when the endpoint crashed.
     *
     * @param isReportedByPeer whether a peer reported the crash
     * @return false if the crash was already known
     */
    public boolean recordCrash(String fingerprint, String endpointId, boolean isReportedByPeer, long nowMs) {
        long delayMs = isReportedByPeer ? settings.peerRestartDelayMs() : settings.restartDelayMs();
        return recordCrash(fingerprint, endpointId, delayMs, false, nowMs);
    }

    private boolean recordCrash(String fingerprint, String endpointId, long delayMs, boolean allowsTrial, long nowMs) {
        Crash earlier = suspects.get(fingerprint, nowMs);
        interruptions.forget(fingerprint, endpointId);
        if (isKnownCrash(earlier, endpointId, nowMs)) {
            return false;
        }
        trusted.remove(fingerprint);
        suspicions.remove(fingerprint);
        int count = earlier == null ? 1 : earlier.count() + 1;
        Crash crash = new Crash(endpointId, nowMs, nowMs + delayMs, count, allowsTrial);
        if (allowsTrial || count < crashLimit(fingerprint, nowMs)) {
            suspects.put(fingerprint, crash, nowMs + settings.suspectMs());
            return true;
        }
        // The fingerprint stays a suspect after its quarantine, so that further copies crash at most one endpoint per
        // quarantine period.
        long untilMs = nowMs + settings.quarantineMs();
        suspects.put(fingerprint, crash, untilMs + settings.suspectMs());
        quarantined.put(fingerprint, untilMs, untilMs);
        return true;
    }

    /**
     * Returns the number of crashes, without a finished request in between, that quarantines a fingerprint: one for
     * each {@value #FINISHED_PER_CRASH} requests that finished lately, within fixed bounds.
     */
    private int crashLimit(String fingerprint, long nowMs) {
        Integer finished = finishedCounts.get(fingerprint, nowMs);
        int limit = finished == null ? 0 : Math.min(finished / FINISHED_PER_CRASH, MAX_CRASH_LIMIT);
        return Math.max(limit, settings.maxCrashes());
    }

    /** Quarantines a fingerprint until the time in ms given by a peer, but at most for the configured time. */
    public void quarantine(String fingerprint, long untilMs, long nowMs) {
        if (untilMs > nowMs) {
            long boundedMs = Math.min(untilMs, nowMs + settings.quarantineMs());
            quarantined.put(fingerprint, boundedMs, boundedMs);
        }
    }

    /** Removes expired entries. */
    public void tick(long nowMs) {
        quarantined.expire(nowMs);
        suspects.expire(nowMs);
        trusted.expire(nowMs);
        suspicions.expire(nowMs);
        finishedCounts.expire(nowMs);
        interruptions.tick(nowMs);
        leaves.expire(nowMs);
    }
}

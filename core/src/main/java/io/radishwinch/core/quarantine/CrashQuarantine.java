package io.radishwinch.core.quarantine;

import java.util.HashMap;
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

    private record Crash(String endpointId, long atMs, long restartAllowedAtMs, int count) {}

    private final QuarantineSettings settings;
    private final ExpiringMap<Long> quarantined;
    private final ExpiringMap<Crash> suspects;
    private final ExpiringMap<Boolean> trusted;
    private final ExpiringMap<Crash> suspicions;
    private final ExpiringMap<Integer> finishedCounts;
    private final Map<String, Integer> running = new HashMap<>();

    /** Creates an empty quarantine. */
    public CrashQuarantine(QuarantineSettings settings) {
        this.settings = settings;
        this.quarantined = new ExpiringMap<>(settings.maxEntries());
        this.suspects = new ExpiringMap<>(settings.maxEntries());
        this.trusted = new ExpiringMap<>(settings.maxEntries());
        this.suspicions = new ExpiringMap<>(settings.maxEntries());
        this.finishedCounts = new ExpiringMap<>(settings.maxEntries());
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
        int crashes = (crash == null ? 0 : crash.count()) + (suspicion == null ? 0 : suspicion.count());
        return crashes + running.getOrDefault(fingerprint, 0) < crashLimit(fingerprint, nowMs);
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
                new Crash(endpointId, nowMs, nowMs + settings.restartDelayMs(), count),
                nowMs + SUSPICION_MS);
    }

    /**
     * Records that the fingerprint was running on an endpoint when the endpoint crashed.
     *
     * @param isReportedByPeer whether a peer reported the crash
     * @return false if the crash was already known
     */
    public boolean recordCrash(String fingerprint, String endpointId, boolean isReportedByPeer, long nowMs) {
        Crash earlier = suspects.get(fingerprint, nowMs);
        if (earlier != null && earlier.endpointId().equals(endpointId) && nowMs - earlier.atMs() < SAME_CRASH_MS) {
            return false;
        }
        trusted.remove(fingerprint);
        suspicions.remove(fingerprint);
        long delayMs = isReportedByPeer ? settings.peerRestartDelayMs() : settings.restartDelayMs();
        int count = earlier == null ? 1 : earlier.count() + 1;
        Crash crash = new Crash(endpointId, nowMs, nowMs + delayMs, count);
        if (count < crashLimit(fingerprint, nowMs)) {
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
    }
}

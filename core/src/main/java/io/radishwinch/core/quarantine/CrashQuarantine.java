package io.radishwinch.core.quarantine;

import java.util.HashMap;
import java.util.Map;

/**
 * Finds the requests that crash the endpoints that run them, by fingerprint.
 *
 * <p>A fingerprint that was running on one endpoint that crashed is a suspect, on as many as the settings allow it is
 * quarantined. Until a request with the fingerprint has finished, its crashes and running attempts together stay at
 * that number at most: at this router it costs no further endpoint, even if its caller sends many copies at once. A
 * finished request clears its fingerprint.
 */
public final class CrashQuarantine {

    /** Reports of a crash of the same endpoint within this time are about the same crash, in ms. */
    private static final long SAME_CRASH_MS = 5_000;

    private record Crash(String endpointId, long atMs, long restartAllowedAtMs, int count) {}

    private final QuarantineSettings settings;
    private final ExpiringMap<Long> quarantined;
    private final ExpiringMap<Crash> suspects;
    private final ExpiringMap<Boolean> trusted;
    private final Map<String, Integer> running = new HashMap<>();

    /** Creates an empty quarantine. */
    public CrashQuarantine(QuarantineSettings settings) {
        this.settings = settings;
        this.quarantined = new ExpiringMap<>(settings.maxEntries());
        this.suspects = new ExpiringMap<>(settings.maxEntries());
        this.trusted = new ExpiringMap<>(settings.maxEntries());
    }

    // Queries

    /** Returns whether requests with the fingerprint are refused. */
    public boolean isQuarantined(String fingerprint, long nowMs) {
        return quarantined.get(fingerprint, nowMs) != null;
    }

    /** Returns the end of the quarantine in ms, or 0 if there is none. */
    public long quarantinedUntilMs(String fingerprint, long nowMs) {
        Long untilMs = quarantined.get(fingerprint, nowMs);
        return untilMs == null ? 0 : untilMs;
    }

    /** Returns whether the fingerprint was running on an endpoint that crashed and no request with it has finished. */
    public boolean isSuspect(String fingerprint, long nowMs) {
        return suspects.get(fingerprint, nowMs) != null;
    }

    /** Returns whether another attempt may start: no more endpoints are at risk than the quarantine allows. */
    public boolean canStart(String fingerprint, long nowMs) {
        if (isQuarantined(fingerprint, nowMs)) {
            return false;
        }
        Crash crash = suspects.get(fingerprint, nowMs);
        if (crash != null && nowMs < crash.restartAllowedAtMs()) {
            return false;
        }
        if (crash == null && trusted.get(fingerprint, nowMs) != null) {
            return true;
        }
        return (crash == null ? 0 : crash.count()) + running.getOrDefault(fingerprint, 0) < settings.maxCrashes();
    }

    /** Returns the endpoint that crashed under a suspect, or an empty string if the fingerprint is no suspect. */
    public String crashedEndpointId(String fingerprint, long nowMs) {
        Crash crash = suspects.get(fingerprint, nowMs);
        return crash == null ? "" : crash.endpointId();
    }

    /** Returns the number of entries of all tables. */
    public int size() {
        return quarantined.size() + suspects.size() + trusted.size() + running.size();
    }

    // Attempts

    /** Notes that an attempt with the fingerprint started. */
    public void recordAttemptStarted(String fingerprint) {
        running.merge(fingerprint, 1, Integer::sum);
    }

    /** Notes that an attempt with the fingerprint ended, however it ended. */
    public void recordAttemptEnded(String fingerprint) {
        running.computeIfPresent(fingerprint, (key, count) -> count > 1 ? count - 1 : null);
    }

    /** Clears the fingerprint of a request that finished. */
    public void recordRequestFinished(String fingerprint, long nowMs) {
        suspects.remove(fingerprint);
        trusted.put(fingerprint, true, nowMs + settings.trustMs());
    }

    // Crashes

    /**
     * Notes that the fingerprint was running on an endpoint when it crashed.
     *
     * @param byPeer whether a peer reported the crash
     * @return whether this crash was not known before
     */
    public boolean recordCrash(String fingerprint, String endpointId, boolean byPeer, long nowMs) {
        Crash earlier = suspects.get(fingerprint, nowMs);
        if (earlier != null && earlier.endpointId().equals(endpointId) && nowMs - earlier.atMs() < SAME_CRASH_MS) {
            return false;
        }
        trusted.remove(fingerprint);
        long holdMs = byPeer ? settings.peerRestartDelayMs() : settings.restartDelayMs();
        int count = earlier == null ? 1 : earlier.count() + 1;
        Crash crash = new Crash(endpointId, nowMs, nowMs + holdMs, count);
        if (count < settings.maxCrashes()) {
            suspects.put(fingerprint, crash, nowMs + settings.suspectMs());
            return true;
        }
        // The suspicion outlasts the quarantine, so that a caller that keeps sending costs one endpoint for each
        // period.
        long untilMs = nowMs + settings.quarantineMs();
        suspects.put(fingerprint, crash, untilMs + settings.suspectMs());
        quarantined.put(fingerprint, untilMs, untilMs);
        return true;
    }

    /** Quarantines a fingerprint until a time in ms that a peer chose, at most for the configured time. */
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
    }
}

package io.radishwinch.core.quarantine;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Matches attempts whose connection or response broke with the ends of their endpoints, in either order.
 *
 * <p>A broken attempt alone does not show that its endpoint ended. It counts as a crash once the endpoint is known to
 * have ended within {@link #CONFIRMATION_MS}, and is forgotten otherwise.
 */
public final class CrashEvidence {

    /** Time within which the end of an endpoint confirms a broken attempt, in ms; covers status checks and the list. */
    public static final long CONFIRMATION_MS = 5_000;

    private record BrokenAttempt(String fingerprint, String endpointId, long atMs) {}

    private final int maxEntries;
    private final ArrayDeque<BrokenAttempt> brokenAttempts = new ArrayDeque<>();
    private final LinkedHashMap<String, Long> endedAtMs = new LinkedHashMap<>();

    /** Creates an empty record of at most {@code maxEntries} attempts; the oldest ones are forgotten first. */
    public CrashEvidence(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    /**
     * Records an attempt that broke.
     *
     * @return whether its endpoint is known to have ended, so that the attempt counts as a crash at once
     */
    public boolean recordBrokenAttempt(String fingerprint, String endpointId, long nowMs) {
        tick(nowMs);
        if (endedAtMs.containsKey(endpointId)) {
            return true;
        }
        brokenAttempts.add(new BrokenAttempt(fingerprint, endpointId, nowMs));
        if (brokenAttempts.size() > maxEntries) {
            brokenAttempts.remove();
        }
        return false;
    }

    /**
     * Records that an endpoint ended.
     *
     * @return fingerprints of the attempts that this end confirms as crashes
     */
    public List<String> recordEndpointEnded(String endpointId, long nowMs) {
        endedAtMs.remove(endpointId);
        endedAtMs.put(endpointId, nowMs);
        return confirm(endpointId, nowMs);
    }

    /** Returns the fingerprints of the attempts that broke lately at an endpoint, and forgets the attempts. */
    public List<String> confirm(String endpointId, long nowMs) {
        tick(nowMs);
        List<String> confirmed = brokenAttempts.stream()
                .filter(attempt -> attempt.endpointId().equals(endpointId))
                .map(BrokenAttempt::fingerprint)
                .distinct()
                .toList();
        brokenAttempts.removeIf(attempt -> attempt.endpointId().equals(endpointId));
        return confirmed;
    }

    /** Records that an endpoint is in use again, so that attempts which break later need another proof. */
    public void recordEndpointJoined(String endpointId) {
        endedAtMs.remove(endpointId);
    }

    /** Forgets the broken attempts of a fingerprint, as a request with it finished. */
    public void recordRequestFinished(String fingerprint) {
        brokenAttempts.removeIf(attempt -> attempt.fingerprint().equals(fingerprint));
    }

    /** Returns the number of broken attempts that are neither confirmed nor forgotten. */
    public int size() {
        return brokenAttempts.size();
    }

    /** Forgets what is older than the confirmation time. */
    public void tick(long nowMs) {
        long oldestMs = nowMs - CONFIRMATION_MS;
        while (!brokenAttempts.isEmpty() && brokenAttempts.peek().atMs() < oldestMs) {
            brokenAttempts.remove();
        }
        for (var ends = endedAtMs.entrySet().iterator(); ends.hasNext(); ) {
            Map.Entry<String, Long> oldest = ends.next();
            if (oldest.getValue() >= oldestMs) {
                return;
            }
            ends.remove();
        }
    }
}

package io.radishwinch.core.quarantine;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Attempts that were cancelled because their endpoints did not respond, until a proof that the endpoints ended.
 *
 * <p>A cut link or a silent endpoint interrupts attempts in the same way as a crash. They count for nothing once the
 * endpoint responds again in the same lifetime, or without a proof within {@link #PROOF_MS}.
 */
final class InterruptedAttempts {

    /**
     * Time within which the end of an endpoint is proven, in ms; covers the restart of a process and the expiry of its
     * entry in the list.
     */
    static final long PROOF_MS = 10_000;

    private record Interruption(String fingerprint, String endpointId) {}

    private record Evidence(boolean delaysCopies, long deadlineMs) {}

    private final int maxEntries;
    /** Evidence in the order of its deadlines. */
    private final LinkedHashMap<Interruption, Evidence> pending = new LinkedHashMap<>();

    /** Number of endpoints that delay copies, by fingerprint. */
    private final Map<String, Integer> delays = new HashMap<>();

    /** Creates an empty record of at most {@code maxEntries} attempts; the oldest ones are forgotten first. */
    InterruptedAttempts(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    /** Records an attempt; several of the same fingerprint at the same endpoint are one. */
    void record(String fingerprint, String endpointId, boolean delaysCopies, long nowMs) {
        Interruption interruption = new Interruption(fingerprint, endpointId);
        Evidence earlier = forget(interruption);
        boolean isDelaying = delaysCopies || earlier != null && earlier.delaysCopies();
        pending.put(interruption, new Evidence(isDelaying, nowMs + PROOF_MS));
        if (isDelaying) {
            delays.merge(fingerprint, 1, Integer::sum);
        }
        if (pending.size() > maxEntries) {
            forget(pending.keySet().iterator().next());
        }
    }

    /** Returns the number of endpoints with attempts of the fingerprint that delay its copies. */
    int delayCount(String fingerprint, long nowMs) {
        tick(nowMs);
        return delays.getOrDefault(fingerprint, 0);
    }

    /** Forgets the attempts at an endpoint and returns their fingerprints. */
    List<String> takeEndpoint(String endpointId, long nowMs) {
        tick(nowMs);
        List<Interruption> taken = pending.keySet().stream()
                .filter(interruption -> interruption.endpointId().equals(endpointId))
                .toList();
        taken.forEach(this::forget);
        return taken.stream().map(Interruption::fingerprint).toList();
    }

    /** Forgets the attempts with a fingerprint at an endpoint. */
    void forget(String fingerprint, String endpointId) {
        forget(new Interruption(fingerprint, endpointId));
    }

    /** Forgets the attempts with a fingerprint. */
    void forgetFingerprint(String fingerprint) {
        if (!pending.isEmpty()) {
            pending.keySet().removeIf(interruption -> interruption.fingerprint().equals(fingerprint));
            delays.remove(fingerprint);
        }
    }

    /** Returns the number of attempts without a proof. */
    int size() {
        return pending.size();
    }

    /** Forgets the attempts whose deadlines have passed. */
    void tick(long nowMs) {
        while (!pending.isEmpty()) {
            Map.Entry<Interruption, Evidence> oldest =
                    pending.entrySet().iterator().next();
            if (oldest.getValue().deadlineMs() > nowMs) {
                return;
            }
            forget(oldest.getKey());
        }
    }

    private Evidence forget(Interruption interruption) {
        Evidence evidence = pending.remove(interruption);
        if (evidence != null && evidence.delaysCopies()) {
            delays.computeIfPresent(interruption.fingerprint(), (key, count) -> count > 1 ? count - 1 : null);
        }
        return evidence;
    }
}

package io.radishwinch.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Finds parts of prompts that crash endpoints, whatever else the requests contain, and quarantines them.
 *
 * <p>A crash counts against all parts of the requests that failed with it before their answers began. An answer that
 * begins is a proof: it clears the parts of its prompt of earlier crashes. A part is suspected after enough crashes,
 * one after the other, of different requests. Crashes that the likeliest suspect explains do not count against other
 * parts. Parts that count for each of its endpoints cannot be told apart, and only requests with all of them are
 * refused.
 */
public final class PartQuarantine {

    /** Parts that are refused together until a time in ms. */
    private record Signature(Set<Long> parts, long untilMs) {}

    /**
     * Crashes that count against one part.
     *
     * @param crashes requests that failed, in the order of their crashes
     * @param endpointCount number of different endpoints among them
     * @param hasProof whether an answer to a prompt with the part has ever begun
     */
    private record Suspect(List<PromptCrash> crashes, int endpointCount, boolean hasProof) {}

    /** Of parts with the same crashes, the one in fewer requests is the likelier cause; others only ran beside it. */
    private static final Comparator<Suspect> MOST_LIKELY_FIRST = Comparator.comparing(Suspect::hasProof)
            .thenComparing(Comparator.comparingInt(Suspect::endpointCount).reversed())
            .thenComparingInt(suspect -> suspect.crashes().size());

    private final PartQuarantineSettings settings;
    private final ExpiringMap<PromptCrash> crashes;
    private final ExpiringMap<Long> provenAtMs;
    private List<Signature> signatures = List.of();

    /** Creates an empty quarantine. */
    public PartQuarantine(PartQuarantineSettings settings) {
        this.settings = settings;
        this.crashes = new ExpiringMap<>(settings.maxCrashes());
        this.provenAtMs = new ExpiringMap<>(settings.maxCrashes());
    }

    /** Returns the end of the quarantine of a prompt with these parts in ms, or 0 if it is not quarantined. */
    public long quarantinedUntilMs(List<Long> parts, long nowMs) {
        long untilMs = 0;
        for (Signature signature : signatures) {
            if (signature.untilMs > nowMs && parts.containsAll(signature.parts)) {
                untilMs = Math.max(untilMs, signature.untilMs);
            }
        }
        return untilMs;
    }

    /** Returns the quarantined combinations of parts. */
    public List<Set<Long>> quarantinedParts() {
        return signatures.stream().map(Signature::parts).toList();
    }

    /** Records a crash; does nothing if it is known. Returns whether the quarantined combinations changed. */
    public boolean recordCrash(PromptCrash crash, long nowMs) {
        String key = crash.fingerprint() + crash.endpointId();
        long expiresAtMs = crash.crashedAtMs() + settings.quarantineMs();
        if (crash.parts().isEmpty() || expiresAtMs <= nowMs || crashes.get(key, nowMs) != null) {
            return false;
        }
        crashes.put(key, crash, expiresAtMs);
        return updateSignatures();
    }

    /** Returns those of the parts that a crash after their last proof counts against. */
    public List<Long> suspectedParts(List<Long> parts) {
        if (crashes.size() == 0) {
            return List.of();
        }
        return parts.stream()
                .filter(part -> crashes.values().stream().anyMatch(crash -> countsAgainst(crash, part)))
                .toList();
    }

    /**
     * Records that an answer to a prompt with these parts has begun.
     *
     * @param atMs time of the proof; crashes until then no longer count against the parts
     * @return whether the quarantined combinations changed
     */
    public boolean recordProof(List<Long> parts, long atMs) {
        // Only proofs of suspected parts can change what is quarantined, and most answers have none.
        boolean hasSuspectedPart = !suspectedParts(parts).isEmpty();
        for (Long part : parts) {
            long latestMs = Math.max(atMs, lastProofMs(part));
            provenAtMs.put(part.toString(), latestMs, latestMs + settings.quarantineMs());
        }
        return hasSuspectedPart && updateSignatures();
    }

    /** Returns the total number of entries of all tables. */
    public int size() {
        return crashes.size() + provenAtMs.size();
    }

    /** Removes expired entries. Returns whether the quarantined combinations changed. */
    public boolean tick(long nowMs) {
        int before = crashes.size();
        crashes.expire(nowMs);
        provenAtMs.expire(nowMs);
        return crashes.size() != before && updateSignatures();
    }

    private boolean countsAgainst(PromptCrash crash, long part) {
        return crash.parts().contains(part) && crash.crashedAtMs() > lastProofMs(part);
    }

    private long lastProofMs(long part) {
        Long atMs = provenAtMs.get(Long.toString(part), Long.MIN_VALUE);
        return atMs == null ? Long.MIN_VALUE : atMs;
    }

    private boolean updateSignatures() {
        List<Signature> updated = new ArrayList<>();
        List<PromptCrash> unexplained = new ArrayList<>(crashes.values());
        unexplained.sort(Comparator.comparingLong(PromptCrash::crashedAtMs));
        while (true) {
            Optional<Suspect> suspect = suspects(unexplained).min(MOST_LIKELY_FIRST);
            if (suspect.isEmpty()) {
                break;
            }
            List<PromptCrash> explained = suspect.get().crashes;
            long lastCrashMs = explained.get(explained.size() - 1).crashedAtMs();
            Set<String> endpointIds = endpointIds(explained);
            updated.add(new Signature(commonParts(unexplained, endpointIds), lastCrashMs + settings.quarantineMs()));
            unexplained.removeIf(crash -> endpointIds.contains(crash.endpointId()));
        }
        boolean hasChanged = !updated.equals(signatures);
        signatures = updated;
        return hasChanged;
    }

    /** Returns the parts with enough crashes for a quarantine. */
    private Stream<Suspect> suspects(List<PromptCrash> unexplained) {
        Map<Long, List<PromptCrash>> byPart = new LinkedHashMap<>();
        for (PromptCrash crash : unexplained) {
            for (Long part : new LinkedHashSet<>(crash.parts())) {
                if (countsAgainst(crash, part)) {
                    byPart.computeIfAbsent(part, key -> new ArrayList<>()).add(crash);
                }
            }
        }
        return byPart.entrySet().stream()
                .filter(entry -> isConclusive(entry.getValue()))
                .map(entry -> new Suspect(
                        entry.getValue(),
                        endpointIds(entry.getValue()).size(),
                        lastProofMs(entry.getKey()) != Long.MIN_VALUE));
    }

    private static Set<String> endpointIds(List<PromptCrash> group) {
        return group.stream().map(PromptCrash::endpointId).collect(Collectors.toSet());
    }

    /**
     * Returns whether enough endpoints crashed one after the other. Endpoints that fail at the same time have a common
     * cause, and requests that ran there are no evidence.
     */
    private boolean isConclusive(List<PromptCrash> group) {
        Set<String> fingerprints = new HashSet<>();
        Set<String> endpointIds = new HashSet<>();
        long lastCrashMs = 0;
        int successive = 0;
        for (PromptCrash crash : group) {
            fingerprints.add(crash.fingerprint());
            boolean isSuccessive = endpointIds.isEmpty()
                    || crash.startedAtMs() >= lastCrashMs - settings.clockToleranceMs()
                            && crash.crashedAtMs() >= lastCrashMs + settings.minCrashIntervalMs();
            if (isSuccessive && endpointIds.add(crash.endpointId())) {
                lastCrashMs = crash.crashedAtMs();
                successive++;
            }
        }
        return successive >= settings.minCrashes() && fingerprints.size() >= settings.minRequests();
    }

    /** Returns the parts that count for each of the endpoints, possibly in different requests. */
    private Set<Long> commonParts(List<PromptCrash> unexplained, Set<String> endpointIds) {
        Map<Long, Set<String>> endpointsByPart = new LinkedHashMap<>();
        for (PromptCrash crash : unexplained) {
            for (Long part : crash.parts()) {
                if (endpointIds.contains(crash.endpointId()) && countsAgainst(crash, part)) {
                    endpointsByPart
                            .computeIfAbsent(part, key -> new HashSet<>())
                            .add(crash.endpointId());
                }
            }
        }
        endpointsByPart.values().removeIf(ids -> ids.size() < endpointIds.size());
        return Set.copyOf(endpointsByPart.keySet());
    }
}

package io.radishwinch.core.impl;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.quarantine.PartQuarantineSettings;
import io.radishwinch.core.quarantine.PromptCrash;
import java.util.ArrayDeque;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Applies the quarantine of prompt parts to the requests of this router and shares its evidence with the peers. */
final class PartQuarantineSystem {

    private final CoreState state;
    private final PartQuarantineSettings settings = PartQuarantineSettings.defaults();
    /** Failed requests whose endpoints are not known to have ended, oldest first. */
    private final ArrayDeque<PromptCrash> unconfirmedCrashes = new ArrayDeque<>();
    /** Times at which endpoints ended, oldest first. */
    private final Map<String, Long> endedAtMs = new LinkedHashMap<>();

    PartQuarantineSystem(CoreState state) {
        this.state = state;
    }

    /**
     * Records that an attempt failed because the connection to its endpoint broke. It counts as a crash once the
     * endpoint is known to have ended; endpoints also reset the connections of requests that they drop.
     */
    void recordFailure(RequestRow row, String endpointId, long nowMs) {
        row.hasProvenPrompt |= hasProof(row, nowMs);
        if (hasProof(row, nowMs) || row.spec.sharedParts().isEmpty()) {
            return;
        }
        PromptCrash crash = new PromptCrash(
                row.spec.fingerprint(), endpointId, row.spec.sharedParts(), row.attemptStartedAtMs, nowMs);
        if (endedAtMs.containsKey(endpointId)) {
            share(crash, nowMs);
        } else if (unconfirmedCrashes.size() < settings.maxCrashes()) {
            unconfirmedCrashes.add(crash);
        }
    }

    /** Counts the failed requests of an endpoint that has ended as crashes. */
    void endpointEnded(String endpointId, long nowMs) {
        endedAtMs.remove(endpointId);
        endedAtMs.put(endpointId, nowMs);
        List<PromptCrash> confirmed = unconfirmedCrashes.stream()
                .filter(crash -> crash.endpointId().equals(endpointId))
                .toList();
        unconfirmedCrashes.removeAll(confirmed);
        confirmed.forEach(crash -> share(crash, nowMs));
    }

    /** Applies a crash that this router or a peer has seen; it also shows that the endpoint has ended. */
    void applyCrash(PromptCrash crash, long nowMs) {
        if (state.partQuarantine.recordCrash(crash, nowMs)) {
            refuseQuarantined(nowMs);
        }
        endpointEnded(crash.endpointId(), nowMs);
    }

    /** Records that an answer has begun, so that the parts of its prompt do not crash endpoints. */
    void recordProof(RequestRow row, long nowMs) {
        if (row.hasProvenParts) {
            return;
        }
        row.hasProvenParts = true;
        row.hasProvenPrompt = true;
        List<Long> suspected = state.partQuarantine.suspectedParts(row.spec.sharedParts());
        if (!suspected.isEmpty()) {
            state.actions.add(new Action.ShareProvenParts(suspected));
        }
        applyProof(row.spec.sharedParts(), nowMs, nowMs);
    }

    /** Applies a proof that this router or a peer has seen at the time {@code atMs}. */
    void applyProof(List<Long> parts, long atMs, long nowMs) {
        if (state.partQuarantine.recordProof(parts, atMs)) {
            refuseQuarantined(nowMs);
        }
    }

    /** Records the proofs of running attempts and expires old evidence. */
    void tick(long nowMs) {
        expireUnconfirmed(nowMs);
        if (state.partQuarantine.tick(nowMs)) {
            refuseQuarantined(nowMs);
        }
        for (RequestRow row : List.copyOf(state.running)) {
            if (hasProof(row, nowMs)) {
                recordProof(row, nowMs);
            }
        }
    }

    private boolean hasProof(RequestRow row, long nowMs) {
        return row.firstTokenAtMs >= 0 && nowMs - row.firstTokenAtMs >= settings.proofDelayMs();
    }

    private void share(PromptCrash crash, long nowMs) {
        state.actions.add(new Action.SharePromptCrash(crash));
        applyCrash(crash, nowMs);
    }

    /** Refuses the requests with quarantined parts that no endpoint has begun to answer. */
    private void refuseQuarantined(long nowMs) {
        String quarantined = state.partQuarantine.quarantinedParts().stream()
                .map(PartQuarantineSystem::describe)
                .collect(Collectors.joining(" "));
        state.actions.add(new Action.StateChanged(
                "prompt-parts", quarantined.isEmpty() ? "none quarantined" : "quarantined: " + quarantined));
        for (RequestRow row : List.copyOf(state.requests.values())) {
            boolean hasAnswerBegun = row.isRunning() && row.firstTokenAtMs >= 0;
            if (!hasAnswerBegun && !row.hasProvenPrompt && state.partQuarantineMs(row.spec, nowMs) > 0) {
                state.refuse(row, Reason.QUARANTINED, nowMs);
            }
        }
    }

    private static String describe(Set<Long> parts) {
        return parts.stream().map(HexFormat.of()::toHexDigits).collect(Collectors.joining("+"));
    }

    private void expireUnconfirmed(long nowMs) {
        long oldestMs = nowMs - settings.confirmationMs();
        while (!unconfirmedCrashes.isEmpty() && unconfirmedCrashes.peek().crashedAtMs() < oldestMs) {
            unconfirmedCrashes.remove();
        }
        endedAtMs.values().removeIf(atMs -> atMs < oldestMs);
    }
}

package io.radishwinch.core.impl;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.quarantine.PartQuarantineSettings;
import io.radishwinch.core.quarantine.PromptCrash;
import java.util.ArrayDeque;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Applies the crash quarantine to the requests of this router and shares crashes and quarantines with its peers. */
final class QuarantineSystem {

    private final CoreState state;
    private final PartQuarantineSettings partSettings = PartQuarantineSettings.defaults();
    /** Failed requests whose endpoints are not known to have ended, oldest first. */
    private final ArrayDeque<PromptCrash> unconfirmedCrashes = new ArrayDeque<>();
    /** Times at which endpoints were removed, oldest first. */
    private final Map<String, Long> removedAtMs = new LinkedHashMap<>();

    QuarantineSystem(CoreState state) {
        this.state = state;
    }

    /** Records that a request was running on an endpoint when the endpoint crashed. */
    void recordCrash(RequestRow row, String endpointId, long nowMs) {
        String fingerprint = row.spec.fingerprint();
        if (state.quarantine.recordCrash(fingerprint, endpointId, false, nowMs)) {
            state.actions.add(new Action.ShareCrash(fingerprint, endpointId));
            applyQuarantine(fingerprint, true, nowMs);
        }
        // The row is gone if the fingerprint is quarantined now; its parts are recorded all the same.
        recordPromptCrash(row, endpointId, nowMs);
    }

    void recordPeerCrash(Event.CrashShared event, long nowMs) {
        if (state.quarantine.recordCrash(event.fingerprint(), event.endpointId(), true, nowMs)) {
            applyQuarantine(event.fingerprint(), true, nowMs);
        }
    }

    void recordPeerQuarantine(Event.QuarantineShared event, long nowMs) {
        state.quarantine.quarantine(event.fingerprint(), event.untilMs(), nowMs);
        applyQuarantine(event.fingerprint(), false, nowMs);
    }

    void recordPeerPromptCrash(Event.PromptCrashShared event, long nowMs) {
        if (state.partQuarantine.recordCrash(event.crash(), nowMs)) {
            applyPartQuarantine(nowMs);
        }
        confirmCrash(event.crash().endpointId(), nowMs);
    }

    void recordPeerProof(Event.PartsProven event, long nowMs) {
        if (state.partQuarantine.recordProof(event.parts(), event.atMs())) {
            applyPartQuarantine(nowMs);
        }
    }

    /** Records that an answer has begun, so that the parts of its prompt did not crash the endpoint. */
    void recordProof(RequestRow row, long nowMs) {
        if (row.hasProvenParts) {
            return;
        }
        row.hasProvenParts = true;
        List<Long> suspected = state.partQuarantine.suspectedParts(row.spec.sharedParts());
        if (!suspected.isEmpty()) {
            state.actions.add(new Action.ShareProvenParts(suspected));
        }
        recordPeerProof(new Event.PartsProven(row.spec.sharedParts(), nowMs), nowMs);
    }

    /** Counts the failed requests of an endpoint that has ended as crashes. */
    void confirmCrash(String endpointId, long nowMs) {
        removedAtMs.remove(endpointId);
        removedAtMs.put(endpointId, nowMs);
        List<PromptCrash> confirmed = unconfirmedCrashes.stream()
                .filter(crash -> crash.endpointId().equals(endpointId))
                .toList();
        unconfirmedCrashes.removeAll(confirmed);
        confirmed.forEach(crash -> shareCrash(crash, nowMs));
    }

    private void recordPromptCrash(RequestRow row, String endpointId, long nowMs) {
        boolean hasAnswerBegun = row.firstTokenAtMs >= 0 && nowMs - row.firstTokenAtMs >= partSettings.proofDelayMs();
        if (hasAnswerBegun || row.spec.sharedParts().isEmpty()) {
            return;
        }
        PromptCrash crash = new PromptCrash(
                row.spec.fingerprint(), endpointId, row.spec.sharedParts(), row.attemptStartedAtMs, nowMs);
        if (removedAtMs.containsKey(endpointId)) {
            shareCrash(crash, nowMs);
        } else if (unconfirmedCrashes.size() < partSettings.maxCrashes()) {
            unconfirmedCrashes.add(crash);
        }
    }

    private void shareCrash(PromptCrash crash, long nowMs) {
        state.actions.add(new Action.SharePromptCrash(crash));
        recordPeerPromptCrash(new Event.PromptCrashShared(crash), nowMs);
    }

    /** Refuses the requests with quarantined parts whose answers have not begun. */
    private void applyPartQuarantine(long nowMs) {
        String quarantined = state.partQuarantine.quarantinedParts().stream()
                .map(parts -> parts.stream().map(HexFormat.of()::toHexDigits).collect(Collectors.joining("+")))
                .collect(Collectors.joining(" "));
        state.actions.add(new Action.StateChanged(
                "prompt-parts", quarantined.isEmpty() ? "none quarantined" : "quarantined: " + quarantined));
        for (RequestRow row : List.copyOf(state.requests.values())) {
            boolean hasAnswerBegun = row.isRunning() && row.firstTokenAtMs >= 0;
            if (!hasAnswerBegun && state.partQuarantineMs(row.spec, nowMs) > 0) {
                state.refuse(row, Reason.QUARANTINED, nowMs);
            }
        }
    }

    private void expireUnconfirmed(long nowMs) {
        long oldestMs = nowMs - partSettings.confirmationMs();
        while (!unconfirmedCrashes.isEmpty() && unconfirmedCrashes.peek().crashedAtMs() < oldestMs) {
            unconfirmedCrashes.remove();
        }
        removedAtMs.values().removeIf(atMs -> atMs < oldestMs);
    }

    /** Ends the observation of attempts whose first token is long enough ago, and expires old crashes. */
    void tick(long nowMs) {
        expireUnconfirmed(nowMs);
        if (state.partQuarantine.tick(nowMs)) {
            applyPartQuarantine(nowMs);
        }
        long observationMs = state.settings.quarantine().observationMs();
        for (RequestRow row : List.copyOf(state.running)) {
            if (row.firstTokenAtMs >= 0 && nowMs - row.firstTokenAtMs >= partSettings.proofDelayMs()) {
                recordProof(row, nowMs);
            }
            if (row.isObserved && row.firstTokenAtMs >= 0 && nowMs - row.firstTokenAtMs >= observationMs) {
                state.endObservation(row);
            }
        }
    }

    /** Refuses all requests with the fingerprint if it is quarantined; running attempts are cancelled. */
    private void applyQuarantine(String fingerprint, boolean shareWithPeers, long nowMs) {
        long untilMs = state.quarantine.quarantinedUntilMs(fingerprint, nowMs);
        if (untilMs == 0) {
            return;
        }
        if (shareWithPeers) {
            state.actions.add(new Action.ShareQuarantine(fingerprint, untilMs));
            state.actions.add(new Action.StateChanged(fingerprint, "suspect to quarantined, two endpoints crashed"));
        }
        for (RequestRow row : List.copyOf(state.requests.values())) {
            if (row.spec.fingerprint().equals(fingerprint)) {
                state.refuse(row, Reason.QUARANTINED, nowMs);
            }
        }
    }
}

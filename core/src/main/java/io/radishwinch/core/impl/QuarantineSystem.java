package io.radishwinch.core.impl;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.quarantine.CrashEvidence;
import java.util.List;

/** Applies the crash quarantine to the requests of this router and shares crashes and quarantines with its peers. */
final class QuarantineSystem {

    private final CoreState state;
    private final CrashEvidence evidence;

    QuarantineSystem(CoreState state) {
        this.state = state;
        this.evidence = new CrashEvidence(state.settings.quarantine().maxEntries());
    }

    /** Records an attempt that broke at an endpoint; it counts as a crash once the endpoint is known to have ended. */
    void recordBrokenAttempt(RequestRow row, String endpointId, long nowMs) {
        String fingerprint = row.spec.fingerprint();
        if (evidence.recordBrokenAttempt(fingerprint, endpointId, nowMs)) {
            recordCrash(fingerprint, endpointId, nowMs);
        } else {
            state.quarantine.recordSuspicion(fingerprint, endpointId, nowMs);
        }
    }

    /** Counts the attempts that broke at an endpoint that has ended as crashes. */
    void endpointEnded(String endpointId, long nowMs) {
        for (String fingerprint : evidence.recordEndpointEnded(endpointId, nowMs)) {
            recordCrash(fingerprint, endpointId, nowMs);
        }
    }

    /**
     * Records an attempt that was cancelled because its endpoint does not respond. It counts as a crash once the
     * endpoint is proven to have ended; a cut link or a silence has the same effect on sound requests.
     */
    void recordInterruption(RequestRow row, String endpointId, long nowMs) {
        if (state.directory.isRemoved(endpointId)) {
            boolean isSilent = state.silentSinceMs.containsKey(endpointId);
            state.quarantine.recordInterruption(row.spec.fingerprint(), endpointId, !isSilent, nowMs);
        }
    }

    /** Counts the attempts that were cancelled at an endpoint as crashes, as it is proven to have ended. */
    void endProven(String endpointId, long nowMs) {
        for (String fingerprint : state.quarantine.takeInterrupted(endpointId, nowMs)) {
            if (state.quarantine.recordProvenInterruption(fingerprint, endpointId, nowMs)) {
                shareCrash(fingerprint, endpointId, nowMs);
            }
        }
    }

    /**
     * Applies that an endpoint leaves. The end of one that accepts no connections and is then removed from the list is
     * proven; one that is merely silent may be frozen.
     */
    void endpointLeaving(String endpointId, long nowMs) {
        if (!state.directory.isRemoved(endpointId)) {
            state.quarantine.recordLeave(endpointId, nowMs);
        } else if (!state.silentSinceMs.containsKey(endpointId)) {
            endProven(endpointId, nowMs);
        }
    }

    /** Forgets the evidence against requests at an endpoint that responds in the same lifetime. */
    void endpointJoined(String endpointId, long nowMs) {
        evidence.recordEndpointJoined(endpointId);
        state.quarantine.recordEndpointJoined(endpointId, nowMs);
    }

    void requestFinished(RequestRow row, long nowMs) {
        state.quarantine.recordRequestFinished(row.spec.fingerprint(), nowMs);
        evidence.recordRequestFinished(row.spec.fingerprint());
    }

    /** Records that a request was running on an endpoint when the endpoint crashed. */
    void recordCrash(RequestRow row, String endpointId, long nowMs) {
        recordCrash(row.spec.fingerprint(), endpointId, nowMs);
    }

    private void recordCrash(String fingerprint, String endpointId, long nowMs) {
        if (state.quarantine.recordCrash(fingerprint, endpointId, false, nowMs)) {
            shareCrash(fingerprint, endpointId, nowMs);
        }
    }

    private void shareCrash(String fingerprint, String endpointId, long nowMs) {
        state.actions.add(new Action.ShareCrash(fingerprint, endpointId));
        applyQuarantine(fingerprint, true, nowMs);
    }

    void recordPeerCrash(Event.CrashShared event, long nowMs) {
        if (state.quarantine.recordCrash(event.fingerprint(), event.endpointId(), true, nowMs)) {
            applyQuarantine(event.fingerprint(), true, nowMs);
        }
        // A peer reports a crash only once it knows that the endpoint ended. It may have lost its own link to the
        // endpoint, so that its report says nothing about attempts that break here later.
        for (String fingerprint : evidence.confirm(event.endpointId(), nowMs)) {
            recordCrash(fingerprint, event.endpointId(), nowMs);
        }
    }

    void recordPeerQuarantine(Event.QuarantineShared event, long nowMs) {
        state.quarantine.quarantine(event.fingerprint(), event.untilMs(), nowMs);
        applyQuarantine(event.fingerprint(), false, nowMs);
    }

    /** Ends the observation of suspects that have run for the observation time after their first token. */
    void tick(long nowMs) {
        evidence.tick(nowMs);
        long observationMs = state.settings.quarantine().observationMs();
        for (RequestRow row : state.running) {
            if (row.isObserved && row.firstTokenAtMs >= 0 && nowMs - row.firstTokenAtMs >= observationMs) {
                state.endObservation(row);
            }
        }
    }

    /**
     * Refuses all requests with the fingerprint if it is quarantined, or holds those that outlast it; running attempts
     * are cancelled.
     */
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
                state.refuseOrHold(row, nowMs);
            }
        }
    }
}

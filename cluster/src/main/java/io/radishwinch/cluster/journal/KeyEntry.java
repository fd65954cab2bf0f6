package io.radishwinch.cluster.journal;

import java.util.List;

/**
 * State of one key.
 *
 * @param state state of the last grant
 * @param fingerprint hash of the content of the last grant
 * @param nonce nonce of the last grant
 * @param intentMs log time of the intent, from which the retention counts, in ms since the epoch
 * @param sequence sequence number of the batch that changed the entry last
 * @param outcome encoded response, or null if there is none or it is stored only in its snapshot
 * @param abandonedNonces nonces of released grants, newest last
 */
record KeyEntry(
        State state,
        Hash128 fingerprint,
        String nonce,
        long intentMs,
        long sequence,
        byte[] outcome,
        List<String> abandonedNonces) {

    /**
     * Maximum number of abandoned nonces. Evicting one can leave a key in doubt if its intent is recorded late, but
     * never causes a second run. With 8, one of 10,000 random schedules of resent requests during outages left a key in
     * doubt.
     */
    static final int MAX_ABANDONED_NONCES = 16;

    /** State of a grant. */
    enum State {
        INTENT,
        OUTCOME,
        /** The request ran; its outcome was too large to keep. */
        OUTCOME_NOT_KEPT,
        ABANDONED
    }

    boolean isExpired(long retentionMs, long atMs) {
        return intentMs + retentionMs <= atMs;
    }

    int outcomeBytes() {
        return outcome == null ? 0 : outcome.length;
    }

    KeyEntry withoutOutcome() {
        return new KeyEntry(state, fingerprint, nonce, intentMs, sequence, null, abandonedNonces);
    }
}

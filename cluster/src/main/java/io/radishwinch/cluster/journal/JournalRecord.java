package io.radishwinch.cluster.journal;

/** One record of a batch. */
sealed interface JournalRecord {

    /** Returns the hash of the caller and the key. */
    Hash128 key();

    /** Returns the nonce of the grant. */
    String nonce();

    /** Returns an upper bound of the encoded size, in bytes. */
    int sizeBytes();

    /** Grants the single run of a key to the router that created the nonce. */
    record Intent(Hash128 key, Hash128 fingerprint, String nonce) implements JournalRecord {
        @Override
        public int sizeBytes() {
            return 64 + nonce.length();
        }
    }

    /** Ends a run. {@code isKept} is false if the outcome was too large to keep; the content is then empty. */
    record Outcome(Hash128 key, String nonce, byte[] content, boolean isKept) implements JournalRecord {
        @Override
        public int sizeBytes() {
            return 64 + nonce.length() + content.length;
        }
    }

    /** Releases a grant, and voids an intent with the same nonce that is recorded later. */
    record Abandoned(Hash128 key, String nonce) implements JournalRecord {
        @Override
        public int sizeBytes() {
            return 64 + nonce.length();
        }
    }
}

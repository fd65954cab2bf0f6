package io.radishwinch.cluster.journal;

/** One record of a batch. */
sealed interface JournalRecord {

    /** Returns the hash of the caller and the key. */
    Hash128 key();

    /** Returns the mark of the grant. */
    String nonce();

    /** Returns an upper bound of the encoded size, in bytes. */
    int sizeBytes();

    /** Grants the single run of a key to the router that made the nonce. */
    record Intent(Hash128 key, Hash128 fingerprint, String nonce) implements JournalRecord {
        @Override
        public int sizeBytes() {
            return 64 + nonce.length();
        }
    }

    /** Ends a run. An outcome without content was too large to keep. */
    record Outcome(Hash128 key, String nonce, byte[] content, boolean isKept) implements JournalRecord {
        @Override
        public int sizeBytes() {
            return 64 + nonce.length() + content.length;
        }
    }

    /** Gives a grant back. Also voids an intent with this nonce that is recorded later. */
    record Abandoned(Hash128 key, String nonce) implements JournalRecord {
        @Override
        public int sizeBytes() {
            return 64 + nonce.length();
        }
    }
}

package io.radishwinch.cluster.journal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The first 128 bits of a SHA-256 hash.
 *
 * @param high first 64 bits
 * @param low next 64 bits
 */
record Hash128(long high, long low) {

    /** Returns the hash of an idempotency key within the namespace of its caller. */
    static Hash128 ofKey(String caller, String idempotencyKey) {
        byte[] callerBytes = caller.getBytes(StandardCharsets.UTF_8);
        MessageDigest digest = sha256();
        // The length prefix prevents two different pairs from producing the same bytes.
        digest.update(
                ByteBuffer.allocate(Integer.BYTES).putInt(callerBytes.length).array());
        digest.update(callerBytes);
        return of(digest.digest(idempotencyKey.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns the hash of a request's fingerprint. */
    static Hash128 ofFingerprint(byte[] fingerprint) {
        return of(sha256().digest(fingerprint));
    }

    /** Returns the shard of this key. */
    int shard(int shardCount) {
        return (int) Long.remainderUnsigned(high, shardCount);
    }

    private static Hash128 of(byte[] digest) {
        ByteBuffer buffer = ByteBuffer.wrap(digest);
        return new Hash128(buffer.getLong(), buffer.getLong());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must provide it", e);
        }
    }
}

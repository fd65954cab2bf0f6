package io.radishwinch.config.contract;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes and compares bearer keys; the configuration contains only their hashes. */
public final class KeyHash {
    private KeyHash() {}

    /** Returns the SHA-256 hash of a key, in lower-case hexadecimal. */
    public static String of(String key) {
        return HexFormat.of().formatHex(sha256(key.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns the SHA-256 digest of the bytes. */
    public static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must support it", e);
        }
    }

    /** Returns whether two hashes are equal, in time that does not depend on the position of a difference. */
    public static boolean matches(String expected, String actual) {
        return MessageDigest.isEqual(
                expected.getBytes(StandardCharsets.US_ASCII), actual.getBytes(StandardCharsets.US_ASCII));
    }
}

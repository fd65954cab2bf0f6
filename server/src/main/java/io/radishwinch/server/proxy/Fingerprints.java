package io.radishwinch.server.proxy;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Fingerprints by which a request that is sent again is recognised. */
final class Fingerprints {
    private static final int BYTES = 16;

    private Fingerprints() {}

    /** Returns the fingerprint of a request by its caller, path and content. */
    static String of(String caller, String path, Buffer body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(caller.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            digest.update(path.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            digest.update(body.getBytes());
            return HexFormat.of().formatHex(digest.digest(), 0, BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}

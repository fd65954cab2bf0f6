package io.radishwinch.server;

import io.radishwinch.core.quarantine.PromptCrash;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/** Encodes crashes and prompt parts as entries that routers exchange. Thread-safe. */
final class PromptCrashCodec {

    /** Maximum number of parts in an entry; further ones are dropped. */
    static final int MAX_PARTS = 32;

    private PromptCrashCodec() {}

    /** Returns the duration of the attempt in ms, followed by the parts. */
    static byte[] encode(PromptCrash crash) {
        List<Long> parts =
                crash.parts().subList(0, Math.min(MAX_PARTS, crash.parts().size()));
        ByteBuffer value = ByteBuffer.allocate(Long.BYTES * (1 + parts.size()));
        value.putLong(crash.crashedAtMs() - crash.startedAtMs());
        parts.forEach(value::putLong);
        return value.array();
    }

    /** Decodes an entry. Returns a description of the error if it is malformed. */
    static Either<String, PromptCrash> decode(String fingerprint, String endpointId, byte[] value, long crashedAtMs) {
        if (value.length < 2 * Long.BYTES || value.length % Long.BYTES != 0) {
            return Either.left("value has " + value.length + " bytes, expected a multiple of 8, at least 16");
        }
        ByteBuffer buffer = ByteBuffer.wrap(value);
        long durationMs = buffer.getLong();
        if (durationMs < 0) {
            return Either.left("duration is " + durationMs + " ms, expected 0 or more");
        }
        List<Long> parts = new ArrayList<>();
        while (buffer.hasRemaining()) {
            parts.add(buffer.getLong());
        }
        return Either.right(new PromptCrash(fingerprint, endpointId, parts, crashedAtMs - durationMs, crashedAtMs));
    }

    /** Returns the key of the entry for a part. */
    static String partKey(long part) {
        return HexFormat.of().toHexDigits(part);
    }

    /** Parses the key of the entry for a part. Returns a description of the error if it is malformed. */
    static Either<String, Long> parsePartKey(String key) {
        try {
            return Either.right(HexFormat.fromHexDigitsToLong(key));
        } catch (IllegalArgumentException e) {
            return Either.left("key is no hash: " + e.getMessage());
        }
    }
}

package io.radishwinch.server.http;

import io.radishwinch.config.contract.KeyHash;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/** Computes fingerprints of requests, and hashes of prompt prefixes for cache affinity. */
public final class PromptHashes {
    /** Size of the block of prompt that each prefix hash adds, in bytes; about 64 tokens. */
    static final int BLOCK_BYTES = 256;

    private static final int MAX_BLOCKS = 16;
    private static final int BYTES_PER_TOKEN = 4;
    private static final int FINGERPRINT_BYTES = 16;

    private PromptHashes() {}

    /** Estimates the number of tokens of a text as one per four bytes of UTF-8, at least 1. */
    static int estimateTokens(int utf8Bytes) {
        return Math.max(1, utf8Bytes / BYTES_PER_TOKEN);
    }

    /**
     * Returns a hash that is equal for requests of one caller with the same target and content.
     *
     * @param target pool or path of the request
     */
    public static String fingerprint(String caller, String target, byte[] content) {
        ByteArrayOutputStream all = new ByteArrayOutputStream(content.length + 64);
        all.writeBytes(caller.getBytes(StandardCharsets.UTF_8));
        all.write(0);
        all.writeBytes(target.getBytes(StandardCharsets.UTF_8));
        all.write(0);
        all.writeBytes(content);
        return HexFormat.of().formatHex(KeyHash.sha256(all.toByteArray()), 0, FINGERPRINT_BYTES);
    }

    /** Returns a hash of the identifier of a part of a prompt. */
    public static long partHash(String partId) {
        return ByteBuffer.wrap(KeyHash.sha256(partId.getBytes(StandardCharsets.UTF_8)))
                .getLong();
    }

    /**
     * Returns hashes of the prefixes of the prompt, shortest first. Each prefix is one block longer than the previous
     * one.
     */
    static List<Long> prefixHashes(byte[] prompt) {
        List<Long> hashes = new ArrayList<>();
        long previous = 0;
        for (int end = BLOCK_BYTES; end <= prompt.length && hashes.size() < MAX_BLOCKS; end += BLOCK_BYTES) {
            ByteBuffer block = ByteBuffer.allocate(Long.BYTES + BLOCK_BYTES);
            block.putLong(previous).put(prompt, end - BLOCK_BYTES, BLOCK_BYTES);
            previous = ByteBuffer.wrap(KeyHash.sha256(block.array())).getLong();
            hashes.add(previous);
        }
        return hashes;
    }
}

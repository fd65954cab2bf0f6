package io.radishwinch.server.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Answer of a non-repeatable call as the journal keeps it.
 *
 * @param status HTTP status
 * @param contentType media type, or an empty string
 * @param body content; empty if it was too large to be kept
 * @param isBodyStored whether the content was kept
 */
record StoredResponse(int status, String contentType, byte[] body, boolean isBodyStored) {
    /** Largest body that is kept, in bytes; base64 and the other fields fit into a journal outcome of 64 KiB. */
    static final int MAX_BODY_BYTES = 45_000;

    private static final int UNKNOWN_STATUS = 0;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns an answer that keeps the body if it is small enough. */
    static StoredResponse of(int status, String contentType, byte[] body) {
        boolean stored = body.length <= MAX_BODY_BYTES;
        return new StoredResponse(status, contentType, stored ? body : new byte[0], stored);
    }

    /** Returns the record of a call whose outcome is not known and never will be. */
    static StoredResponse unknown() {
        return new StoredResponse(UNKNOWN_STATUS, "", new byte[0], false);
    }

    /** Returns whether it is known how the call ended. */
    boolean isOutcomeKnown() {
        return status != UNKNOWN_STATUS;
    }

    byte[] encode() {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("status", status);
        node.put("contentType", contentType);
        node.put("body", body);
        node.put("stored", isBodyStored);
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of plain values can always be written", e);
        }
    }

    /**
     * Decodes an outcome.
     *
     * @throws IllegalArgumentException if the bytes are no outcome
     */
    static StoredResponse decode(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return new StoredResponse(
                    node.path("status").asInt(UNKNOWN_STATUS),
                    node.path("contentType").asText(""),
                    node.path("body").binaryValue(),
                    node.path("stored").asBoolean());
        } catch (IOException e) {
            throw new IllegalArgumentException("not a stored answer", e);
        }
    }
}

package io.radishwinch.server.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Response of a non-repeatable call in the form that the journal stores.
 *
 * @param status HTTP status
 * @param contentType media type, or an empty string
 * @param body response body; empty if it was too large to be stored
 * @param isBodyStored whether the body was stored
 */
record StoredResponse(int status, String contentType, byte[] body, boolean isBodyStored) {
    /**
     * Maximum size of a stored body, in bytes; with base64 encoding and the other fields it fits into a journal outcome
     * of 64 KiB.
     */
    static final int MAX_BODY_BYTES = 45_000;

    private static final System.Logger LOG = System.getLogger(StoredResponse.class.getName());
    private static final int UNKNOWN_STATUS = 0;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns a response that contains the body if it is at most {@link #MAX_BODY_BYTES} long. */
    static StoredResponse of(int status, String contentType, byte[] body) {
        boolean stored = body.length <= MAX_BODY_BYTES;
        return new StoredResponse(status, contentType, stored ? body : new byte[0], stored);
    }

    /** Returns the record of a call whose outcome can no longer be determined. */
    static StoredResponse unknown() {
        return new StoredResponse(UNKNOWN_STATUS, "", new byte[0], false);
    }

    /** Returns whether the outcome of the call is known. */
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
            throw new IllegalStateException("failed to encode stored response as JSON", e);
        }
    }

    /** Decodes an outcome of the journal. The outcome is unknown if a field is missing or malformed. */
    static StoredResponse decode(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            byte[] body = node.path("body").binaryValue();
            if (body != null
                    && node.path("status").isInt()
                    && node.path("stored").isBoolean()) {
                return new StoredResponse(
                        node.path("status").intValue(),
                        node.path("contentType").asText(""),
                        body,
                        node.path("stored").booleanValue());
            }
            LOG.log(System.Logger.Level.WARNING, "stored response lacks its status, its body or the field stored");
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "malformed stored response", e);
        }
        return unknown();
    }
}

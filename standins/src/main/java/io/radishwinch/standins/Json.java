package io.radishwinch.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.UncheckedIOException;

/** JSON helper methods for the stand-ins. */
final class Json {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses a JSON document.
     *
     * @throws IllegalArgumentException if the body is not valid JSON
     */
    static JsonNode read(Buffer body) {
        try {
            return MAPPER.readTree(body.getBytes());
        } catch (IOException e) {
            throw new IllegalArgumentException("malformed JSON: " + e.getMessage(), e);
        }
    }

    static Buffer write(JsonNode node) {
        try {
            return Buffer.buffer(MAPPER.writeValueAsBytes(node));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the node as one line of newline-delimited JSON. */
    static Buffer line(JsonNode node) {
        return write(node).appendByte((byte) '\n');
    }

    /**
     * Returns the value of a field.
     *
     * @throws IllegalArgumentException if the field is missing or null
     */
    static JsonNode required(JsonNode node, String field) {
        JsonNode value = node.get(field);
        if (value == null || value.isNull()) {
            throw new IllegalArgumentException("required field " + field + " is missing or null");
        }
        return value;
    }
}

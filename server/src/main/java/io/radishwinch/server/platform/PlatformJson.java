package io.radishwinch.server.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.StoreVersion;
import java.io.IOException;
import java.util.Optional;

/** Parses the JSON messages of the platform protocol; see docs/protocols.md. */
final class PlatformJson {
    private static final ObjectMapper JSON = new ObjectMapper();

    private PlatformJson() {}

    /** Parses an object of a response that names the given era of the store. */
    static PlatformClient.StoredObject parseObject(JsonNode node, long era) throws IOException {
        return new PlatformClient.StoredObject(
                required(node, "key").asText(),
                parseVersion(node, "version", era),
                required(node, "value").binaryValue(),
                node.path("nonce").asText());
    }

    /** Parses a change of a watch whose response names the given era of the store. */
    static PlatformClient.Change parseChange(byte[] line, int offset, int length, long era) throws IOException {
        JsonNode node = JSON.readTree(line, offset, length);
        JsonNode value = node.path("value");
        return new PlatformClient.Change(
                required(node, "key").asText(),
                parseVersion(node, "version", era),
                value.isTextual() ? Optional.of(value.binaryValue()) : Optional.empty(),
                node.path("nonce").asText());
    }

    static PlatformClient.Vm parseVm(JsonNode node) throws IOException {
        return new PlatformClient.Vm(
                required(node, "id").asText(),
                required(node, "dataCentre").asText(),
                required(node, "host").asText(),
                required(node, "port").asInt(),
                required(node, "role").asText(),
                node.path("service").asText(),
                node.path("leaving").asBoolean());
    }

    /** Parses a revision of the given era. */
    static long parseVersion(JsonNode node, String field, long era) throws IOException {
        try {
            return StoreVersion.of(era, required(node, field).asLong());
        } catch (IllegalArgumentException e) {
            throw new IOException(field + ": " + e.getMessage(), e);
        }
    }

    static JsonNode required(JsonNode node, String field) throws IOException {
        JsonNode value = node.get(field);
        if (value == null || value.isNull()) {
            throw new IOException("required field " + field + " is missing or null");
        }
        return value;
    }
}

package io.radishwinch.server.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.radishwinch.cluster.platform.PlatformClient;
import java.io.IOException;
import java.util.Optional;

/** Parses the JSON messages of the platform protocol; see docs/protocols.md. */
final class PlatformJson {
    private static final ObjectMapper JSON = new ObjectMapper();

    private PlatformJson() {}

    static PlatformClient.StoredObject parseObject(JsonNode node) throws IOException {
        return new PlatformClient.StoredObject(
                required(node, "key").asText(),
                required(node, "version").asLong(),
                required(node, "value").binaryValue(),
                node.path("nonce").asText());
    }

    static PlatformClient.Change parseChange(byte[] line, int offset, int length) throws IOException {
        JsonNode node = JSON.readTree(line, offset, length);
        JsonNode value = node.path("value");
        return new PlatformClient.Change(
                required(node, "key").asText(),
                required(node, "version").asLong(),
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

    static JsonNode required(JsonNode node, String field) throws IOException {
        JsonNode value = node.get(field);
        if (value == null || value.isNull()) {
            throw new IOException("required field " + field + " is missing or null");
        }
        return value;
    }
}

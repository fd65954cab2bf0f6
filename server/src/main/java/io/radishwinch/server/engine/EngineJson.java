package io.radishwinch.server.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.LoadReport;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** JSON bodies of the engine protocol, docs/protocols.md. */
final class EngineJson {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_REPORTED_ITEMS = 10_000;

    private EngineJson() {}

    static Buffer attempt(AttemptRequest request, long nowMs) {
        ObjectNode node = JSON.createObjectNode();
        node.put("request", request.requestId());
        node.put("epoch", request.epoch());
        node.put("model", request.model());
        ArrayNode stages = node.putArray("stages");
        for (AttemptRequest.StageTarget stage : request.stages()) {
            ObjectNode target = stages.addObject();
            address(target, stage.address());
            target.put("first", stage.layers().first());
            target.put("end", stage.layers().end());
            if (!stage.kvSources().isEmpty()) {
                ArrayNode sources = target.putArray("kvSources");
                stage.kvSources().forEach(source -> address(sources.addObject(), source));
            }
        }
        node.put("prompt", request.prompt());
        node.put("promptTokens", request.promptTokens());
        ArrayNode prefixes = node.putArray("prefixHashes");
        request.prefixHashes().forEach(prefixes::add);
        ArrayNode delivered = node.putArray("delivered");
        request.delivered().forEach(delivered::add);
        node.put("maxNewTokens", request.maxNewTokens());
        node.put("priority", request.priority());
        node.put("remainingMs", request.deadlineMs() - nowMs);
        return bytes(node);
    }

    static Buffer order(long fencingNumber, EngineOrder order) {
        ObjectNode node = JSON.createObjectNode();
        node.put("fencing", fencingNumber);
        ObjectNode body = node.putObject("order");
        if (order instanceof EngineOrder.LoadLayers load) {
            body.put("type", "load-layers");
            body.put("model", load.model());
            body.put("first", load.layers().first());
            body.put("end", load.layers().end());
        } else if (order instanceof EngineOrder.LoadAdapter load) {
            body.put("type", "load-adapter");
            body.put("model", load.model());
            body.put("adapter", load.adapter());
        } else if (order instanceof EngineOrder.LoadVersion load) {
            body.put("type", "load-version");
            body.put("model", load.model());
            body.put("version", load.weightsVersion());
        } else if (order instanceof EngineOrder.ChangeRole change) {
            body.put("type", "change-role");
            body.put("role", change.role().name().toLowerCase(Locale.ROOT));
        }
        return bytes(node);
    }

    static Buffer kv(KvRange range, EndpointAddress source) {
        ObjectNode node = JSON.createObjectNode();
        node.put("request", range.requestId());
        node.put("model", range.model());
        node.put("first", range.layers().first());
        node.put("end", range.layers().end());
        if (source != null) {
            address(node.putObject("source"), source);
        }
        return bytes(node);
    }

    static EngineLoad load(EndpointAddress endpoint, Buffer body, long nowMs) throws IOException {
        JsonNode node = JSON.readTree(body.getBytes());
        List<Holding> holdings = new ArrayList<>();
        for (JsonNode holding : required(node, "holdings")) {
            bound(holdings.size());
            holdings.add(new Holding(required(holding, "model").asText(), layers(holding)));
        }
        List<EngineLoad.Link> links = new ArrayList<>();
        for (JsonNode link : node.path("links")) {
            bound(links.size());
            links.add(new EngineLoad.Link(
                    required(link, "to").asText(),
                    required(link, "delayUs").asLong(),
                    required(link, "tokensPerS").asDouble()));
        }
        LoadReport report = new LoadReport(
                endpoint.endpointId(),
                holdings,
                required(node, "running").asInt(),
                required(node, "queued").asInt(),
                node.path("kvFreeBytes").asLong(),
                node.path("layerTimeUs").asDouble(),
                nowMs - Math.max(0, node.path("ageMs").asLong()));
        return new EngineLoad(
                report,
                node.path("acceleratorKind").asText("none"),
                required(node, "slots").asInt(),
                node.path("honoursFencing").asBoolean(),
                node.path("checksOrders").asBoolean(),
                node.path("leaving").asBoolean(),
                links);
    }

    static CacheEvents cacheEvents(Buffer body, long from) throws IOException {
        JsonNode node = JSON.readTree(body.getBytes());
        Set<Long> added = new LinkedHashSet<>();
        Set<Long> removed = new LinkedHashSet<>();
        boolean gap = node.path("gap").asBoolean();
        long previous = from;
        for (JsonNode event : required(node, "events")) {
            long sequence = required(event, "seq").asLong();
            gap |= sequence != previous + 1;
            previous = sequence;
            for (JsonNode hash : event.path("added")) {
                bound(added.size());
                added.add(hash.asLong());
                removed.remove(hash.asLong());
            }
            for (JsonNode hash : event.path("removed")) {
                bound(removed.size());
                removed.add(hash.asLong());
                added.remove(hash.asLong());
            }
        }
        long next = required(node, "next").asLong();
        return new CacheEvents(next, gap || next != previous, List.copyOf(added), List.copyOf(removed));
    }

    static LayerRange layers(JsonNode node) throws IOException {
        try {
            return new LayerRange(
                    required(node, "first").asInt(), required(node, "end").asInt());
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    static JsonNode required(JsonNode node, String field) throws IOException {
        JsonNode value = node.get(field);
        if (value == null || value.isNull()) {
            throw new IOException("field " + field + " is missing");
        }
        return value;
    }

    private static void bound(int count) throws IOException {
        if (count >= MAX_REPORTED_ITEMS) {
            throw new IOException("more than " + MAX_REPORTED_ITEMS + " items");
        }
    }

    private static void address(ObjectNode node, EndpointAddress address) {
        node.put("endpoint", address.endpointId());
        node.put("host", address.host());
        node.put("port", address.port());
    }

    private static Buffer bytes(JsonNode node) {
        try {
            return Buffer.buffer(JSON.writeValueAsBytes(node));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

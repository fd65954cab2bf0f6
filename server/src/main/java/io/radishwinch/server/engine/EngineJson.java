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

/** Encodes and decodes the JSON bodies of the engine protocol; see docs/protocols.md. */
final class EngineJson {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_REPORTED_ITEMS = 10_000;

    private EngineJson() {}

    static Buffer encodeAttempt(AttemptRequest request, long nowMs) {
        ObjectNode node = JSON.createObjectNode();
        node.put("request", request.requestId());
        node.put("epoch", request.epoch());
        node.put("model", request.model());
        ArrayNode stages = node.putArray("stages");
        for (AttemptRequest.StageTarget stage : request.stages()) {
            ObjectNode target = stages.addObject();
            putAddress(target, stage.address());
            target.put("first", stage.layers().first());
            target.put("end", stage.layers().end());
            if (!stage.kvSources().isEmpty()) {
                ArrayNode sources = target.putArray("kvSources");
                stage.kvSources().forEach(source -> putAddress(sources.addObject(), source));
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
        return toBuffer(node);
    }

    static Buffer encodeOrder(long fencingToken, EngineOrder order) {
        ObjectNode node = JSON.createObjectNode();
        node.put("fencing", fencingToken);
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
        return toBuffer(node);
    }

    static Buffer encodeKvRange(KvRange range, EndpointAddress source) {
        ObjectNode node = JSON.createObjectNode();
        node.put("request", range.requestId());
        node.put("model", range.model());
        node.put("first", range.layers().first());
        node.put("end", range.layers().end());
        if (source != null) {
            putAddress(node.putObject("source"), source);
        }
        return toBuffer(node);
    }

    /**
     * Returns whether an order was accepted.
     *
     * @param isOk whether the status of the response is that of an accepted order
     * @throws IOException if the response is not that to an order with the fencing token
     */
    static boolean decodeOrderResult(Buffer body, long fencingToken, boolean isOk) throws IOException {
        JsonNode node = JSON.readTree(body.getBytes());
        boolean isAccepted = requiredField(node, "accepted").asBoolean();
        long fencing = requiredField(node, "fencing").asLong();
        boolean isMatching = isAccepted ? fencing == fencingToken : fencing >= fencingToken;
        if (isAccepted != isOk || !isMatching) {
            throw new IOException("response to another call than the order with fencing token " + fencingToken);
        }
        return isAccepted;
    }

    static EngineLoad decodeLoad(EndpointAddress endpoint, Buffer body, long nowMs) throws IOException {
        JsonNode node = JSON.readTree(body.getBytes());
        List<Holding> holdings = new ArrayList<>();
        for (JsonNode holding : requiredField(node, "holdings")) {
            checkItemCount(holdings.size());
            holdings.add(new Holding(requiredField(holding, "model").asText(), decodeLayers(holding)));
        }
        List<EngineLoad.Link> links = new ArrayList<>();
        for (JsonNode link : node.path("links")) {
            checkItemCount(links.size());
            links.add(new EngineLoad.Link(
                    requiredField(link, "to").asText(),
                    requiredField(link, "delayUs").asLong(),
                    requiredField(link, "tokensPerS").asDouble()));
        }
        LoadReport report = new LoadReport(
                endpoint.endpointId(),
                holdings,
                requiredField(node, "running").asInt(),
                requiredField(node, "queued").asInt(),
                node.path("kvFreeBytes").asLong(),
                node.path("layerTimeUs").asDouble(),
                nowMs - Math.max(0, node.path("ageMs").asLong()));
        return new EngineLoad(
                report,
                node.path("acceleratorKind").asText("none"),
                requiredField(node, "slots").asInt(),
                node.path("honoursFencing").asBoolean(),
                node.path("checksOrders").asBoolean(),
                node.path("leaving").asBoolean(),
                links);
    }

    static CacheEvents decodeCacheEvents(Buffer body, long from) throws IOException {
        JsonNode node = JSON.readTree(body.getBytes());
        Set<Long> added = new LinkedHashSet<>();
        Set<Long> removed = new LinkedHashSet<>();
        boolean hasGap = node.path("gap").asBoolean();
        long previous = from;
        for (JsonNode event : requiredField(node, "events")) {
            long sequence = requiredField(event, "seq").asLong();
            hasGap |= sequence != previous + 1;
            previous = sequence;
            for (JsonNode hash : event.path("added")) {
                checkItemCount(added.size());
                added.add(hash.asLong());
                removed.remove(hash.asLong());
            }
            for (JsonNode hash : event.path("removed")) {
                checkItemCount(removed.size());
                removed.add(hash.asLong());
                added.remove(hash.asLong());
            }
        }
        long next = requiredField(node, "next").asLong();
        return new CacheEvents(next, hasGap || next != previous, List.copyOf(added), List.copyOf(removed));
    }

    static LayerRange decodeLayers(JsonNode node) throws IOException {
        try {
            return new LayerRange(
                    requiredField(node, "first").asInt(),
                    requiredField(node, "end").asInt());
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    static JsonNode requiredField(JsonNode node, String field) throws IOException {
        JsonNode value = node.get(field);
        if (value == null || value.isNull()) {
            throw new IOException("required field " + field + " is missing or null");
        }
        return value;
    }

    private static void checkItemCount(int count) throws IOException {
        if (count >= MAX_REPORTED_ITEMS) {
            throw new IOException("array has more than " + MAX_REPORTED_ITEMS + " items");
        }
    }

    private static void putAddress(ObjectNode node, EndpointAddress address) {
        node.put("endpoint", address.endpointId());
        node.put("host", address.host());
        node.put("port", address.port());
    }

    private static Buffer toBuffer(JsonNode node) {
        try {
            return Buffer.buffer(JSON.writeValueAsBytes(node));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

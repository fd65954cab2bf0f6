package io.radishwinch.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.Base64;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Writes and reads summaries as JSON with histograms in the compressed form of HdrHistogram.
 *
 * <p>A value that would exceed the bound is coarsened step by step: first the slots of callers that were served in
 * full, then the slots of all callers, then the histograms of callers with few requests, then those callers themselves,
 * which are counted together. Counts over all callers never change.
 */
public final class DaySummaryCodec {

    /** Largest encoded summary, in bytes; equal to the largest value of the platform. */
    public static final int MAX_BYTES = 1_000_000;

    private static final String SCHEMA = "day-summary/v1";
    private static final int MAX_HISTOGRAM_CHARS = 100_000;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Map<String, Reason> REASONS = reasons();

    private DaySummaryCodec() {}

    // Writing

    /** Encodes a summary in at most {@link #MAX_BYTES} bytes. */
    public static byte[] encode(DaySummary summary) {
        return encode(summary, MAX_BYTES);
    }

    /**
     * Encodes a summary, leaving out detail until it fits.
     *
     * @param maxBytes largest result, in bytes
     * @throws IllegalArgumentException if the counts over all callers alone do not fit
     */
    public static byte[] encode(DaySummary summary, int maxBytes) {
        byte[] bytes = write(summary, Detail.FULL);
        int callers = summary.callers().size();
        Detail[] steps = {
            new Detail(SlotDetail.UNSERVED, callers, callers, DaySummary.MAX_EVENTS),
            new Detail(SlotDetail.NONE, callers, callers, DaySummary.MAX_EVENTS),
            new Detail(SlotDetail.NONE, callers / 4, callers, DaySummary.MAX_EVENTS),
            new Detail(SlotDetail.NONE, 0, callers, DaySummary.MAX_EVENTS),
            new Detail(SlotDetail.NONE, 0, callers / 4, DaySummary.MAX_EVENTS / 4),
            new Detail(SlotDetail.NONE, 0, 0, 0)
        };
        for (int step = 0; bytes.length > maxBytes && step < steps.length; step++) {
            bytes = write(summary, steps[step]);
        }
        if (bytes.length > maxBytes) {
            throw new IllegalArgumentException(
                    "a summary needs " + bytes.length + " bytes, more than the bound of " + maxBytes);
        }
        return bytes;
    }

    private enum SlotDetail {
        ALL,
        UNSERVED,
        NONE
    }

    /**
     * What to write.
     *
     * @param slots whose slots to write
     * @param histograms number of callers, largest first, whose histograms are written
     * @param callers number of callers, largest first, that are told apart
     * @param events number of events
     */
    private record Detail(SlotDetail slots, int histograms, int callers, int events) {
        static final Detail FULL =
                new Detail(SlotDetail.ALL, Integer.MAX_VALUE, Integer.MAX_VALUE, DaySummary.MAX_EVENTS);
    }

    private static byte[] write(DaySummary summary, Detail detail) {
        ObjectNode root = JSON.createObjectNode();
        root.put("schema", SCHEMA);
        root.put("date", summary.day().date().toString());
        root.put("zone", summary.day().zone().getId());
        root.put("coarsened", summary.isCoarsened() || detail != Detail.FULL);
        writeCallers(root.putObject("callers"), summary, detail);
        writeSlots(root.putObject("slots"), summary);
        writeCharges(root.putObject("charges"), summary.charges());
        ArrayNode events = root.putArray("events");
        summary.events().stream().limit(detail.events()).forEach(event -> events.addArray()
                .add(event.atMs())
                .add(event.kind().wireName())
                .add(event.subject())
                .add(event.text()));
        long droppedNow = Math.max(0, summary.events().size() - (long) detail.events());
        root.put("droppedEvents", summary.droppedEvents() + droppedNow);
        ObjectNode coverage = root.putObject("coverage");
        for (Coverage covered : summary.coverage()) {
            coverage.putObject(covered.routerId())
                    .put("slots", base64(covered.slots().toByteArray()))
                    .put("recordedUntilMs", covered.recordedUntilMs())
                    .put("handedOver", covered.handedOver());
        }
        try {
            return JSON.writeValueAsBytes(root);
        } catch (IOException e) {
            throw new IllegalStateException("a summary could not be written as JSON", e);
        }
    }

    private static void writeCallers(ObjectNode node, DaySummary summary, Detail detail) {
        List<String> bySize = summary.callers().keySet().stream()
                .sorted(Comparator.comparingLong((String caller) -> -offered(summary, caller))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
        Set<String> withHistograms = new HashSet<>(bySize.subList(0, Math.min(bySize.size(), detail.histograms())));
        DaySummary.Builder folded = DaySummary.builder(summary.day());
        for (int i = 0; i < bySize.size(); i++) {
            String caller = bySize.get(i);
            if (i < detail.callers() && !caller.equals(DaySummary.OTHER)) {
                ObjectNode ranks = node.putObject(caller);
                summary.callers()
                        .get(caller)
                        .forEach((rank, totals) -> writeTotals(
                                ranks.putObject(rank.wireName()),
                                totals,
                                detail.slots(),
                                withHistograms.contains(caller)));
            } else {
                summary.callers().get(caller).forEach((rank, totals) -> folded.totals(DaySummary.OTHER, rank)
                        .add(totals));
            }
        }
        folded.callers.forEach((other, byRank) -> {
            ObjectNode ranks = node.putObject(other);
            byRank.forEach(
                    (rank, totals) -> writeTotals(ranks.putObject(rank.wireName()), totals, SlotDetail.NONE, true));
        });
    }

    private static long offered(DaySummary summary, String caller) {
        return summary.callers().get(caller).values().stream()
                .mapToLong(ServiceTotals::offered)
                .sum();
    }

    private static void writeTotals(ObjectNode node, ServiceTotals totals, SlotDetail slots, boolean histograms) {
        node.put("offered", totals.offered);
        node.put("admitted", totals.admitted);
        node.put("withinDeadline", totals.withinDeadline);
        node.put("promptTokens", totals.promptTokens);
        node.put("answerTokens", totals.answerTokens);
        node.put("retriedRequests", totals.retriedRequests);
        node.put("worstTokenIntervalMs", totals.worstTokenIntervalMs);
        writeReasons(node, "refused", totals.refused);
        writeReasons(node, "failed", totals.failed);
        writeReasons(node, "retries", totals.retries);
        if (histograms && totals.firstToken.count() > 0) {
            node.put("firstToken", base64(totals.firstToken.toBytes()));
        }
        if (histograms && totals.tokenInterval.count() > 0) {
            node.put("tokenInterval", base64(totals.tokenInterval.toBytes()));
        }
        if (slots == SlotDetail.ALL || (slots == SlotDetail.UNSERVED && totals.unserved() > 0)) {
            ArrayNode array = node.putArray("slots");
            totals.slots.forEach((slot, service) ->
                    array.addArray().add(slot).add(service.tokens()).add(service.unserved()));
        }
    }

    private static void writeReasons(ObjectNode node, String field, Map<Reason, Long> counts) {
        if (!counts.isEmpty()) {
            ObjectNode target = node.putObject(field);
            counts.forEach((reason, count) -> target.put(reason.wireName(), count));
        }
    }

    private static void writeSlots(ObjectNode node, DaySummary summary) {
        for (Rank rank : Rank.values()) {
            ArrayNode array = node.putArray(rank.wireName());
            for (int slot = 0; slot < summary.day().count(); slot++) {
                SlotTotals totals = summary.slot(rank, slot);
                if (!totals.equals(SlotTotals.ZERO)) {
                    array.addArray()
                            .add(slot)
                            .add(totals.offered())
                            .add(totals.entitled())
                            .add(totals.admitted())
                            .add(totals.withinDeadline())
                            .add(totals.retries())
                            .add(totals.tokens());
                }
            }
        }
    }

    private static void writeCharges(ObjectNode node, ChargeTotals charges) {
        node.put("run", charges.run);
        node.put("refused", charges.refused);
        node.put("replayed", charges.replayed);
        node.put("inDoubt", charges.inDoubt);
        node.put("doubled", charges.doubled);
        charges.inDoubtIds.forEach(node.putArray("inDoubtIds")::add);
        charges.doubledIds.forEach(node.putArray("doubledIds")::add);
    }

    // Reading

    /**
     * Decodes a summary.
     *
     * @throws IOException if the bytes are not a summary of this schema
     */
    public static DaySummary decode(byte[] bytes) throws IOException {
        try {
            return read(JSON.readTree(bytes));
        } catch (IllegalArgumentException | DateTimeException e) {
            throw new IOException("not a day summary: " + e.getMessage(), e);
        }
    }

    private static DaySummary read(JsonNode root) {
        if (root == null || !root.path("schema").asText().equals(SCHEMA)) {
            throw new IllegalArgumentException("the schema is not " + SCHEMA);
        }
        DaySlots day = new DaySlots(
                LocalDate.parse(root.path("date").asText()),
                ZoneId.of(root.path("zone").asText()));
        DaySummary.Builder builder = DaySummary.builder(day);
        builder.coarsened = root.path("coarsened").asBoolean();
        builder.droppedEvents = root.path("droppedEvents").asLong();
        for (Map.Entry<String, JsonNode> caller : root.path("callers").properties()) {
            for (Map.Entry<String, JsonNode> rank : caller.getValue().properties()) {
                Rank.fromWireName(rank.getKey())
                        .ifPresent(r -> readTotals(rank.getValue(), builder.totals(caller.getKey(), r), day));
            }
        }
        for (Rank rank : Rank.values()) {
            for (JsonNode row : root.path("slots").path(rank.wireName())) {
                builder.addSlot(
                        rank,
                        slot(row, day),
                        new SlotTotals(
                                row.path(1).asLong(),
                                row.path(2).asLong(),
                                row.path(3).asLong(),
                                row.path(4).asLong(),
                                row.path(5).asLong(),
                                row.path(6).asLong()));
            }
        }
        readCharges(root.path("charges"), builder.charges);
        for (JsonNode row : root.path("events")) {
            FleetEvent.Kind.fromWireName(row.path(1).asText())
                    .ifPresent(kind -> builder.add(new FleetEvent(
                            row.path(0).asLong(),
                            kind,
                            row.path(2).asText(),
                            row.path(3).asText())));
        }
        for (Map.Entry<String, JsonNode> entry : root.path("coverage").properties()) {
            JsonNode value = entry.getValue();
            builder.add(new Coverage(
                    entry.getKey(),
                    BitSet.valueOf(bytes(value.path("slots"))),
                    value.path("recordedUntilMs").asLong(),
                    value.path("handedOver").asBoolean()));
        }
        return builder.build();
    }

    private static void readTotals(JsonNode node, ServiceTotals totals, DaySlots day) {
        ServiceTotals read = new ServiceTotals();
        read.offered = node.path("offered").asLong();
        read.admitted = node.path("admitted").asLong();
        read.withinDeadline = node.path("withinDeadline").asLong();
        read.promptTokens = node.path("promptTokens").asLong();
        read.answerTokens = node.path("answerTokens").asLong();
        read.retriedRequests = node.path("retriedRequests").asLong();
        read.worstTokenIntervalMs = node.path("worstTokenIntervalMs").asDouble();
        readReasons(node.path("refused"), read.refused);
        readReasons(node.path("failed"), read.failed);
        readReasons(node.path("retries"), read.retries);
        if (node.has("firstToken")) {
            read.firstToken.add(LatencyHistogram.fromBytes(bytes(node.path("firstToken"))));
        }
        if (node.has("tokenInterval")) {
            read.tokenInterval.add(LatencyHistogram.fromBytes(bytes(node.path("tokenInterval"))));
        }
        for (JsonNode row : node.path("slots")) {
            read.slots.put(
                    slot(row, day),
                    new ServiceTotals.SlotService(
                            row.path(1).asLong(), row.path(2).asLong()));
        }
        totals.add(read);
    }

    private static void readCharges(JsonNode node, ChargeTotals charges) {
        ChargeTotals read = new ChargeTotals();
        read.run = node.path("run").asLong();
        read.refused = node.path("refused").asLong();
        read.replayed = node.path("replayed").asLong();
        read.inDoubt = node.path("inDoubt").asLong();
        read.doubled = node.path("doubled").asLong();
        node.path("inDoubtIds").forEach(id -> read.inDoubtIds.add(id.asText()));
        node.path("doubledIds").forEach(id -> read.doubledIds.add(id.asText()));
        charges.add(read);
    }

    /** Reads counts by reason; reasons that only a newer release knows are left out. */
    private static void readReasons(JsonNode node, Map<Reason, Long> counts) {
        node.properties().forEach(entry -> {
            Reason reason = REASONS.get(entry.getKey());
            if (reason != null) {
                counts.put(reason, entry.getValue().asLong());
            }
        });
    }

    private static int slot(JsonNode row, DaySlots day) {
        int slot = row.path(0).asInt(-1);
        if (slot < 0 || slot >= day.count()) {
            throw new IllegalArgumentException("slot " + slot + " is not in the day");
        }
        return slot;
    }

    private static String base64(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    private static byte[] bytes(JsonNode node) {
        String text = node.asText();
        if (text.length() > MAX_HISTOGRAM_CHARS) {
            throw new IllegalArgumentException("a binary field has " + text.length() + " characters");
        }
        return Base64.getDecoder().decode(text);
    }

    private static Map<String, Reason> reasons() {
        Map<String, Reason> reasons = new HashMap<>();
        for (Reason reason : Reason.values()) {
            reasons.put(reason.wireName(), reason);
        }
        return Map.copyOf(reasons);
    }
}

package io.radishwinch.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.Base64;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/**
 * Encodes and decodes summaries as JSON, with histograms in HdrHistogram's compressed encoding.
 *
 * <p>A summary that exceeds the size limit loses detail step by step. The encoder omits the slots of callers without
 * unserved requests, then the slots of all callers, then the histograms of the callers with the fewest requests, and
 * finally counts those callers together. Counts and histograms over all callers of a rank never change.
 */
public final class DaySummaryCodec {

    /** Largest encoded summary, in bytes; the platform stores no larger values. */
    public static final int MAX_BYTES = 1_000_000;

    static final String SCHEMA = "day-summary/v1";
    private static final int MAX_HISTOGRAM_CHARS = 100_000;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Map<String, Reason> REASONS = reasonsByWireName();

    private DaySummaryCodec() {}

    /**
     * Encodes a summary in at most {@link #MAX_BYTES} bytes.
     *
     * @throws IllegalArgumentException if the counts over all callers alone exceed the limit
     */
    public static byte[] encode(DaySummary summary) {
        return encode(summary, MAX_BYTES);
    }

    /**
     * Encodes a summary and omits detail until it fits. The memory needed is proportional to the limit, not to the
     * summary.
     *
     * @param maxBytes largest result, in bytes
     * @throws IllegalArgumentException if the counts over all callers alone exceed {@code maxBytes}
     */
    public static byte[] encode(DaySummary summary, int maxBytes) {
        return DaySummaryWriter.write(summary, maxBytes);
    }

    /**
     * Decodes a summary.
     *
     * @throws IOException if the bytes do not contain a summary of schema {@code day-summary/v1}
     */
    public static DaySummary decode(byte[] bytes) throws IOException {
        try {
            return read(JSON.readTree(bytes));
        } catch (IllegalArgumentException | DateTimeException e) {
            throw new IOException("cannot decode the day summary: " + e.getMessage(), e);
        }
    }

    private static DaySummary read(JsonNode root) {
        if (root == null || !root.path("schema").asText().equals(SCHEMA)) {
            throw new IllegalArgumentException("the schema field is missing or differs from " + SCHEMA);
        }
        DaySlots day = new DaySlots(
                LocalDate.parse(root.path("date").asText()),
                ZoneId.of(root.path("zone").asText()));
        DaySummary.Builder builder = DaySummary.builder(day);
        builder.isCoarsened = root.path("coarsened").asBoolean();
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
                        readSlot(row, day),
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
            builder.add(new RecordingCoverage(
                    entry.getKey(),
                    BitSet.valueOf(decodeBase64(value.path("slots"))),
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
            read.firstToken.add(LatencyHistogram.fromBytes(decodeBase64(node.path("firstToken"))));
        }
        if (node.has("tokenInterval")) {
            read.tokenInterval.add(LatencyHistogram.fromBytes(decodeBase64(node.path("tokenInterval"))));
        }
        for (JsonNode row : node.path("slots")) {
            read.slots.add(readSlot(row, day), row.path(1).asLong(), row.path(2).asLong());
        }
        totals.add(read);
    }

    private static void readCharges(JsonNode node, ChargeTotals charges) {
        ChargeTotals read = new ChargeTotals();
        read.run = node.path("run").asLong();
        read.refused = node.path("refused").asLong();
        read.replayed = node.path("replayed").asLong();
        read.inDoubt = node.path("inDoubt").asLong();
        read.duplicates = node.path("doubled").asLong();
        node.path("inDoubtIds").forEach(id -> read.inDoubtIds.add(id.asText()));
        node.path("doubledIds").forEach(id -> read.duplicateIds.add(id.asText()));
        charges.add(read);
    }

    /** Reads counts by reason and ignores unknown reasons, which newer releases may write. */
    private static void readReasons(JsonNode node, Map<Reason, Long> counts) {
        node.properties().forEach(entry -> {
            Reason reason = REASONS.get(entry.getKey());
            if (reason != null) {
                counts.put(reason, entry.getValue().asLong());
            }
        });
    }

    private static int readSlot(JsonNode row, DaySlots day) {
        int slot = row.path(0).asInt(-1);
        if (slot < 0 || slot >= day.slotCount()) {
            throw new IllegalArgumentException("slot " + slot + " is outside the day");
        }
        return slot;
    }

    private static byte[] decodeBase64(JsonNode node) {
        String text = node.asText();
        if (text.length() > MAX_HISTOGRAM_CHARS) {
            throw new IllegalArgumentException("a binary field is too long: " + text.length() + " characters");
        }
        return Base64.getDecoder().decode(text);
    }

    private static Map<String, Reason> reasonsByWireName() {
        Map<String, Reason> reasons = new HashMap<>();
        for (Reason reason : Reason.values()) {
            reasons.put(reason.wireName(), reason);
        }
        return Map.copyOf(reasons);
    }
}

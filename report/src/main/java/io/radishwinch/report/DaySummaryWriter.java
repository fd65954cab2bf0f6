package io.radishwinch.report;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Writes a summary as JSON within a size limit, with reduced detail if necessary. */
final class DaySummaryWriter {
    private static final JsonFactory JSON = new JsonFactory();

    private final DaySummary summary;
    private final DetailLevel detail;
    private final JsonGenerator json;

    private DaySummaryWriter(DaySummary summary, DetailLevel detail, JsonGenerator json) {
        this.summary = summary;
        this.detail = detail;
        this.json = json;
    }

    /** Callers whose slots are written: all, those with unserved requests, or none. */
    private enum SlotDetail {
        ALL,
        UNSERVED,
        NONE
    }

    /**
     * Amount of detail to write.
     *
     * @param slots callers whose slots are written
     * @param histograms number of callers whose histograms are written, those with the most requests first
     * @param callers number of callers listed by name, those with the most requests first
     * @param events number of events written
     */
    private record DetailLevel(SlotDetail slots, int histograms, int callers, int events) {
        static final DetailLevel FULL =
                new DetailLevel(SlotDetail.ALL, Integer.MAX_VALUE, Integer.MAX_VALUE, DaySummary.MAX_EVENTS);

        static List<DetailLevel> reductionSteps(int callers) {
            return List.of(
                    FULL,
                    new DetailLevel(SlotDetail.UNSERVED, callers, callers, DaySummary.MAX_EVENTS),
                    new DetailLevel(SlotDetail.NONE, callers, callers, DaySummary.MAX_EVENTS),
                    new DetailLevel(SlotDetail.NONE, callers / 4, callers, DaySummary.MAX_EVENTS),
                    new DetailLevel(SlotDetail.NONE, callers / 16, callers, DaySummary.MAX_EVENTS),
                    new DetailLevel(SlotDetail.NONE, 0, callers, DaySummary.MAX_EVENTS),
                    new DetailLevel(SlotDetail.NONE, callers / 8, callers / 2, DaySummary.MAX_EVENTS),
                    new DetailLevel(SlotDetail.NONE, callers / 4, callers / 4, DaySummary.MAX_EVENTS / 4),
                    new DetailLevel(SlotDetail.NONE, 0, callers / 8, DaySummary.MAX_EVENTS / 4),
                    new DetailLevel(SlotDetail.NONE, 0, 0, 0));
        }
    }

    /** Signals that the output exceeds its limit, so that writing stops before it takes more memory. */
    private static final class MaxBytesExceededException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    /** Buffers bytes up to a limit. */
    private static final class BoundedOutputStream extends OutputStream {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private final int maxBytes;

        BoundedOutputStream(int maxBytes) {
            this.maxBytes = maxBytes;
        }

        @Override
        public void write(int b) throws IOException {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] source, int offset, int length) throws IOException {
            if (bytes.size() + length > maxBytes) {
                throw new MaxBytesExceededException();
            }
            bytes.write(source, offset, length);
        }
    }

    static byte[] write(DaySummary summary, int maxBytes) {
        for (DetailLevel detail : DetailLevel.reductionSteps(summary.callers().size())) {
            BoundedOutputStream output = new BoundedOutputStream(maxBytes);
            try {
                JsonGenerator json = JSON.createGenerator(output);
                new DaySummaryWriter(summary, detail, json).writeAll();
                json.close();
                return output.bytes.toByteArray();
            } catch (MaxBytesExceededException e) {
                continue;
            } catch (IOException e) {
                throw new IllegalStateException("cannot write the day summary as JSON", e);
            }
        }
        throw new IllegalArgumentException(
                "the day summary exceeds " + maxBytes + " bytes at the lowest level of detail");
    }

    private void writeAll() throws IOException {
        json.writeStartObject();
        json.writeStringField("schema", DaySummaryCodec.SCHEMA);
        json.writeStringField("date", summary.day().date().toString());
        json.writeStringField("zone", summary.day().zone().getId());
        json.writeBooleanField("coarsened", summary.isCoarsened() || detail != DetailLevel.FULL);
        writeCallers();
        json.writeObjectFieldStart("slots");
        for (Rank rank : Rank.values()) {
            writeSlots(rank);
        }
        json.writeEndObject();
        writeCharges(summary.charges());
        writeEvents();
        json.writeObjectFieldStart("coverage");
        for (RecordingCoverage coverage : summary.recordingCoverage()) {
            json.writeObjectFieldStart(coverage.routerId());
            json.writeBinaryField("slots", coverage.slots().toByteArray());
            json.writeNumberField("recordedUntilMs", coverage.recordedUntilMs());
            json.writeBooleanField("handedOver", coverage.isFinal());
            json.writeEndObject();
        }
        json.writeEndObject();
        json.writeEndObject();
    }

    /** Writes callers sorted by name, so that equal summaries have equal encodings. */
    private void writeCallers() throws IOException {
        Map<String, Integer> positionByCaller = new HashMap<>();
        summary.callers().keySet().stream()
                .sorted(Comparator.comparingLong((String caller) -> -offered(caller))
                        .thenComparing(Comparator.naturalOrder()))
                .forEach(caller -> positionByCaller.put(caller, positionByCaller.size()));
        json.writeObjectFieldStart("callers");
        DaySummary.Builder otherCallers = DaySummary.builder(summary.day());
        for (Map.Entry<String, Map<Rank, ServiceTotals>> entry :
                summary.callers().entrySet()) {
            String caller = entry.getKey();
            boolean isNamed =
                    positionByCaller.get(caller) < detail.callers() && !caller.equals(DaySummary.OTHER_CALLERS);
            boolean hasHistograms = positionByCaller.get(caller) < detail.histograms();
            if (isNamed) {
                writeCaller(caller, entry.getValue(), detail.slots(), hasHistograms);
            }
            entry.getValue().forEach((rank, totals) -> {
                if (!isNamed) {
                    otherCallers.totals(DaySummary.OTHER_CALLERS, rank).add(totals);
                } else if (!hasHistograms) {
                    otherCallers.totals(DaySummary.OTHER_CALLERS, rank).addHistograms(totals);
                }
            });
        }
        for (Map.Entry<String, Map<Rank, ServiceTotals>> entry : otherCallers.callers.entrySet()) {
            writeCaller(entry.getKey(), entry.getValue(), SlotDetail.NONE, true);
        }
        json.writeEndObject();
    }

    private long offered(String caller) {
        return summary.callers().get(caller).values().stream()
                .mapToLong(ServiceTotals::offered)
                .sum();
    }

    private void writeCaller(String caller, Map<Rank, ServiceTotals> byRank, SlotDetail slots, boolean hasHistograms)
            throws IOException {
        json.writeObjectFieldStart(caller);
        for (Map.Entry<Rank, ServiceTotals> entry : new TreeMap<>(byRank).entrySet()) {
            json.writeObjectFieldStart(entry.getKey().wireName());
            writeTotals(entry.getValue(), slots, hasHistograms);
            json.writeEndObject();
        }
        json.writeEndObject();
    }

    private void writeTotals(ServiceTotals totals, SlotDetail slots, boolean hasHistograms) throws IOException {
        json.writeNumberField("offered", totals.offered);
        json.writeNumberField("admitted", totals.admitted);
        json.writeNumberField("withinDeadline", totals.withinDeadline);
        json.writeNumberField("promptTokens", totals.promptTokens);
        json.writeNumberField("answerTokens", totals.answerTokens);
        json.writeNumberField("retriedRequests", totals.retriedRequests);
        json.writeNumberField("worstTokenIntervalMs", totals.worstTokenIntervalMs);
        writeReasons("refused", totals.refused);
        writeReasons("failed", totals.failed);
        writeReasons("retries", totals.retries);
        if (hasHistograms && totals.firstToken.count() > 0) {
            json.writeBinaryField("firstToken", totals.firstToken.toBytes());
        }
        if (hasHistograms && totals.tokenInterval.count() > 0) {
            json.writeBinaryField("tokenInterval", totals.tokenInterval.toBytes());
        }
        if (slots == SlotDetail.ALL || (slots == SlotDetail.UNSERVED && totals.unserved() > 0)) {
            json.writeArrayFieldStart("slots");
            for (int slot = 0; slot < totals.slots.endSlot(); slot++) {
                if (totals.tokens(slot) != 0 || totals.unserved(slot) != 0) {
                    writeRow(slot, totals.tokens(slot), totals.unserved(slot));
                }
            }
            json.writeEndArray();
        }
    }

    private void writeReasons(String field, Map<Reason, Long> counts) throws IOException {
        if (!counts.isEmpty()) {
            json.writeObjectFieldStart(field);
            for (Map.Entry<Reason, Long> entry : counts.entrySet()) {
                json.writeNumberField(entry.getKey().wireName(), entry.getValue());
            }
            json.writeEndObject();
        }
    }

    private void writeSlots(Rank rank) throws IOException {
        json.writeArrayFieldStart(rank.wireName());
        for (int slot = 0; slot < summary.day().slotCount(); slot++) {
            SlotTotals totals = summary.slot(rank, slot);
            if (!totals.equals(SlotTotals.ZERO)) {
                writeRow(
                        slot,
                        totals.offered(),
                        totals.entitled(),
                        totals.admitted(),
                        totals.withinDeadline(),
                        totals.retries(),
                        totals.tokens());
            }
        }
        json.writeEndArray();
    }

    private void writeRow(long... numbers) throws IOException {
        json.writeStartArray();
        for (long number : numbers) {
            json.writeNumber(number);
        }
        json.writeEndArray();
    }

    private void writeEvents() throws IOException {
        json.writeArrayFieldStart("events");
        for (FleetEvent event : summary.events().stream().limit(detail.events()).toList()) {
            json.writeStartArray();
            json.writeNumber(event.atMs());
            json.writeString(event.kind().wireName());
            json.writeString(event.subject());
            json.writeString(event.text());
            json.writeEndArray();
        }
        json.writeEndArray();
        long droppedNow = Math.max(0, summary.events().size() - (long) detail.events());
        json.writeNumberField("droppedEvents", summary.droppedEvents() + droppedNow);
    }

    private void writeCharges(ChargeTotals charges) throws IOException {
        json.writeObjectFieldStart("charges");
        json.writeNumberField("run", charges.run);
        json.writeNumberField("refused", charges.refused);
        json.writeNumberField("replayed", charges.replayed);
        json.writeNumberField("inDoubt", charges.inDoubt);
        json.writeNumberField("doubled", charges.duplicates);
        writeIds("inDoubtIds", charges.inDoubtIds);
        writeIds("doubledIds", charges.duplicateIds);
        json.writeEndObject();
    }

    private void writeIds(String field, Collection<String> ids) throws IOException {
        json.writeArrayFieldStart(field);
        for (String id : ids) {
            json.writeString(id);
        }
        json.writeEndArray();
    }
}

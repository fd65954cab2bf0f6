package io.radishwinch.server;

import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformClient.PutResult;
import io.radishwinch.cluster.platform.PlatformClient.StoredObject;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.report.DayRecorder;
import io.radishwinch.report.DaySummary;
import io.radishwinch.report.DaySummaryCodec;
import io.radishwinch.report.FleetEvent;
import io.radishwinch.report.RequestOutcome;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/** Records the events of this router's day and writes day summaries to the platform; runs on the control thread. */
final class DaySummaryService {
    private static final System.Logger LOG = System.getLogger(DaySummaryService.class.getName());
    private static final String KEY_PREFIX = "days/";
    private static final int PAGE_SIZE = 20;

    /** Maximum size of a summary, in bytes; one write per 5 min then stays below 3 KB/s of control traffic. */
    private static final int MAX_SUMMARY_BYTES = 600_000;

    private final Vertx vertx;
    private final PlatformClient platform;
    private final String processId;
    private final DayRecorder recorder;
    private String lastWrittenKey = "";
    private long lastWrittenVersion = PlatformClient.ABSENT;

    /**
     * Creates a service. Each process writes its own object, so that it does not replace the summary of an earlier one.
     */
    DaySummaryService(Vertx vertx, PlatformClient platform, String processId, ZoneId zone) {
        this.vertx = vertx;
        this.platform = platform;
        this.processId = processId;
        this.recorder = new DayRecorder(processId, zone, System.currentTimeMillis());
    }

    void record(RequestOutcome outcome) {
        recorder.record(outcome);
    }

    void recordRetry(String caller, Rank rank, Reason reason) {
        recorder.recordRetry(caller, rank, reason, System.currentTimeMillis());
    }

    void record(FleetEvent.Kind kind, String subject, String text) {
        recorder.record(new FleetEvent(System.currentTimeMillis(), kind, subject, text));
    }

    /** Records that the router is alive, and writes the final summary of a day that has ended. */
    void tick() {
        recorder.tick(System.currentTimeMillis())
                .ifPresent(
                        finalSummary -> writeSummary(finalSummary).subscribe().with(done -> {}, e -> {}));
    }

    /** Writes the summary of the day so far. */
    Uni<Void> writeSummary() {
        return writeSummary(recorder.summary(System.currentTimeMillis()));
    }

    /** Writes the final summary of this process. */
    Uni<Void> writeFinalSummary() {
        return writeSummary(recorder.finalSummary(System.currentTimeMillis()));
    }

    /** Returns the stored summaries of all routers for a day; for today, with the current one of this router. */
    Multi<DaySummary> readSummaries(LocalDate day) {
        String localKey = key(day);
        Multi<DaySummary> stored = list(KEY_PREFIX + day + "/", "")
                .onItem()
                .transformToMulti(objects -> Multi.createFrom().iterable(objects))
                .filter(object -> !(object.key().equals(localKey) && isToday(day)))
                .onItem()
                .transformToMultiAndConcatenate(DaySummaryService::decode);
        if (!isToday(day)) {
            return stored;
        }
        return Multi.createBy()
                .concatenating()
                .streams(stored, Multi.createFrom().item(() -> recorder.summary(System.currentTimeMillis())));
    }

    /** Returns the summary of this router for the current day. */
    DaySummary todaySummary() {
        return recorder.summary(System.currentTimeMillis());
    }

    private boolean isToday(LocalDate day) {
        return recorder.day().date().equals(day);
    }

    private Uni<List<StoredObject>> list(String prefix, String afterKey) {
        return platform.list(prefix, afterKey, PAGE_SIZE).onItem().transformToUni(page -> {
            if (!page.hasMore() || page.objects().isEmpty()) {
                return Uni.createFrom().item(page.objects());
            }
            String lastKey = page.objects().get(page.objects().size() - 1).key();
            return list(prefix, lastKey).map(rest -> {
                List<StoredObject> all = new ArrayList<>(page.objects());
                all.addAll(rest);
                return all;
            });
        });
    }

    private static Multi<DaySummary> decode(StoredObject object) {
        try {
            return Multi.createFrom().item(DaySummaryCodec.decode(object.value()));
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "failed to decode day summary {0}: {1}", object.key(), e.getMessage());
            return Multi.createFrom().empty();
        }
    }

    private Uni<Void> writeSummary(DaySummary summary) {
        String key = key(summary.day().date());
        if (!key.equals(lastWrittenKey)) {
            lastWrittenKey = key;
            lastWrittenVersion = PlatformClient.ABSENT;
        }
        long expectedVersion = lastWrittenVersion;
        return encode(summary)
                .flatMap(value -> platform.put(
                        key, expectedVersion, value, UUID.randomUUID().toString()))
                .invoke(result -> applyWriteResult(key, result))
                .replaceWithVoid();
    }

    /** Encodes on a worker thread, because encoding takes long if there are many callers. */
    private Uni<byte[]> encode(DaySummary summary) {
        return Uni.createFrom()
                .completionStage(() -> vertx.executeBlocking(() -> DaySummaryCodec.encode(summary, MAX_SUMMARY_BYTES))
                        .toCompletionStage());
    }

    private void applyWriteResult(String key, PutResult result) {
        if (!key.equals(lastWrittenKey)) {
            return;
        }
        if (result instanceof PutResult.Written written) {
            lastWrittenVersion = written.version();
        } else if (result instanceof PutResult.Conflict conflict) {
            lastWrittenVersion = conflict.current().map(StoredObject::version).orElse(PlatformClient.ABSENT);
        }
    }

    private String key(LocalDate day) {
        return KEY_PREFIX + day + "/" + processId;
    }
}

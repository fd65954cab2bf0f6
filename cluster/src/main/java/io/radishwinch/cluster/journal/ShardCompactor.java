package io.radishwinch.cluster.journal;

import io.radishwinch.cluster.journal.Manifest.Segment;
import io.radishwinch.cluster.platform.PlatformClient.PutResult;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Merges the batches of a shard into snapshot segments and deletes the replaced objects.
 *
 * <p>The order makes a crash at any point harmless: segments are created first, then the manifest is replaced by a
 * conditional update, and only then are batches and replaced segments deleted. If two routers compact at the same time,
 * one of them fails the conditional update.
 */
final class ShardCompactor {
    private final ShardLog log;
    private final ShardStore store;
    private final JournalSettings settings;
    private final NonceSource nonces;

    private boolean isCompacting;
    private boolean isDeletingBatches;
    private boolean isCompactionRequested;

    ShardCompactor(ShardLog log, ShardStore store, JournalSettings settings, NonceSource nonces) {
        this.log = log;
        this.store = store;
        this.settings = settings;
        this.nonces = nonces;
    }

    boolean isRunning() {
        return isCompacting || isDeletingBatches;
    }

    /** Makes the next commit compact the shard, even if few batches have accumulated. */
    void requestCompaction() {
        isCompactionRequested = true;
    }

    /** Starts a compaction if enough batches have accumulated. */
    void compactIfDue() {
        long batches = log.lastSequence() - log.manifest().floorSequence();
        if (isCompacting || (batches < settings.compactAfterBatches() && !(isCompactionRequested && batches > 0))) {
            return;
        }
        isCompactionRequested = false;
        isCompacting = true;
        Manifest before = log.manifest();
        ShardIndex index = log.index();
        index.removeExpired();
        List<Segment> kept = new ArrayList<>();
        List<Segment> replaced = new ArrayList<>();
        for (Segment segment : before.segments()) {
            boolean isExpired = segment.newestIntentMs() + settings.retentionMs() <= index.logMs();
            (isExpired ? replaced : kept).add(segment);
        }
        long afterSequence = before.floorSequence();
        while (!kept.isEmpty() && !kept.get(kept.size() - 1).isSealed()) {
            Segment last = kept.remove(kept.size() - 1);
            replaced.add(last);
            afterSequence = last.afterSequence();
        }
        List<Map<Hash128, KeyEntry>> parts = split(index.changedAfter(afterSequence));
        Compaction compaction =
                new Compaction(before, log.manifestVersion(), log.lastSequence(), index.logMs(), kept, replaced);
        createSegments(compaction, parts.iterator(), afterSequence);
    }

    /** Splits entries, which are ordered by their batch, into parts that fit into one object each. */
    private static List<Map<Hash128, KeyEntry>> split(Map<Hash128, KeyEntry> entries) {
        Map<Long, Integer> bytesBySequence = new LinkedHashMap<>();
        entries.values()
                .forEach(entry ->
                        bytesBySequence.merge(entry.sequence(), JournalCodec.entrySizeBytes(entry), Integer::sum));
        List<Map<Hash128, KeyEntry>> parts = new ArrayList<>();
        Map<Hash128, KeyEntry> part = new LinkedHashMap<>();
        long sequence = -1;
        int bytes = 0;
        for (Map.Entry<Hash128, KeyEntry> keyed : entries.entrySet()) {
            if (keyed.getValue().sequence() != sequence) {
                sequence = keyed.getValue().sequence();
                int nextBytes = bytesBySequence.get(sequence);
                if (!part.isEmpty() && bytes + nextBytes > JournalSettings.MAX_SEGMENT_BYTES) {
                    parts.add(part);
                    part = new LinkedHashMap<>();
                    bytes = 0;
                }
                bytes += nextBytes;
            }
            part.put(keyed.getKey(), keyed.getValue());
        }
        if (!part.isEmpty()) {
            parts.add(part);
        }
        return parts;
    }

    private void createSegments(Compaction compaction, Iterator<Map<Hash128, KeyEntry>> parts, long afterSequence) {
        if (!parts.hasNext()) {
            replaceManifest(compaction);
            return;
        }
        Map<Hash128, KeyEntry> part = parts.next();
        long toSequence = parts.hasNext()
                ? part.values().stream().mapToLong(KeyEntry::sequence).max().orElseThrow()
                : compaction.floorSequence();
        long newestIntentMs =
                part.values().stream().mapToLong(KeyEntry::intentMs).max().orElseThrow();
        String nonce = nonces.next();
        String name = ShardStore.segmentName(toSequence, nonce);
        byte[] value = JournalCodec.encodeSegment(part);
        store.createSegment(name, value, nonce)
                .subscribe()
                .with(
                        result -> {
                            if (result instanceof PutResult.Written written) {
                                Segment segment = new Segment(
                                        name,
                                        written.version(),
                                        afterSequence,
                                        toSequence,
                                        newestIntentMs,
                                        value.length);
                                compaction.created().add(segment);
                                createSegments(compaction, parts, toSequence);
                            } else {
                                rollBack(compaction);
                            }
                        },
                        failure -> rollBack(compaction));
    }

    private void replaceManifest(Compaction compaction) {
        List<Segment> segments = new ArrayList<>(compaction.kept());
        segments.addAll(compaction.created());
        Manifest manifest = new Manifest(compaction.floorSequence(), compaction.logMs(), List.copyOf(segments));
        store.putManifest(compaction.expectedVersion(), manifest, nonces.next())
                .subscribe()
                .with(
                        result -> {
                            if (result instanceof PutResult.Written written) {
                                isCompacting = false;
                                log.onManifestWritten(manifest, written.version());
                                deleteSegments(compaction.replaced());
                                deleteBatches();
                            } else {
                                rollBack(compaction);
                            }
                        },
                        // The manifest may have been replaced, so the new segments must stay. If it was not replaced,
                        // the next router that reads the shard deletes them.
                        failure -> isCompacting = false);
    }

    private void rollBack(Compaction compaction) {
        isCompacting = false;
        deleteSegments(compaction.created());
    }

    private void deleteSegments(List<Segment> segments) {
        segments.forEach(segment -> deleteSegment(segment.name(), segment.version()));
    }

    private void deleteSegment(String name, long version) {
        store.deleteSegment(name, version, nonces.next()).subscribe().with(done -> {}, failure -> {});
    }

    /** Deletes objects left by routers that crashed during a compaction. */
    void deleteObsoleteObjects(ShardSnapshot snapshot) {
        snapshot.orphans().forEach(this::deleteSegment);
        deleteBatches();
    }

    private void deleteBatches() {
        if (!isDeletingBatches) {
            isDeletingBatches = true;
            deleteNextBatch(log.supersededBatches().entrySet().iterator());
        }
    }

    private void deleteNextBatch(Iterator<Map.Entry<Long, Long>> batches) {
        if (!batches.hasNext()) {
            isDeletingBatches = false;
            return;
        }
        Map.Entry<Long, Long> batch = batches.next();
        store.deleteBatch(batch.getKey(), batch.getValue(), nonces.next())
                .subscribe()
                .with(
                        done -> {
                            log.onBatchDeleted(batch.getKey());
                            deleteNextBatch(batches);
                        },
                        failure -> isDeletingBatches = false);
    }

    /** A running compaction. */
    private record Compaction(
            Manifest before,
            long expectedVersion,
            long floorSequence,
            long logMs,
            List<Segment> kept,
            List<Segment> replaced,
            List<Segment> created) {

        Compaction(
                Manifest before,
                long expectedVersion,
                long floor,
                long logMs,
                List<Segment> kept,
                List<Segment> replaced) {
            this(before, expectedVersion, floor, logMs, kept, replaced, new ArrayList<>());
        }
    }
}

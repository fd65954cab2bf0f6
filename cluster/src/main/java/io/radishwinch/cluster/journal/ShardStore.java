package io.radishwinch.cluster.journal;

import io.radishwinch.cluster.journal.Manifest.Segment;
import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformClient.Page;
import io.radishwinch.cluster.platform.PlatformClient.PutResult;
import io.radishwinch.cluster.platform.PlatformClient.StoredObject;
import io.radishwinch.cluster.platform.PlatformException;
import io.radishwinch.cluster.platform.PlatformException.Kind;
import io.radishwinch.cluster.platform.Scheduler;
import io.radishwinch.cluster.platform.StoreVersion;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/** Reads and writes the objects of one shard on the platform. */
final class ShardStore {
    private static final int TAIL_PAGE_OBJECTS = 32;
    private static final int SEGMENT_PAGE_OBJECTS = 4;
    /**
     * Maximum number of pages of a listing; the read fails above it. Only a shard that was not compacted for hours has
     * more.
     */
    private static final int MAX_PAGES = 512;

    private static final int MAX_STALE_READS = 6;
    private static final long STALE_READ_DELAY_MS = 10;

    private static final String MANIFEST = "manifest";

    private final PlatformClient platform;
    private final Scheduler scheduler;
    private final String logPrefix;
    private final String segmentPrefix;

    ShardStore(PlatformClient platform, Scheduler scheduler, int shard) {
        this.platform = platform;
        this.scheduler = scheduler;
        this.logPrefix = "journal/" + shard + "/";
        this.segmentPrefix = "journal-segments/" + shard + "/";
    }

    /**
     * Part of the log after a sequence number, with the manifest in effect when it was read.
     *
     * @param batches batches by sequence number
     * @param manifest manifest
     * @param manifestVersion version of the manifest, or {@link PlatformClient#ABSENT}
     * @param era era of the store when it was read
     */
    record Tail(TreeMap<Long, StoredBatch> batches, Manifest manifest, long manifestVersion, long era) {}

    /**
     * A stored batch.
     *
     * @param version version of its object
     * @param batch content
     */
    record StoredBatch(long version, Batch batch) {}

    /** Creates a batch. A conflict means that another router already wrote this sequence number. */
    Uni<PutResult> createBatch(long sequence, byte[] value, String nonce) {
        return platform.put(logKey(sequence), PlatformClient.ABSENT, value, nonce);
    }

    /**
     * Reads the log after a sequence number and the manifest.
     *
     * <p>The manifest is last in key order, and its page is read again if it is older than any batch read. A batch
     * above the floor of that manifest was therefore not deleted before it was created.
     *
     * @param minStoreVersion minimum store version of the last page
     */
    Uni<Tail> readTail(long afterSequence, long minStoreVersion) {
        return readTail(logKey(afterSequence), minStoreVersion, new TreeMap<>(), 1, 1);
    }

    private Uni<Tail> readTail(
            String afterKey, long minStoreVersion, TreeMap<Long, StoredBatch> batches, int pageNumber, int attempt) {
        return platform.list(logPrefix, afterKey, TAIL_PAGE_OBJECTS).onItem().transformToUni(page -> {
            Optional<StoredObject> manifest = Optional.empty();
            long neededVersion = minStoreVersion;
            String lastKey = afterKey;
            for (StoredObject object : page.objects()) {
                lastKey = object.key();
                neededVersion = Math.max(neededVersion, object.version());
                if (object.key().endsWith(MANIFEST)) {
                    manifest = Optional.of(object);
                } else {
                    batches.put(
                            sequenceOf(object.key()),
                            new StoredBatch(object.version(), decode(object, JournalCodec::decodeBatch)));
                }
            }
            if (page.hasMore()) {
                return pageNumber < MAX_PAGES
                        ? readTail(lastKey, neededVersion, batches, pageNumber + 1, 1)
                        : Uni.createFrom().failure(noEffect("log of " + logPrefix + " exceeds the limit of a listing"));
            }
            if (page.storeVersion() < neededVersion) {
                long version = neededVersion;
                return attempt < MAX_STALE_READS
                        ? delay(STALE_READ_DELAY_MS * attempt)
                                .onItem()
                                .transformToUni(waited -> readTail(afterKey, version, batches, pageNumber, attempt + 1))
                        : Uni.createFrom().failure(noEffect("reads stay stale for " + logPrefix));
            }
            long era = StoreVersion.era(page.storeVersion());
            boolean isOfOneEra = batches.values().stream().allMatch(batch -> StoreVersion.era(batch.version()) == era);
            return isOfOneEra
                    ? Uni.createFrom().item(toTail(batches, manifest, era))
                    : Uni.createFrom().failure(noEffect("the store was restored during a read of " + logPrefix));
        });
    }

    /** Decodes a value. The error names the object, because an operator has to restore it. */
    static <T> T decode(StoredObject object, Function<byte[], T> decoder) {
        try {
            return decoder.apply(object.value());
        } catch (IllegalStateException e) {
            throw new IllegalStateException(object.key() + ": " + e.getMessage(), e);
        }
    }

    private Uni<Boolean> delay(long delayMs) {
        return Uni.createFrom().emitter(emitter -> scheduler.schedule(delayMs, () -> emitter.complete(true)));
    }

    private static Tail toTail(TreeMap<Long, StoredBatch> batches, Optional<StoredObject> manifest, long era) {
        return new Tail(
                batches,
                manifest.map(object -> decode(object, JournalCodec::decodeManifest))
                        .orElse(Manifest.EMPTY),
                manifest.map(StoredObject::version).orElse(PlatformClient.ABSENT),
                era);
    }

    /** Deletes a batch that is contained in a segment or is void. */
    Uni<PutResult> deleteBatch(long sequence, long version, String nonce) {
        return platform.delete(logKey(sequence), version, nonce);
    }

    /** Replaces the manifest. A conflict means that another router compacted the shard. */
    Uni<PutResult> putManifest(long expectedVersion, Manifest manifest, String nonce) {
        return platform.put(logPrefix + MANIFEST, expectedVersion, JournalCodec.encodeManifest(manifest), nonce);
    }

    Uni<PutResult> createSegment(String name, byte[] value, String nonce) {
        return platform.put(segmentPrefix + name, PlatformClient.ABSENT, value, nonce);
    }

    Uni<Optional<StoredObject>> readSegment(Segment segment) {
        return platform.get(segmentPrefix + segment.name());
    }

    /** Reads all segment objects of the shard, by name, whether or not the manifest lists them. */
    Uni<Map<String, StoredObject>> readSegments() {
        return readSegments("", new ArrayList<>(), 1).map(objects -> {
            Map<String, StoredObject> byName = new TreeMap<>();
            objects.forEach(object -> byName.put(object.key().substring(segmentPrefix.length()), object));
            return byName;
        });
    }

    private Uni<List<StoredObject>> readSegments(String afterKey, List<StoredObject> objects, int pageNumber) {
        return platform.list(segmentPrefix, afterKey, SEGMENT_PAGE_OBJECTS)
                .onItem()
                .transformToUni((Page page) -> {
                    objects.addAll(page.objects());
                    if (!page.hasMore()) {
                        return Uni.createFrom().item(objects);
                    }
                    return pageNumber < MAX_PAGES
                            ? readSegments(objects.get(objects.size() - 1).key(), objects, pageNumber + 1)
                            : Uni.createFrom()
                                    .failure(noEffect("segments of " + logPrefix + " exceed the limit of a listing"));
                });
    }

    Uni<PutResult> deleteSegment(String name, long version, String nonce) {
        return platform.delete(segmentPrefix + name, version, nonce);
    }

    /** Returns the name of a segment, which encodes its last sequence number. */
    static String segmentName(long toSequence, String nonce) {
        return "%016x-%s".formatted(toSequence, nonce.replace('/', '_'));
    }

    static long segmentSequence(String name) {
        return Long.parseLong(name.substring(0, 16), 16);
    }

    /** The fixed width makes key order equal to sequence order, and digits sort before the manifest. */
    private String logKey(long sequence) {
        return logPrefix + "%019d".formatted(sequence);
    }

    private long sequenceOf(String key) {
        return Long.parseLong(key.substring(logPrefix.length()));
    }

    private static PlatformException noEffect(String message) {
        return new PlatformException(Kind.NO_EFFECT, message, null);
    }
}

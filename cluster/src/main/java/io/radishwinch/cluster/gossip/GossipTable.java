package io.radishwinch.cluster.gossip;

import io.radishwinch.protocol.generated.EntryKind;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Last-writer-wins entries of one router.
 *
 * <p>Merging is commutative, associative and idempotent, so duplicated and reordered messages have no effect.
 * {@link KindPolicy} limits the number and size of the entries of each kind, and {@link #MAX_TOTAL_BYTES} limits their
 * total size. Not thread-safe.
 */
public final class GossipTable {

    /** Maximum approximate size of all entries, in bytes. */
    public static final long MAX_TOTAL_BYTES = 96L * 1024 * 1024;

    /** Maximum length of a key or an origin, in characters. */
    public static final int MAX_KEY_CHARS = 512;

    /** Time by which a tombstone outlives the entry that it deletes, in ms, to cover clock drift between routers. */
    static final long TOMBSTONE_MARGIN_MS = 60_000;

    private final List<Map<Key, GossipEntry>> buckets = new ArrayList<>();
    private final BucketHashes allHashes = new BucketHashes();
    private final BucketHashes fleetHashes = new BucketHashes();
    private final Map<EntryKind, Integer> counts = new EnumMap<>(EntryKind.class);
    private long totalBytes;
    private long rejectedCount;

    private record Key(EntryKind kind, String key) {}

    /** Result of a merge. */
    public enum MergeResult {
        /** The entry was newer and replaced the known one. */
        NEWER,
        /** The same version is known. */
        SAME,
        /** A newer version is known. */
        OLDER,
        /** The entry exceeds a bound or has expired. */
        REJECTED
    }

    /** Creates an empty table. */
    public GossipTable() {
        for (int i = 0; i < BucketHashes.BUCKETS; i++) {
            buckets.add(new HashMap<>());
        }
    }

    /** Merges an entry that was published by this router or received from a peer. */
    public MergeResult merge(GossipEntry entry, long nowMs) {
        KindPolicy policy = KindPolicy.of(entry.kind());
        if (!isWithinBounds(entry, policy, nowMs)) {
            rejectedCount++;
            return MergeResult.REJECTED;
        }
        int bucket = BucketHashes.bucket(entry.kind(), entry.key());
        Key key = new Key(entry.kind(), entry.key());
        GossipEntry known = buckets.get(bucket).get(key);
        if (known != null && !entry.supersedes(known)) {
            return known.supersedes(entry) ? MergeResult.OLDER : MergeResult.SAME;
        }
        int knownBytes = known == null ? 0 : known.sizeBytes();
        boolean isKindFull = known == null && count(entry.kind()) >= policy.maxEntries();
        if (isKindFull || totalBytes - knownBytes + entry.sizeBytes() > MAX_TOTAL_BYTES) {
            rejectedCount++;
            return MergeResult.REJECTED;
        }
        if (known != null) {
            updateTotals(bucket, known, -1);
        }
        buckets.get(bucket).put(key, entry);
        updateTotals(bucket, entry, 1);
        return MergeResult.NEWER;
    }

    /** Returns an entry, possibly a tombstone, or null if it is unknown. */
    public GossipEntry get(EntryKind kind, String key) {
        return buckets.get(BucketHashes.bucket(kind, key)).get(new Key(kind, key));
    }

    /** Removes an entry without leaving a tombstone. */
    public void remove(EntryKind kind, String key) {
        int bucket = BucketHashes.bucket(kind, key);
        GossipEntry known = buckets.get(bucket).remove(new Key(kind, key));
        if (known != null) {
            updateTotals(bucket, known, -1);
        }
    }

    /** Returns the entries of a kind except tombstones, in no particular order. */
    public List<GossipEntry> entries(EntryKind kind) {
        List<GossipEntry> found = new ArrayList<>();
        for (Map<Key, GossipEntry> bucket : buckets) {
            for (GossipEntry entry : bucket.values()) {
                if (entry.kind() == kind && !entry.isTombstone()) {
                    found.add(entry);
                }
            }
        }
        return found;
    }

    /** Removes expired entries and returns those that were not tombstones. */
    public List<GossipEntry> expire(long nowMs) {
        List<GossipEntry> removed = new ArrayList<>();
        for (int i = 0; i < buckets.size(); i++) {
            int bucket = i;
            buckets.get(i).values().removeIf(entry -> {
                if (entry.deadlineMs() > nowMs) {
                    return false;
                }
                updateTotals(bucket, entry, -1);
                if (!entry.isTombstone()) {
                    removed.add(entry);
                }
                return true;
            });
        }
        return removed;
    }

    /** Returns the deadline of a tombstone for the entry, in ms of the router's clock. */
    static long tombstoneDeadlineMs(GossipEntry deleted) {
        return deleted.deadlineMs() == GossipEntry.NEVER
                ? GossipEntry.NEVER
                : deleted.deadlineMs() + TOMBSTONE_MARGIN_MS;
    }

    /** Returns the number of entries of a kind, including tombstones. */
    public int count(EntryKind kind) {
        return counts.getOrDefault(kind, 0);
    }

    /** Returns the approximate size of all entries, in bytes. */
    public long totalBytes() {
        return totalBytes;
    }

    /** Returns the number of entries rejected because of a bound. */
    public long rejectedCount() {
        return rejectedCount;
    }

    BucketHashes hashes(boolean isFleetWide) {
        return isFleetWide ? fleetHashes : allHashes;
    }

    /** Returns the durable entries of a bucket, in key order. */
    List<GossipEntry> durableEntries(int bucket, boolean isFleetWide) {
        if (bucket < 0 || bucket >= BucketHashes.BUCKETS) {
            return Collections.emptyList();
        }
        List<GossipEntry> found = new ArrayList<>();
        for (GossipEntry entry : buckets.get(bucket).values()) {
            KindPolicy policy = KindPolicy.of(entry.kind());
            if (policy.isDurable() && (policy.isFleetWide() || !isFleetWide)) {
                found.add(entry);
            }
        }
        found.sort(java.util.Comparator.comparing(GossipEntry::kind).thenComparing(GossipEntry::key));
        return found;
    }

    private static boolean isWithinBounds(GossipEntry entry, KindPolicy policy, long nowMs) {
        Objects.requireNonNull(entry.key());
        if (entry.key().length() > MAX_KEY_CHARS || entry.origin().length() > MAX_KEY_CHARS) {
            return false;
        }
        if (entry.value() != null && entry.value().length > policy.maxValueBytes()) {
            return false;
        }
        if (policy.maxLifetimeMs() == 0) {
            return true;
        }
        return entry.deadlineMs() > nowMs && entry.deadlineMs() - nowMs <= policy.maxLifetimeMs() + TOMBSTONE_MARGIN_MS;
    }

    private void updateTotals(int bucket, GossipEntry entry, int sign) {
        counts.merge(entry.kind(), sign, Integer::sum);
        totalBytes += (long) sign * entry.sizeBytes();
        KindPolicy policy = KindPolicy.of(entry.kind());
        if (policy.isDurable()) {
            allHashes.toggle(bucket, entry);
            if (policy.isFleetWide()) {
                fleetHashes.toggle(bucket, entry);
            }
        }
    }
}

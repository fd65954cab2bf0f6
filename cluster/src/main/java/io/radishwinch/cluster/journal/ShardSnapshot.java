package io.radishwinch.cluster.journal;

import io.radishwinch.cluster.journal.Manifest.Segment;
import io.radishwinch.cluster.journal.ShardStore.Tail;
import io.radishwinch.cluster.platform.PlatformClient.StoredObject;
import java.util.Map;
import java.util.TreeMap;

/**
 * All objects of a shard on the platform.
 *
 * @param tail the whole log with its manifest
 * @param segments all segment objects by name, including those that the manifest does not list
 */
record ShardSnapshot(Tail tail, Map<String, StoredObject> segments) {

    /** Returns whether all segments of the manifest were read. One may have been deleted between the two reads. */
    boolean isComplete() {
        return tail.manifest().segments().stream().allMatch(segment -> segments.containsKey(segment.name()));
    }

    void restoreInto(ShardIndex index) {
        for (Segment segment : tail.manifest().segments()) {
            index.restore(
                    ShardStore.decode(segments.get(segment.name()), JournalCodec::decodeSegment),
                    tail.manifest().logMs());
        }
        index.restore(Map.of(), tail.manifest().logMs());
    }

    /**
     * Returns the versions of segments that no manifest lists or will list, by name. A segment that ends above the
     * floor may belong to a running compaction; one at or below the floor can no longer be published.
     */
    Map<String, Long> orphans() {
        Map<String, Long> orphans = new TreeMap<>();
        segments.forEach((name, object) -> {
            boolean isNamed = tail.manifest().segments().stream()
                    .anyMatch(segment -> segment.name().equals(name));
            if (!isNamed && ShardStore.segmentSequence(name) <= tail.manifest().floorSequence()) {
                orphans.put(name, object.version());
            }
        });
        return orphans;
    }
}

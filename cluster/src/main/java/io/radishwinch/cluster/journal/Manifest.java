package io.radishwinch.cluster.journal;

import java.util.List;

/**
 * Names the snapshot segments of a shard. Batches up to the floor are contained in the segments and are void otherwise.
 *
 * @param floorSequence last sequence number contained in the segments; 0 before the first compaction
 * @param logMs log time at the floor, in ms since the epoch
 * @param segments segments in order
 */
record Manifest(long floorSequence, long logMs, List<Segment> segments) {
    static final Manifest EMPTY = new Manifest(0, 0, List.of());

    /**
     * One immutable object that holds the entries which batches of a range changed last.
     *
     * @param name last part of the key
     * @param version version of the object
     * @param afterSequence sequence number before the range
     * @param toSequence last sequence number of the range
     * @param newestIntentMs newest intent in it, in ms since the epoch
     * @param bytes size, in bytes
     */
    record Segment(String name, long version, long afterSequence, long toSequence, long newestIntentMs, int bytes) {
        /**
         * A segment is cut when the entries of the next batch don't fit, which take at most two thirds of it, so that
         * every segment but the last reaches this size.
         */
        private static final int SEALED_BYTES = JournalSettings.MAX_SEGMENT_BYTES / 3;

        /** Returns whether the segment is too large to be merged with newer entries. */
        boolean isSealed() {
            return bytes >= SEALED_BYTES;
        }
    }
}

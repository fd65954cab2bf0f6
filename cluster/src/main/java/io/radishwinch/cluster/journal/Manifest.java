package io.radishwinch.cluster.journal;

import java.util.List;

/**
 * Lists the snapshot segments of a shard. Batches up to the floor are contained in the segments; any other batch with
 * such a sequence number is void.
 *
 * @param floorSequence last sequence number contained in the segments; 0 before the first compaction
 * @param logMs log time at the floor, in ms since the epoch
 * @param segments segments in order
 */
record Manifest(long floorSequence, long logMs, List<Segment> segments) {
    static final Manifest EMPTY = new Manifest(0, 0, List.of());

    /**
     * One immutable object with the entries whose last change lies in a range of batches.
     *
     * @param name last part of the object's key
     * @param version version of the object
     * @param afterSequence sequence number before the range
     * @param toSequence last sequence number of the range
     * @param newestIntentMs log time of the newest intent in the segment, in ms since the epoch
     * @param bytes size, in bytes
     */
    record Segment(String name, long version, long afterSequence, long toSequence, long newestIntentMs, int bytes) {
        /**
         * A segment ends when the entries of the next batch do not fit. These take at most two thirds of a segment, so
         * every segment except the last reaches this size.
         */
        private static final int SEALED_BYTES = JournalSettings.MAX_SEGMENT_BYTES / 3;

        /** Returns whether the segment is too large to be merged with newer entries. */
        boolean isSealed() {
            return bytes >= SEALED_BYTES;
        }
    }
}

package io.radishwinch.cluster.journal;

import java.util.List;

/**
 * Records that are committed together.
 *
 * @param logMs log time, which never decreases within a shard, in ms since the epoch
 * @param records records in order
 */
record Batch(long logMs, List<JournalRecord> records) {}

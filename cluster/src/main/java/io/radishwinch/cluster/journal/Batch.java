package io.radishwinch.cluster.journal;

import java.util.List;

/**
 * Records that were committed together.
 *
 * @param logMs log time, never lower than that of an earlier batch of the shard, in ms since the epoch
 * @param records records in order
 */
record Batch(long logMs, List<JournalRecord> records) {}

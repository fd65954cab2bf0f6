package io.radishwinch.cluster.journal;

/** Receives what a journal counts. All methods do nothing by default. */
public interface JournalListener {

    /** A listener that ignores everything. */
    JournalListener NONE = new JournalListener() {};

    /** A batch was committed. */
    default void onCommit(int shard, int records, int bytes) {}

    /** A conditional create found another router's batch. */
    default void onConflict(int shard) {}

    /** A created batch turned out to lie in a part of the log that was compacted before, and is void. */
    default void onVoidBatch(int shard) {}

    /** A shard was read from its snapshot and log. */
    default void onRecovery(int shard, int keys, long durationMs) {}

    /** A shard was compacted. */
    default void onCompaction(int shard, int batches, int segments) {}

    /** The platform failed a call of the journal. */
    default void onPlatformFailure(int shard, boolean effectUnknown) {}

    /** The preferred writer of a shard did not answer and this router writes directly. */
    default void onPeerFailure(int shard) {}

    /** A step was refused because a bound of the journal was reached. */
    default void onLimitExceeded(int shard) {}
}

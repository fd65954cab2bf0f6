package io.radishwinch.cluster.journal;

/** Receives the events of a journal, for counters. All methods do nothing by default. */
public interface JournalListener {

    /** Listener that ignores all events. */
    JournalListener NONE = new JournalListener() {};

    /** Called when a batch was committed. */
    default void onCommit(int shard, int records, int bytes) {}

    /** Called when a conditional create found a batch of another router. */
    default void onConflict(int shard) {}

    /** Called when a created batch is void because its sequence number had already been compacted. */
    default void onVoidBatch(int shard) {}

    /** Called when a shard was restored from its snapshot and log. */
    default void onRecovery(int shard, int keys, long durationMs) {}

    /** Called when a shard was compacted. */
    default void onCompaction(int shard, int batches, int segments) {}

    /** Called when a platform call of the journal failed. */
    default void onPlatformFailure(int shard, boolean isEffectUnknown) {}

    /** Called when the preferred writer of a shard did not respond and this router writes directly. */
    default void onPeerFailure(int shard) {}

    /** Called when a step was refused because a limit of the journal was reached. */
    default void onLimitExceeded(int shard) {}
}

package io.radishwinch.cluster.journal;

import java.time.Duration;

/**
 * Bounds and intervals of the journal.
 *
 * @param routerId identifier of this router that is never used again, also not after a restart: at most 48 letters,
 *     digits and {@code . _ : -}
 * @param shardCount number of shards, equal on all routers of a deployment
 * @param commitIntervalMs shortest time between two batches of one shard on average, in ms; a few may follow at once
 * @param stepTimeoutMs time after which a step is answered as unavailable, in ms
 * @param peerTimeoutMs time to wait for the preferred writer before writing directly, in ms
 * @param retentionMs time for which a key is remembered, counted from its intent, in ms
 * @param maxBatchRecords largest number of records in a batch
 * @param maxQueuedSteps largest number of steps waiting in one shard
 * @param compactAfterBatches number of batches that are merged into a snapshot
 * @param maxKeysPerShard largest number of keys remembered in one shard; new keys are refused beyond it
 * @param maxCachedOutcomeBytes outcomes kept in memory per shard, in bytes; older ones are read from their snapshot
 */
public record JournalSettings(
        String routerId,
        int shardCount,
        long commitIntervalMs,
        long stepTimeoutMs,
        long peerTimeoutMs,
        long retentionMs,
        int maxBatchRecords,
        int maxQueuedSteps,
        int compactAfterBatches,
        int maxKeysPerShard,
        long maxCachedOutcomeBytes) {

    /** Largest outcome that is kept, in bytes. Of a larger one, only the fact that the request ran is recorded. */
    public static final int MAX_OUTCOME_BYTES = 64 * 1024;

    /** Largest batch, in bytes; half a platform value, so that the entries of a batch always fit into one snapshot. */
    static final int MAX_BATCH_BYTES = 500_000;

    /** Largest snapshot, in bytes. */
    static final int MAX_SEGMENT_BYTES = 900_000;

    /**
     * With 16 shards, 80 batches per second in total. Each is created and later deleted, which leaves a tenth of the
     * 180 writes per second of {@link io.radishwinch.cluster.platform.CallRates} for snapshots.
     */
    private static final long DEFAULT_COMMIT_INTERVAL_MS = 200;

    /** Returns the default settings for a router. */
    public static JournalSettings of(String routerId) {
        return new JournalSettings(
                routerId,
                16,
                DEFAULT_COMMIT_INTERVAL_MS,
                3_000,
                1_000,
                Duration.ofHours(24).toMillis(),
                256,
                4_096,
                64,
                200_000,
                4_000_000);
    }

    /** Returns these settings with another number of shards. */
    public JournalSettings withShardCount(int newShardCount) {
        return new JournalSettings(
                routerId,
                newShardCount,
                commitIntervalMs,
                stepTimeoutMs,
                peerTimeoutMs,
                retentionMs,
                maxBatchRecords,
                maxQueuedSteps,
                compactAfterBatches,
                maxKeysPerShard,
                maxCachedOutcomeBytes);
    }

    /** Returns these settings with another shortest time between two batches of a shard, in ms. */
    public JournalSettings withCommitIntervalMs(long newCommitIntervalMs) {
        return new JournalSettings(
                routerId,
                shardCount,
                newCommitIntervalMs,
                stepTimeoutMs,
                peerTimeoutMs,
                retentionMs,
                maxBatchRecords,
                maxQueuedSteps,
                compactAfterBatches,
                maxKeysPerShard,
                maxCachedOutcomeBytes);
    }

    /** Returns these settings with other limits of what one shard holds. */
    public JournalSettings withShardLimits(
            int newCompactAfterBatches, int newMaxKeysPerShard, long newMaxCachedOutcomeBytes) {
        return new JournalSettings(
                routerId,
                shardCount,
                commitIntervalMs,
                stepTimeoutMs,
                peerTimeoutMs,
                retentionMs,
                maxBatchRecords,
                maxQueuedSteps,
                newCompactAfterBatches,
                newMaxKeysPerShard,
                newMaxCachedOutcomeBytes);
    }
}

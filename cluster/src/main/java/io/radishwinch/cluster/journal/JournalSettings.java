package io.radishwinch.cluster.journal;

import java.time.Duration;

/**
 * Limits and intervals of the journal.
 *
 * @param routerId identifier of this router that is never reused, not even after a restart: 1 to 48 letters, digits and
 *     {@code . _ : -}
 * @param shardCount number of shards, equal on all routers of a deployment
 * @param commitIntervalMs minimum average time between two batches of one shard, in ms; short bursts are allowed
 * @param stepTimeoutMs time after which a step without a result is reported as unavailable, in ms
 * @param peerTimeoutMs time to wait for the preferred writer before writing directly, in ms
 * @param retentionMs time that a key is kept after its intent, in ms
 * @param maxBatchRecords maximum number of records in a batch
 * @param maxQueuedSteps maximum number of queued steps of one shard
 * @param compactAfterBatches number of batches that are merged into a snapshot
 * @param maxKeysPerShard maximum number of keys in one shard; new keys are refused above it
 * @param maxCachedOutcomeBytes maximum size of the outcomes in memory per shard, in bytes; older ones are read from
 *     their snapshot
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

    /**
     * Maximum size of an outcome that is kept, in bytes. Of a larger one, only the fact that the request ran is
     * recorded.
     */
    public static final int MAX_OUTCOME_BYTES = 64 * 1024;

    /**
     * Maximum size of a batch, in bytes: half of a platform value, so that the entries of a batch always fit into one
     * segment.
     */
    static final int MAX_BATCH_BYTES = 500_000;

    /** Maximum size of a snapshot segment, in bytes. */
    static final int MAX_SEGMENT_BYTES = 900_000;

    /**
     * Allows 80 batches/s with 16 shards. Each is created and later deleted, which leaves a tenth of the 180 writes/s
     * of {@link io.radishwinch.cluster.platform.CallRates} for snapshots.
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

    /** Returns these settings with another minimum average time between two batches of a shard, in ms. */
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

    /** Returns these settings with other limits of the memory and the log of one shard. */
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

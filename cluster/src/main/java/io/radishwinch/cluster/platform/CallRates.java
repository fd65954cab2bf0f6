package io.radishwinch.cluster.platform;

/**
 * Call rates of one router, such that the calls of all routers stay below the limits of the platform.
 *
 * <p>A fixed part of the platform's writes is divided between the journal shards and assigned to their preferred
 * writers; the rest is divided equally between the routers. An equal division alone would leave a preferred writer less
 * than one write/s in a fleet of 360 routers.
 *
 * @param readsPerS reads/s
 * @param writesPerS writes/s
 */
public record CallRates(double readsPerS, double writesPerS) {
    /** Writes/s of all routers: 80% of 300, the lowest rate that the platform's "several hundred" allows. */
    public static final double FLEET_WRITES_PER_S = 240;
    /** Reads/s of all routers, including pending watches: 80% of 2,000. */
    public static final double FLEET_READS_PER_S = 1_600;

    /** Writes/s reserved for the preferred writers of journal shards. */
    private static final double SHARD_WRITES_PER_S = 180;
    /**
     * Reads/s reserved for the preferred writers of journal shards. Each batch needs one read, and recovery needs more.
     */
    private static final double SHARD_READS_PER_S = 400;

    /**
     * Returns the share of one router.
     *
     * @param routers number of live routers of the deployment, at least 1
     * @param shardCount number of journal shards of the deployment
     * @param ownedShards number of shards whose preferred writer is this router
     */
    public static CallRates share(int routers, int shardCount, int ownedShards) {
        double shardPart = (double) ownedShards / shardCount;
        return new CallRates(
                (FLEET_READS_PER_S - SHARD_READS_PER_S) / Math.max(1, routers) + SHARD_READS_PER_S * shardPart,
                (FLEET_WRITES_PER_S - SHARD_WRITES_PER_S) / Math.max(1, routers) + SHARD_WRITES_PER_S * shardPart);
    }
}

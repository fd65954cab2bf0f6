package io.radishwinch.cluster.platform;

/**
 * The calls that one router may make, so that the calls of all routers stay below the platform's rates.
 *
 * <p>A fixed part of the platform's writes is divided between the journal shards and goes to their preferred writers;
 * the rest is divided evenly between the routers. An even division alone would leave a preferred writer less than one
 * write per second at 360 routers.
 *
 * @param readsPerS reads per second
 * @param writesPerS writes per second
 */
public record CallRates(double readsPerS, double writesPerS) {
    /** Writes per second of all routers: 80% of 300, the lowest figure that "several hundred" allows. */
    public static final double FLEET_WRITES_PER_S = 240;
    /** Reads per second of all routers, pending watches included: 80% of two thousand. */
    public static final double FLEET_READS_PER_S = 1_600;

    /** Part of the writes that goes to the preferred writers of journal shards. */
    private static final double SHARD_WRITES_PER_S = 180;
    /** Part of the reads that goes to them; each batch needs one read, and recovery needs more. */
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

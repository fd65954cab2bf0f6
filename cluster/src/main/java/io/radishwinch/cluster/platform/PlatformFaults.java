package io.radishwinch.cluster.platform;

import java.util.random.RandomGenerator;

/** Faults that an {@link InMemoryPlatform} shows. Without any, each call takes 2 ms. */
public final class PlatformFaults {
    private static final long DEFAULT_LATENCY_MS = 2;

    private boolean isDown;
    private long minLatencyMs = DEFAULT_LATENCY_MS;
    private long maxLatencyMs = DEFAULT_LATENCY_MS;
    private int writeResponsesToLose;
    private int changesToDrop;
    private double responseLossProbability;
    private long maxStaleVersions;
    private double staleProbability;

    PlatformFaults() {}

    /** Makes every call fail with no effect, or ends that. */
    public void setDown(boolean isDown) {
        isDown = isDown;
    }

    /** Sets the latency of a call, uniform between the two bounds in ms. */
    public void setLatencyMs(long minMs, long maxMs) {
        minLatencyMs = minMs;
        maxLatencyMs = maxMs;
    }

    /** Loses the answers of the next writes, after they took effect. */
    public void loseNextWriteResponses(int count) {
        writeResponsesToLose = count;
    }

    /** Loses answers of reads and writes, after they took effect, with the given probability. */
    public void setResponseLossProbability(double probability) {
        responseLossProbability = probability;
    }

    /** Leaves the next changes out of the watches without breaking them, as a faulty proxy in between does. */
    public void dropNextChanges(int count) {
        changesToDrop = count;
    }

    /** Makes reads see a store that is up to the given number of versions old, with the given probability. */
    public void setStaleReads(long versions, double probability) {
        maxStaleVersions = versions;
        staleProbability = probability;
    }

    /** Removes all faults, also the latency that was set. */
    public void clear() {
        isDown = false;
        setLatencyMs(DEFAULT_LATENCY_MS, DEFAULT_LATENCY_MS);
        writeResponsesToLose = 0;
        changesToDrop = 0;
        responseLossProbability = 0;
        setStaleReads(0, 0);
    }

    boolean isDown() {
        return isDown;
    }

    long latencyMs(RandomGenerator random) {
        return minLatencyMs == maxLatencyMs ? minLatencyMs : random.nextLong(minLatencyMs, maxLatencyMs + 1);
    }

    boolean losesResponse(boolean isWrite, RandomGenerator random) {
        if (isWrite && writeResponsesToLose > 0) {
            writeResponsesToLose--;
            return true;
        }
        return responseLossProbability > 0 && random.nextDouble() < responseLossProbability;
    }

    boolean dropsChange() {
        if (changesToDrop > 0) {
            changesToDrop--;
            return true;
        }
        return false;
    }

    long staleVersionLag(RandomGenerator random) {
        return staleProbability > 0 && random.nextDouble() < staleProbability
                ? random.nextLong(1, maxStaleVersions + 1)
                : 0;
    }
}

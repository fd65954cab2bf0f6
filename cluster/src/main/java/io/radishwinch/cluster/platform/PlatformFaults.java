package io.radishwinch.cluster.platform;

import java.util.random.RandomGenerator;

/** Injected faults of an {@link InMemoryPlatform}. Without faults, each call takes 2 ms. */
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

    /** Sets whether every call fails without effect. */
    public void setDown(boolean newDown) {
        isDown = newDown;
    }

    /** Sets the latency of a call, uniformly distributed between the two bounds, in ms. */
    public void setLatencyMs(long minMs, long maxMs) {
        minLatencyMs = minMs;
        maxLatencyMs = maxMs;
    }

    /** Loses the responses of the next writes after they took effect. */
    public void loseNextWriteResponses(int count) {
        writeResponsesToLose = count;
    }

    /** Sets the probability that the response of a read or write is lost after it took effect. */
    public void setResponseLossProbability(double probability) {
        responseLossProbability = probability;
    }

    /** Omits the next changes from the watches without closing them, as a faulty proxy does. */
    public void dropNextChanges(int count) {
        changesToDrop = count;
    }

    /** Sets the probability of a stale read and the maximum number of versions by which it lags. */
    public void setStaleReads(long versions, double probability) {
        maxStaleVersions = versions;
        staleProbability = probability;
    }

    /** Removes all faults and resets the latency. */
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

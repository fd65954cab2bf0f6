package io.radishwinch.cluster.platform;

import java.util.random.RandomGenerator;

/** Faults that an {@link InMemoryPlatform} shows. Without any, each call takes 2 ms. */
public final class PlatformFaults {
    private static final long DEFAULT_LATENCY_MS = 2;

    private boolean down;
    private long minLatencyMs = DEFAULT_LATENCY_MS;
    private long maxLatencyMs = DEFAULT_LATENCY_MS;
    private int lostWriteAnswers;
    private int droppedChanges;
    private double lostAnswerProbability;
    private long staleVersions;
    private double staleProbability;

    PlatformFaults() {}

    /** Makes every call fail with no effect, or ends that. */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** Sets the latency of a call, uniform between the two bounds in ms. */
    public void setLatencyMs(long minMs, long maxMs) {
        minLatencyMs = minMs;
        maxLatencyMs = maxMs;
    }

    /** Loses the answers of the next writes, after they took effect. */
    public void loseNextWriteAnswers(int count) {
        lostWriteAnswers = count;
    }

    /** Loses answers of reads and writes, after they took effect, with the given probability. */
    public void setLostAnswerProbability(double probability) {
        lostAnswerProbability = probability;
    }

    /** Leaves the next changes out of the watches without breaking them, as a faulty proxy in between does. */
    public void dropNextChanges(int count) {
        droppedChanges = count;
    }

    /** Makes reads see a store that is up to the given number of versions old, with the given probability. */
    public void setStaleReads(long versions, double probability) {
        staleVersions = versions;
        staleProbability = probability;
    }

    /** Removes all faults, also the latency that was set. */
    public void clear() {
        down = false;
        setLatencyMs(DEFAULT_LATENCY_MS, DEFAULT_LATENCY_MS);
        lostWriteAnswers = 0;
        droppedChanges = 0;
        lostAnswerProbability = 0;
        setStaleReads(0, 0);
    }

    boolean isDown() {
        return down;
    }

    long latencyMs(RandomGenerator random) {
        return minLatencyMs == maxLatencyMs ? minLatencyMs : random.nextLong(minLatencyMs, maxLatencyMs + 1);
    }

    boolean losesAnswer(boolean isWrite, RandomGenerator random) {
        if (isWrite && lostWriteAnswers > 0) {
            lostWriteAnswers--;
            return true;
        }
        return lostAnswerProbability > 0 && random.nextDouble() < lostAnswerProbability;
    }

    boolean dropsChange() {
        if (droppedChanges > 0) {
            droppedChanges--;
            return true;
        }
        return false;
    }

    long staleBy(RandomGenerator random) {
        return staleProbability > 0 && random.nextDouble() < staleProbability
                ? random.nextLong(1, staleVersions + 1)
                : 0;
    }
}

package io.radishwinch.server.http;

/** What was delivered to the caller and how fast; used by one traffic thread. */
public final class DeliveryStats {
    private static final long NONE = -1;

    private final long arrivedAtMs;
    private int attempts;
    private boolean isReplayed;
    private int deliveredTokens;
    private long firstTokenAtMs = NONE;
    private long lastTokenAtMs = NONE;
    private long maxTokenIntervalMs;

    DeliveryStats(long arrivedAtMs) {
        this.arrivedAtMs = arrivedAtMs;
    }

    void recordAttempt() {
        attempts++;
    }

    void markReplayed() {
        isReplayed = true;
    }

    /** Records a token of the answer. */
    public void recordToken(long nowMs) {
        deliveredTokens++;
        if (firstTokenAtMs == NONE) {
            firstTokenAtMs = nowMs;
        } else {
            maxTokenIntervalMs = Math.max(maxTokenIntervalMs, nowMs - lastTokenAtMs);
        }
        lastTokenAtMs = nowMs;
    }

    /** Returns the attempts started. */
    public int attempts() {
        return attempts;
    }

    /** Returns whether the answer was the recorded outcome of an earlier request. */
    public boolean isReplayed() {
        return isReplayed;
    }

    /** Returns the tokens delivered. */
    public int deliveredTokens() {
        return deliveredTokens;
    }

    /** Returns the time from arrival to the first token in ms, or 0 if there was none. */
    public long timeToFirstTokenMs() {
        return firstTokenAtMs == NONE ? 0 : firstTokenAtMs - arrivedAtMs;
    }

    /** Returns the mean time between tokens in ms, or 0 for fewer than two tokens. */
    public double meanTokenIntervalMs() {
        return deliveredTokens < 2 ? 0 : (double) (lastTokenAtMs - firstTokenAtMs) / (deliveredTokens - 1);
    }

    /** Returns the longest time between two tokens in ms. */
    public long maxTokenIntervalMs() {
        return maxTokenIntervalMs;
    }
}

package io.radishwinch.server.http;

/** What was delivered to the caller and how fast; used by one traffic thread. */
public final class Delivery {
    private static final long NONE = -1;

    private final long arrivedAtMs;
    private int attempts;
    private boolean replayed;
    private int answerTokens;
    private long firstTokenAtMs = NONE;
    private long lastTokenAtMs = NONE;
    private long worstIntervalMs;

    Delivery(long arrivedAtMs) {
        this.arrivedAtMs = arrivedAtMs;
    }

    void attemptStarted() {
        attempts++;
    }

    void replayed() {
        replayed = true;
    }

    /** Records a token of the answer. */
    public void token(long nowMs) {
        answerTokens++;
        if (firstTokenAtMs == NONE) {
            firstTokenAtMs = nowMs;
        } else {
            worstIntervalMs = Math.max(worstIntervalMs, nowMs - lastTokenAtMs);
        }
        lastTokenAtMs = nowMs;
    }

    /** Returns the attempts started. */
    public int attempts() {
        return attempts;
    }

    /** Returns whether the answer was the recorded outcome of an earlier request. */
    public boolean isReplayed() {
        return replayed;
    }

    /** Returns the tokens delivered. */
    public int answerTokens() {
        return answerTokens;
    }

    /** Returns the time from arrival to the first token in ms, or 0 if there was none. */
    public long firstTokenMs() {
        return firstTokenAtMs == NONE ? 0 : firstTokenAtMs - arrivedAtMs;
    }

    /** Returns the mean time between tokens in ms, or 0 for fewer than two tokens. */
    public double meanIntervalMs() {
        return answerTokens < 2 ? 0 : (double) (lastTokenAtMs - firstTokenAtMs) / (answerTokens - 1);
    }

    /** Returns the longest time between two tokens in ms. */
    public long worstIntervalMs() {
        return worstIntervalMs;
    }
}

package io.radishwinch.server.http;

import java.util.Optional;

/**
 * Statistics of the response delivered to a caller: its origin, attempts, tokens and their timing. Confined to one
 * traffic thread.
 */
public final class DeliveryStats {
    private static final long NONE = -1;

    private final long arrivedAtMs;
    private int attempts;
    private boolean isReplayed;
    private int deliveredTokens;
    private long firstTokenAtMs = NONE;
    private long lastTokenAtMs = NONE;
    private long maxTokenIntervalMs;
    private Optional<ResponseOrigin> origin = Optional.empty();

    /** Creates the statistics of a request that arrived at the given time, in ms of the router's clock. */
    public DeliveryStats(long arrivedAtMs) {
        this.arrivedAtMs = arrivedAtMs;
    }

    public void recordAttempt() {
        attempts++;
    }

    void markReplayed() {
        isReplayed = true;
    }

    /** Records where the response that completed the request came from. */
    public void recordOrigin(ResponseOrigin responseOrigin) {
        origin = Optional.of(responseOrigin);
    }

    /** Records the delivery of a token at the given time, in ms of the router's clock. */
    public void recordToken(long nowMs) {
        deliveredTokens++;
        if (firstTokenAtMs == NONE) {
            firstTokenAtMs = nowMs;
        } else {
            maxTokenIntervalMs = Math.max(maxTokenIntervalMs, nowMs - lastTokenAtMs);
        }
        lastTokenAtMs = nowMs;
    }

    /** Returns where the response came from, or empty if this is not known or no response is complete. */
    public Optional<ResponseOrigin> origin() {
        return origin;
    }

    /** Returns the number of attempts started. */
    public int attempts() {
        return attempts;
    }

    /** Returns whether the response was the stored outcome of an earlier request. */
    public boolean isReplayed() {
        return isReplayed;
    }

    /** Returns the number of tokens delivered. */
    public int deliveredTokens() {
        return deliveredTokens;
    }

    /** Returns the time from arrival to the first token in ms, or 0 if no token was delivered. */
    public long timeToFirstTokenMs() {
        return firstTokenAtMs == NONE ? 0 : firstTokenAtMs - arrivedAtMs;
    }

    /** Returns the mean time between tokens in ms, or 0 for fewer than two tokens. */
    public double meanTokenIntervalMs() {
        return deliveredTokens < 2 ? 0 : (double) (lastTokenAtMs - firstTokenAtMs) / (deliveredTokens - 1);
    }

    /** Returns the longest time between two consecutive tokens in ms, or 0 for fewer than two tokens. */
    public long maxTokenIntervalMs() {
        return maxTokenIntervalMs;
    }
}

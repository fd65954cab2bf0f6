package io.radishwinch.core.impl;

import io.radishwinch.core.queue.QueueSettings;

/**
 * Settings of the decision core.
 *
 * @param seed seed of the random source
 * @param queue bounds of the request queue
 * @param limitBurstMs burst of a caller's rate limits, in ms of its rate
 * @param initialAllotmentShare share of a contract's limits used before the first allotment, 0 to 1
 * @param maxAttempts attempts of one request, preempted ones not counted
 * @param uncoveredGraceMs time for which requests are still queued for a pool that lost its cover, in ms
 * @param cancelTimeoutMs time after which a cancelled attempt counts as ended without an answer of the adapter, in ms
 * @param exclusionMs longest wait for an endpoint on which no earlier attempt failed, in ms
 * @param maxHistory decisions kept for one request
 */
public record CoreSettings(
        long seed,
        QueueSettings queue,
        long limitBurstMs,
        double initialAllotmentShare,
        int maxAttempts,
        long uncoveredGraceMs,
        long cancelTimeoutMs,
        long exclusionMs,
        int maxHistory) {

    /** Returns the defaults. */
    public static CoreSettings defaults() {
        return builder().build();
    }

    /** Returns a builder that starts from the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns a copy with another value: seed of the random source. */
    public CoreSettings withSeed(long value) {
        return toBuilder().seed(value).build();
    }

    /** Returns a copy with another value: bounds of the request queue. */
    public CoreSettings withQueue(QueueSettings value) {
        return toBuilder().queue(value).build();
    }

    /** Returns a copy with another value: burst of the rate limits, in ms. */
    public CoreSettings withLimitBurstMs(long value) {
        return toBuilder().limitBurstMs(value).build();
    }

    /** Returns a copy with another value: share of the limits before the first allotment. */
    public CoreSettings withInitialAllotmentShare(double value) {
        return toBuilder().initialAllotmentShare(value).build();
    }

    /** Returns a copy with another value: attempts of one request. */
    public CoreSettings withMaxAttempts(int value) {
        return toBuilder().maxAttempts(value).build();
    }

    /** Returns a copy with another value: grace for a pool without cover, in ms. */
    public CoreSettings withUncoveredGraceMs(long value) {
        return toBuilder().uncoveredGraceMs(value).build();
    }

    /** Returns a copy with another value: wait for a cancelled attempt, in ms. */
    public CoreSettings withCancelTimeoutMs(long value) {
        return toBuilder().cancelTimeoutMs(value).build();
    }

    /** Returns a copy with another value: longest wait for another endpoint, in ms. */
    public CoreSettings withExclusionMs(long value) {
        return toBuilder().exclusionMs(value).build();
    }

    /** Returns a copy with another value: decisions kept for one request. */
    public CoreSettings withMaxHistory(int value) {
        return toBuilder().maxHistory(value).build();
    }

    /** Returns a builder that starts from these settings. */
    public Builder toBuilder() {
        Builder builder = new Builder();
        builder.seed = seed;
        builder.queue = queue;
        builder.limitBurstMs = limitBurstMs;
        builder.initialAllotmentShare = initialAllotmentShare;
        builder.maxAttempts = maxAttempts;
        builder.uncoveredGraceMs = uncoveredGraceMs;
        builder.cancelTimeoutMs = cancelTimeoutMs;
        builder.exclusionMs = exclusionMs;
        builder.maxHistory = maxHistory;
        return builder;
    }

    /** Builds settings; every value has a default. */
    public static final class Builder {

        private long seed = 1;
        private QueueSettings queue = QueueSettings.defaults();
        private long limitBurstMs = 2_000;
        private double initialAllotmentShare = 1.0;
        private int maxAttempts = 4;
        private long uncoveredGraceMs = 2_000;
        private long cancelTimeoutMs = 1_000;
        private long exclusionMs = 1_000;
        private int maxHistory = 32;

        private Builder() {}

        /** Sets the seed of the random source. */
        public Builder seed(long value) {
            this.seed = value;
            return this;
        }

        /** Sets the bounds of the request queue. */
        public Builder queue(QueueSettings value) {
            this.queue = value;
            return this;
        }

        /** Sets the burst of the rate limits, in ms. */
        public Builder limitBurstMs(long value) {
            this.limitBurstMs = value;
            return this;
        }

        /** Sets the share of the limits before the first allotment. */
        public Builder initialAllotmentShare(double value) {
            this.initialAllotmentShare = value;
            return this;
        }

        /** Sets the attempts of one request. */
        public Builder maxAttempts(int value) {
            this.maxAttempts = value;
            return this;
        }

        /** Sets the grace for a pool without cover, in ms. */
        public Builder uncoveredGraceMs(long value) {
            this.uncoveredGraceMs = value;
            return this;
        }

        /** Sets the wait for a cancelled attempt, in ms. */
        public Builder cancelTimeoutMs(long value) {
            this.cancelTimeoutMs = value;
            return this;
        }

        /** Sets the longest wait for another endpoint, in ms. */
        public Builder exclusionMs(long value) {
            this.exclusionMs = value;
            return this;
        }

        /** Sets the decisions kept for one request. */
        public Builder maxHistory(int value) {
            this.maxHistory = value;
            return this;
        }

        /** Returns the settings. */
        public CoreSettings build() {
            return new CoreSettings(
                    seed,
                    queue,
                    limitBurstMs,
                    initialAllotmentShare,
                    maxAttempts,
                    uncoveredGraceMs,
                    cancelTimeoutMs,
                    exclusionMs,
                    maxHistory);
        }
    }
}

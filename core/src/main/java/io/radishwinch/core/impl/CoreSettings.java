package io.radishwinch.core.impl;

import io.radishwinch.core.quarantine.QuarantineSettings;
import io.radishwinch.core.queue.QueueSettings;
import io.radishwinch.core.retry.RetrySettings;

/**
 * Settings of the decision core.
 *
 * @param seed seed of the random source
 * @param queue bounds of the request queue
 * @param retry limits on retries
 * @param quarantine settings of the crash quarantine
 * @param limitBurstMs burst of a caller's rate limits, in ms at its rate
 * @param initialAllotmentShare share of a contract's limits used before the first allotment, 0 to 1
 * @param uncoveredGraceMs time for which requests are still queued for a pool with a coverage gap, in ms
 * @param cancelTimeoutMs time within which the end of a cancelled attempt must be reported, in ms
 * @param exclusionMs longest wait for an endpoint on which no earlier attempt of the request failed, in ms
 * @param preemptAfterMs queueing time of a higher rank after which batch attempts are preempted, in ms
 * @param maxPreemptions maximum number of preemptions of one request
 * @param maxHistory number of decisions kept for one request
 * @param minRetryAfterMs shortest Retry-After of refusals for lack of capacity, in ms
 * @param maxRetryAfterMs longest Retry-After of refusals for lack of capacity, in ms
 * @param servesWhileDraining whether a draining router admits requests whose deadline is before the end of the drain
 * @param reroutesStreams whether endpoints can continue a running stream over another chain
 */
public record CoreSettings(
        long seed,
        QueueSettings queue,
        RetrySettings retry,
        QuarantineSettings quarantine,
        long limitBurstMs,
        double initialAllotmentShare,
        long uncoveredGraceMs,
        long cancelTimeoutMs,
        long exclusionMs,
        long preemptAfterMs,
        int maxPreemptions,
        int maxHistory,
        long minRetryAfterMs,
        long maxRetryAfterMs,
        boolean servesWhileDraining,
        boolean reroutesStreams) {

    /** Returns the defaults. */
    public static CoreSettings defaults() {
        return builder().build();
    }

    /** Returns a builder that starts from the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns a copy with another seed of the random source. */
    public CoreSettings withSeed(long value) {
        return toBuilder().seed(value).build();
    }

    /** Returns a copy with other bounds of the request queue. */
    public CoreSettings withQueue(QueueSettings value) {
        return toBuilder().queue(value).build();
    }

    /** Returns a copy with other limits on retries. */
    public CoreSettings withRetry(RetrySettings value) {
        return toBuilder().retry(value).build();
    }

    /** Returns a copy with other settings of the crash quarantine. */
    public CoreSettings withQuarantine(QuarantineSettings value) {
        return toBuilder().quarantine(value).build();
    }

    /** Returns a copy with another burst of a caller's rate limits, in ms at its rate. */
    public CoreSettings withLimitBurstMs(long value) {
        return toBuilder().limitBurstMs(value).build();
    }

    /** Returns a copy with another share of a contract's limits used before the first allotment, 0 to 1. */
    public CoreSettings withInitialAllotmentShare(double value) {
        return toBuilder().initialAllotmentShare(value).build();
    }

    /** Returns a copy with another time for which requests are queued for a pool with a coverage gap, in ms. */
    public CoreSettings withUncoveredGraceMs(long value) {
        return toBuilder().uncoveredGraceMs(value).build();
    }

    /** Returns a copy with another time within which the end of a cancelled attempt must be reported, in ms. */
    public CoreSettings withCancelTimeoutMs(long value) {
        return toBuilder().cancelTimeoutMs(value).build();
    }

    /** Returns a copy with another longest wait for an endpoint on which no earlier attempt failed, in ms. */
    public CoreSettings withExclusionMs(long value) {
        return toBuilder().exclusionMs(value).build();
    }

    /** Returns a copy with another queueing time after which batch attempts are preempted, in ms. */
    public CoreSettings withPreemptAfterMs(long value) {
        return toBuilder().preemptAfterMs(value).build();
    }

    /** Returns a copy with another limit of preemptions of one request. */
    public CoreSettings withMaxPreemptions(int value) {
        return toBuilder().maxPreemptions(value).build();
    }

    /** Returns a copy with another number of decisions kept for one request. */
    public CoreSettings withMaxHistory(int value) {
        return toBuilder().maxHistory(value).build();
    }

    /** Returns a copy with other bounds of the Retry-After of refusals for lack of capacity, in ms. */
    public CoreSettings withRetryAfter(long minMs, long maxMs) {
        return toBuilder().retryAfter(minMs, maxMs).build();
    }

    /** Returns a copy that admits requests while draining if their deadline is before the end of the drain. */
    public CoreSettings withServiceWhileDraining() {
        return toBuilder().servesWhileDraining(true).build();
    }

    /** Returns a copy that continues running streams over another chain when a stage is lost. */
    public CoreSettings withStreamRerouting() {
        return toBuilder().reroutesStreams(true).build();
    }

    /** Returns a builder that starts from these settings. */
    public Builder toBuilder() {
        Builder builder = new Builder();
        builder.seed = seed;
        builder.queue = queue;
        builder.retry = retry;
        builder.quarantine = quarantine;
        builder.limitBurstMs = limitBurstMs;
        builder.initialAllotmentShare = initialAllotmentShare;
        builder.uncoveredGraceMs = uncoveredGraceMs;
        builder.cancelTimeoutMs = cancelTimeoutMs;
        builder.exclusionMs = exclusionMs;
        builder.preemptAfterMs = preemptAfterMs;
        builder.maxPreemptions = maxPreemptions;
        builder.maxHistory = maxHistory;
        builder.minRetryAfterMs = minRetryAfterMs;
        builder.maxRetryAfterMs = maxRetryAfterMs;
        builder.servesWhileDraining = servesWhileDraining;
        builder.reroutesStreams = reroutesStreams;
        return builder;
    }

    /** Builds settings; every value has a default. */
    public static final class Builder {

        private long seed = 1;
        private QueueSettings queue = QueueSettings.defaults();
        private RetrySettings retry = RetrySettings.defaults();
        private QuarantineSettings quarantine = QuarantineSettings.defaults();
        private long limitBurstMs = 2_000;
        private double initialAllotmentShare = 1.0;
        private long uncoveredGraceMs = 2_000;
        private long cancelTimeoutMs = 1_000;
        private long exclusionMs = 1_000;
        private long preemptAfterMs = 200;
        private int maxPreemptions = 4;
        private int maxHistory = 32;
        private long minRetryAfterMs = 1_000;
        private long maxRetryAfterMs = 1_000;
        private boolean servesWhileDraining;
        private boolean reroutesStreams;

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

        /** Sets the limits on retries. */
        public Builder retry(RetrySettings value) {
            this.retry = value;
            return this;
        }

        /** Sets the settings of the crash quarantine. */
        public Builder quarantine(QuarantineSettings value) {
            this.quarantine = value;
            return this;
        }

        /** Sets the burst of a caller's rate limits, in ms at its rate. */
        public Builder limitBurstMs(long value) {
            this.limitBurstMs = value;
            return this;
        }

        /** Sets the share of a contract's limits used before the first allotment, 0 to 1. */
        public Builder initialAllotmentShare(double value) {
            this.initialAllotmentShare = value;
            return this;
        }

        /** Sets the time for which requests are queued for a pool with a coverage gap, in ms. */
        public Builder uncoveredGraceMs(long value) {
            this.uncoveredGraceMs = value;
            return this;
        }

        /** Sets the time within which the end of a cancelled attempt must be reported, in ms. */
        public Builder cancelTimeoutMs(long value) {
            this.cancelTimeoutMs = value;
            return this;
        }

        /** Sets the longest wait for an endpoint on which no earlier attempt failed, in ms. */
        public Builder exclusionMs(long value) {
            this.exclusionMs = value;
            return this;
        }

        /** Sets the queueing time after which batch attempts are preempted, in ms. */
        public Builder preemptAfterMs(long value) {
            this.preemptAfterMs = value;
            return this;
        }

        /** Sets the maximum number of preemptions of one request. */
        public Builder maxPreemptions(int value) {
            this.maxPreemptions = value;
            return this;
        }

        /** Sets the number of decisions kept for one request. */
        public Builder maxHistory(int value) {
            this.maxHistory = value;
            return this;
        }

        /** Sets the bounds of the Retry-After of refusals for lack of capacity, in ms. */
        public Builder retryAfter(long minMs, long maxMs) {
            this.minRetryAfterMs = minMs;
            this.maxRetryAfterMs = maxMs;
            return this;
        }

        /** Sets whether a draining router admits requests whose deadline is before the end of the drain. */
        public Builder servesWhileDraining(boolean value) {
            this.servesWhileDraining = value;
            return this;
        }

        /** Sets whether endpoints can continue a running stream over another chain. */
        public Builder reroutesStreams(boolean value) {
            this.reroutesStreams = value;
            return this;
        }

        /** Returns the settings. */
        public CoreSettings build() {
            return new CoreSettings(
                    seed,
                    queue,
                    retry,
                    quarantine,
                    limitBurstMs,
                    initialAllotmentShare,
                    uncoveredGraceMs,
                    cancelTimeoutMs,
                    exclusionMs,
                    preemptAfterMs,
                    maxPreemptions,
                    maxHistory,
                    minRetryAfterMs,
                    maxRetryAfterMs,
                    servesWhileDraining,
                    reroutesStreams);
        }
    }
}

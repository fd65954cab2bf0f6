package io.radishwinch.report;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import java.util.Optional;

/**
 * Outcome of one request, as recorded by its router.
 *
 * @param requestId identifier of the request
 * @param caller name of the caller
 * @param rank rank of the request
 * @param pool model name, or {@code service:<name>}
 * @param verdict whether the request ran; {@code NOT_RUN} counts as refused, the others as admitted
 * @param reason reason for which it was refused or failed, or empty for a complete response
 * @param firstTokenMs time from arrival to the first token in ms, or {@link #NOT_MEASURED}
 * @param meanTokenIntervalMs mean time between tokens in ms, or {@link #NOT_MEASURED}
 * @param worstTokenIntervalMs longest time between two tokens in ms, or {@link #NOT_MEASURED}
 * @param promptTokens number of prompt tokens processed
 * @param answerTokens number of generated tokens delivered
 * @param isWithinDeadline whether the complete response was delivered by the deadline
 * @param isRepeatable whether the request may run more than once; reports count other requests as charges
 * @param isReplayed whether the response is the recorded outcome of an earlier request with the same key
 * @param finishedAtMs time of the last byte or refusal, in ms since the epoch
 * @param retries number of attempts after the first
 */
public record RequestOutcome(
        String requestId,
        String caller,
        Rank rank,
        String pool,
        Verdict verdict,
        Optional<Reason> reason,
        double firstTokenMs,
        double meanTokenIntervalMs,
        double worstTokenIntervalMs,
        int promptTokens,
        int answerTokens,
        boolean isWithinDeadline,
        boolean isRepeatable,
        boolean isReplayed,
        long finishedAtMs,
        int retries) {

    /** Value of a duration that was not measured, for example the token interval of a plain service call. */
    public static final double NOT_MEASURED = -1;

    /** Returns a builder for a repeatable request without measured durations. */
    public static Builder builder(String requestId, String caller, Rank rank, String pool) {
        return new Builder(requestId, caller, rank, pool);
    }

    /** Collects the fields of an outcome. */
    public static final class Builder {
        private final String requestId;
        private final String caller;
        private final Rank rank;
        private final String pool;
        private double firstTokenMs = NOT_MEASURED;
        private double meanTokenIntervalMs = NOT_MEASURED;
        private double worstTokenIntervalMs = NOT_MEASURED;
        private int promptTokens;
        private int answerTokens;
        private boolean isRepeatable = true;
        private boolean isReplayed;
        private int retries;

        private Builder(String requestId, String caller, Rank rank, String pool) {
            this.requestId = requestId;
            this.caller = caller;
            this.rank = rank;
            this.pool = pool;
        }

        /** Sets the time from arrival to the first token, in ms. */
        public Builder withFirstTokenMs(double valueMs) {
            this.firstTokenMs = valueMs;
            return this;
        }

        /** Sets the mean and the longest time between tokens, in ms. */
        public Builder withTokenIntervalsMs(double meanMs, double worstMs) {
            this.meanTokenIntervalMs = meanMs;
            this.worstTokenIntervalMs = worstMs;
            return this;
        }

        /** Sets the numbers of prompt and generated tokens. */
        public Builder withTokens(int promptTokens, int answerTokens) {
            this.promptTokens = promptTokens;
            this.answerTokens = answerTokens;
            return this;
        }

        /** Sets whether the request may run more than once. */
        public Builder withRepeatable(boolean value) {
            this.isRepeatable = value;
            return this;
        }

        /** Sets whether the response is a recorded outcome. */
        public Builder withReplayed(boolean value) {
            this.isReplayed = value;
            return this;
        }

        /** Sets the number of attempts after the first. */
        public Builder withRetries(int value) {
            this.retries = value;
            return this;
        }

        /** Returns the outcome of a request with a complete response. */
        public RequestOutcome completed(boolean deadlineMet, long finishedAtMs) {
            return build(Verdict.RAN, Optional.empty(), deadlineMet, finishedAtMs);
        }

        /** Returns the outcome of a request that was refused or failed. */
        public RequestOutcome failed(Verdict verdict, Reason reason, long finishedAtMs) {
            return build(verdict, Optional.of(reason), false, finishedAtMs);
        }

        private RequestOutcome build(Verdict verdict, Optional<Reason> reason, boolean deadlineMet, long finishedAtMs) {
            return new RequestOutcome(
                    requestId,
                    caller,
                    rank,
                    pool,
                    verdict,
                    reason,
                    firstTokenMs,
                    meanTokenIntervalMs,
                    worstTokenIntervalMs,
                    promptTokens,
                    answerTokens,
                    deadlineMet,
                    isRepeatable,
                    isReplayed,
                    finishedAtMs,
                    retries);
        }
    }
}

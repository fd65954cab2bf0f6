package io.radishwinch.core.retry;

import java.util.Optional;

/**
 * Limits on retries.
 *
 * @param maxAttempts attempts of one request, preempted ones not counted
 * @param ratio retries granted for each first attempt whose request completes, 0 to 1
 * @param attemptRatio part of it that is granted when the attempt starts, 0 to {@code ratio}
 * @param windowMs unused retries of this period may be used at once, in ms
 * @param minBalance retries that a pool or caller may save up at any load
 * @param outageFailures failures in a row, without a completed request, after which a pool counts as down and what it
 *     saved up is void
 * @param callerRefillPerS retries/s that a caller gains at any load, within the budget of the pool
 * @param backoffBaseMs largest wait before the first retry, in ms; doubles with each further one
 * @param backoffMaxMs largest wait before any retry, in ms
 * @param maxBudgetWaits waits for an empty budget before a request is refused; a started stream waits until its
 *     deadline
 * @param maxEntries callers and pools with a budget of their own
 * @param deploymentLimit limit that all routers keep together, which takes the place of the budget above
 */
public record RetrySettings(
        int maxAttempts,
        double ratio,
        double attemptRatio,
        long windowMs,
        double minBalance,
        int outageFailures,
        double callerRefillPerS,
        long backoffBaseMs,
        long backoffMaxMs,
        int maxBudgetWaits,
        int maxEntries,
        Optional<DeploymentRetryLimit> deploymentLimit) {

    /**
     * Returns the defaults. Most of the budget is granted on completion, because in a total outage retries help nobody;
     * the smallest balance and the failures in a row let the streams of one lost endpoint resume.
     */
    public static RetrySettings defaults() {
        return new RetrySettings(4, 0.1, 0.02, 5_000, 16, 16, 0.1, 50, 2_000, 4, 10_000, Optional.empty());
    }

    /** Returns a copy with another number of attempts. */
    public RetrySettings withMaxAttempts(int attempts) {
        return new RetrySettings(
                attempts,
                ratio,
                attemptRatio,
                windowMs,
                minBalance,
                outageFailures,
                callerRefillPerS,
                backoffBaseMs,
                backoffMaxMs,
                maxBudgetWaits,
                maxEntries,
                deploymentLimit);
    }

    /** Returns a copy with another budget. */
    public RetrySettings withBudget(
            double newRatio, double newAttemptRatio, double newMinBalance, int newOutageFailures) {
        return new RetrySettings(
                maxAttempts,
                newRatio,
                newAttemptRatio,
                windowMs,
                newMinBalance,
                newOutageFailures,
                callerRefillPerS,
                backoffBaseMs,
                backoffMaxMs,
                maxBudgetWaits,
                maxEntries,
                deploymentLimit);
    }

    /** Returns a copy with another number of failures in a row after which a pool counts as down. */
    public RetrySettings withOutageFailures(int failures) {
        return withBudget(ratio, attemptRatio, minBalance, failures);
    }

    /** Returns a copy with another backoff, in ms. */
    public RetrySettings withBackoff(long baseMs, long maxMs) {
        return new RetrySettings(
                maxAttempts,
                ratio,
                attemptRatio,
                windowMs,
                minBalance,
                outageFailures,
                callerRefillPerS,
                baseMs,
                maxMs,
                maxBudgetWaits,
                maxEntries,
                deploymentLimit);
    }

    /** Returns a copy whose budget is this router's part of a limit that all routers keep together. */
    public RetrySettings withDeploymentLimit(DeploymentRetryLimit limit) {
        return new RetrySettings(
                maxAttempts,
                ratio,
                attemptRatio,
                windowMs,
                minBalance,
                outageFailures,
                callerRefillPerS,
                backoffBaseMs,
                backoffMaxMs,
                maxBudgetWaits,
                maxEntries,
                Optional.of(limit));
    }

    /** Creates the budget that these settings describe. */
    public RetryBudget newBudget() {
        return deploymentLimit
                .<RetryBudget>map(limit -> new SharedRetryBudget(limit, this))
                .orElseGet(() -> new EarnedRetryBudget(this));
    }
}

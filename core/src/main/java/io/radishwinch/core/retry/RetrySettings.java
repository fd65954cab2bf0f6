package io.radishwinch.core.retry;

import java.util.Optional;

/**
 * Settings of the retry policy and its budget.
 *
 * @param maxAttempts maximum number of attempts of one request, without preempted ones; once its response has begun,
 *     only those count to which an endpoint responded with an error
 * @param ratio retries granted per first attempt whose request completes, 0 to 1
 * @param attemptRatio part of {@code ratio} that is granted when the attempt starts, 0 to {@code ratio}
 * @param windowMs period whose unused retries may accumulate, in ms
 * @param minBalance retries that a pool or caller may accumulate regardless of load
 * @param outageFailures consecutive failures, without a completed request, after which a pool counts as down and loses
 *     its balance
 * @param callerRefillPerS retries/s granted to a caller regardless of load, within the budget of the pool
 * @param backoffBaseMs largest wait before the first retry, in ms; doubles with each further retry
 * @param backoffMaxMs largest wait before any retry, in ms
 * @param maxBudgetWaits waits for an exhausted budget after which a request is refused; started streams wait until
 *     their deadline
 * @param maxEntries maximum number of callers, and of pools, with a separate budget
 * @param deploymentLimit limit shared by all routers, which replaces the budget per router
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
     * Returns the defaults. Most of the budget is granted on completion, because retries have no effect in a total
     * outage. The minimum balance and the outage threshold are high enough for the streams of one lost endpoint to
     * resume.
     */
    public static RetrySettings defaults() {
        return new RetrySettings(4, 0.1, 0.02, 5_000, 16, 16, 0.1, 50, 2_000, 4, 10_000, Optional.empty());
    }

    /** Returns a copy with another limit of attempts. */
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

    /** Returns a copy with another number of consecutive failures after which a pool counts as down. */
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

    /** Returns a copy whose budget is this router's share of a limit for all routers. */
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

    /** Creates a budget with these settings. */
    public RetryBudget newBudget() {
        return deploymentLimit
                .<RetryBudget>map(limit -> new SharedRetryBudget(limit, this))
                .orElseGet(() -> new EarnedRetryBudget(this));
    }
}

package io.radishwinch.core.retry;

/**
 * Limit of the retries that all routers of a deployment together may send to one pool.
 *
 * @param ratio retries per first attempt, 0 to 1
 * @param reserve retries allowed per window regardless of load
 * @param windowMs length of the sliding window in which both are counted, in ms
 */
public record DeploymentRetryLimit(double ratio, double reserve, long windowMs) {}

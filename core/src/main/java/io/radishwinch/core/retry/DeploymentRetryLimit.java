package io.radishwinch.core.retry;

/**
 * Limit on the retries that all routers of a deployment together may send to one pool.
 *
 * @param ratio retries for each first attempt, 0 to 1
 * @param reserve retries allowed at any load
 * @param windowMs period in which both are counted, in ms; it slides
 */
public record DeploymentRetryLimit(double ratio, double reserve, long windowMs) {}

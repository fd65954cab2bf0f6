package io.radishwinch.core.model;

/**
 * Upper limits of one caller over the whole fleet.
 *
 * @param requestsPerS arrival rate in requests/s
 * @param tokensPerS prompt and answer tokens/s
 * @param concurrentRequests requests queued or running at the same time
 */
public record Limits(double requestsPerS, double tokensPerS, int concurrentRequests) {}

package io.radishwinch.core.model;

/**
 * Limits of one caller over the whole fleet.
 *
 * @param requestsPerS requests/s
 * @param tokensPerS prompt and generated tokens/s
 * @param concurrentRequests maximum number of queued and running requests
 */
public record Limits(double requestsPerS, double tokensPerS, int concurrentRequests) {}

package io.radishwinch.core.model;

/**
 * Terms of a contract for one rank.
 *
 * @param timeoutMs default time from arrival to the end of the response, in ms
 * @param floorTokensPerS throughput guaranteed under overload, in tokens/s over the whole fleet
 */
public record RankTerms(long timeoutMs, double floorTokensPerS) {}

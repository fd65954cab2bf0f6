package io.radishwinch.core.model;

/**
 * What a contract grants for one rank.
 *
 * @param timeoutMs default time from arrival to the end of the answer, in ms
 * @param floorTokensPerS throughput that stays available in a flood of other work, in tokens/s over the whole fleet
 */
public record RankTerms(long timeoutMs, double floorTokensPerS) {}

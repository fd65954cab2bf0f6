package io.radishwinch.soak;

/**
 * Something that the soak did to the deployment.
 *
 * @param atMs wall clock, in ms since the epoch
 * @param text description, for example {@code engine-1 is silent}
 */
public record Incident(long atMs, String text) {}

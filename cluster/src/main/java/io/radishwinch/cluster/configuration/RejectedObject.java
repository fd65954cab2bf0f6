package io.radishwinch.cluster.configuration;

/**
 * An object that did not take effect because it is invalid.
 *
 * @param key key on the platform
 * @param version version that was refused
 * @param problem what is wrong with it
 */
public record RejectedObject(String key, long version, String problem) {}

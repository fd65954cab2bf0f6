package io.radishwinch.cluster.configuration;

/**
 * An object that did not take effect because it is invalid or exceeds a limit.
 *
 * @param key key on the platform
 * @param version version that was rejected
 * @param problem why it was rejected
 */
public record RejectedObject(String key, long version, String problem) {}

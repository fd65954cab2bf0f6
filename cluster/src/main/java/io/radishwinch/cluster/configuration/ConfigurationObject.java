package io.radishwinch.cluster.configuration;

/**
 * One configuration object in effect, or the tombstone of a deleted one. The value array is shared and must not be
 * modified.
 *
 * @param key key on the platform
 * @param version platform version of its last write or deletion
 * @param value content, or null after a deletion
 */
@SuppressWarnings("ArrayRecordComponent")
public record ConfigurationObject(String key, long version, byte[] value) {

    /** Returns whether the object was deleted. */
    public boolean isDeleted() {
        return value == null;
    }
}

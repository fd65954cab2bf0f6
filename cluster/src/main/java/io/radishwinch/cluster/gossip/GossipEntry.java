package io.radishwinch.cluster.gossip;

import io.radishwinch.protocol.generated.Entry;
import io.radishwinch.protocol.generated.EntryKind;
import io.radishwinch.protocol.generated.EntryVersion;
import java.nio.ByteBuffer;

/**
 * One last-writer-wins entry. The value array is shared and must not be modified.
 *
 * @param kind kind
 * @param key key within the kind
 * @param version version; the higher one wins, then the lexicographically greater origin
 * @param origin id of the router that wrote the entry, or an empty string for objects of the platform
 * @param value content, or null for a tombstone
 * @param deadlineMs time of expiry, in ms of this router's clock, or {@link #NEVER}
 */
@SuppressWarnings("ArrayRecordComponent")
public record GossipEntry(EntryKind kind, String key, long version, String origin, byte[] value, long deadlineMs) {

    /** Deadline of entries that do not expire. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Approximate encoded size of the fields other than key, origin and value, in bytes. */
    private static final int FIXED_BYTES = 24;

    /** Returns whether the entry marks a deletion. */
    public boolean isTombstone() {
        return value == null;
    }

    /** Returns whether this entry supersedes another one with the same key. */
    public boolean supersedes(GossipEntry other) {
        return supersedes(other.version, other.origin);
    }

    boolean supersedes(long otherVersion, String otherOrigin) {
        return version > otherVersion || (version == otherVersion && origin.compareTo(otherOrigin) > 0);
    }

    /** Returns the approximate encoded size, in bytes. */
    int sizeBytes() {
        return FIXED_BYTES + key.length() + origin.length() + (value == null ? 0 : value.length);
    }

    /** Returns the remaining time in ms, at least 1, or 0 if the entry does not expire. */
    long remainingMs(long nowMs) {
        return deadlineMs == NEVER ? 0 : Math.max(1, deadlineMs - nowMs);
    }

    Entry toThrift(long nowMs) {
        Entry entry = new Entry(kind, key, version, origin, remainingMs(nowMs));
        if (value != null) {
            entry.setValue(ByteBuffer.wrap(value));
        }
        return entry;
    }

    EntryVersion toVersion() {
        return new EntryVersion(kind, key, version, origin);
    }

    static GossipEntry from(Entry entry, long nowMs) {
        byte[] value = entry.isSetValue() ? entry.getValue() : null;
        long remainingMs = entry.getRemainingMs();
        long deadlineMs = remainingMs == 0 ? NEVER : nowMs + Math.min(remainingMs, Integer.MAX_VALUE);
        return new GossipEntry(
                entry.getKind(), entry.getKey(), entry.getVersion(), entry.getOrigin(), value, deadlineMs);
    }
}

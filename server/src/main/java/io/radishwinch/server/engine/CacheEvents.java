package io.radishwinch.server.engine;

import java.util.List;

/**
 * Changes of an engine's prompt-prefix cache since a sequence number.
 *
 * @param nextSequence sequence number from which to request the next changes
 * @param hasGap whether changes since the requested sequence number are missing
 * @param added hashes of prefixes that were added and are still cached
 * @param removed hashes of prefixes that were evicted and not added again
 */
public record CacheEvents(long nextSequence, boolean hasGap, List<Long> added, List<Long> removed) {

    /** Copies the lists. */
    public CacheEvents {
        added = List.copyOf(added);
        removed = List.copyOf(removed);
    }
}

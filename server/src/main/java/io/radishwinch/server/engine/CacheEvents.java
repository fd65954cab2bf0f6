package io.radishwinch.server.engine;

import java.util.List;

/**
 * Changes of an engine's prompt-prefix cache after a sequence number.
 *
 * @param nextSequence sequence number to ask from next time
 * @param hasGap whether changes in between are missing
 * @param added prefixes added and not removed again
 * @param removed prefixes evicted and not added again
 */
public record CacheEvents(long nextSequence, boolean hasGap, List<Long> added, List<Long> removed) {

    /** Copies the lists. */
    public CacheEvents {
        added = List.copyOf(added);
        removed = List.copyOf(removed);
    }
}

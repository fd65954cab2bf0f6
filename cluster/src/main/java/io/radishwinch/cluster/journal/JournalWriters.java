package io.radishwinch.cluster.journal;

import java.util.Optional;

/**
 * Selects the preferred writer of each shard. This only reduces conflicts between routers: the journal is correct with
 * any selection, even if the routers disagree.
 */
public interface JournalWriters {

    /** Returns the router that should write the shard, or empty if it is this one or is unknown. */
    Optional<JournalPeer> writerOf(int shard);

    /**
     * Returns whether the router with this identifier, including its incarnation, is alive in the view of this router.
     */
    boolean isLive(String routerId);

    /** Returns writers for a single router, which writes every shard itself. */
    static JournalWriters singleRouter() {
        return new JournalWriters() {
            @Override
            public Optional<JournalPeer> writerOf(int shard) {
                return Optional.empty();
            }

            @Override
            public boolean isLive(String routerId) {
                return false;
            }
        };
    }
}

package io.radishwinch.cluster.journal;

import java.util.Optional;

/**
 * Names the preferred writer of each shard. The answers only save conflicts between routers: the journal is correct
 * with any answers, also when the routers disagree.
 */
public interface JournalWriters {

    /** Returns the router that should write the shard, or empty if it is this one or none is known. */
    Optional<JournalPeer> writerOf(int shard);

    /** Returns whether the router with this identifier, including its incarnation, is believed to be alive. */
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

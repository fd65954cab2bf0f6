package io.radishwinch.cluster.gossip;

import io.radishwinch.cluster.membership.RendezvousHash;
import io.radishwinch.protocol.generated.EntryKind;
import java.util.ArrayList;
import java.util.List;

/**
 * Hashes of the buckets of entries. Each is the exclusive or of the hashes of its entries and is updated incrementally.
 */
final class BucketHashes {

    /** Number of buckets. With 1,300 configuration objects, a bucket lists about 20 versions in 700 bytes. */
    static final int BUCKETS = 64;

    private final long[] hashes = new long[BUCKETS];

    static int bucket(EntryKind kind, String key) {
        return (int) (RendezvousHash.mix(RendezvousHash.hash(key) + kind.getValue()) & (BUCKETS - 1));
    }

    /** Adds an entry to its bucket, or removes one that was added before. */
    void toggle(int bucket, GossipEntry entry) {
        long identity = RendezvousHash.hash(entry.key())
                ^ RendezvousHash.mix(entry.version() * 31 + entry.kind().getValue())
                ^ Long.rotateLeft(RendezvousHash.hash(entry.origin()), 17);
        hashes[bucket] ^= RendezvousHash.mix(identity);
    }

    long combinedHash() {
        long sum = 0;
        for (long hash : hashes) {
            sum = RendezvousHash.mix(sum + hash);
        }
        return sum;
    }

    List<Long> toList() {
        List<Long> list = new ArrayList<>(BUCKETS);
        for (long hash : hashes) {
            list.add(hash);
        }
        return list;
    }
}

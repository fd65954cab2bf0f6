package io.radishwinch.cluster.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Assigns keys to members by highest random weight.
 *
 * <p>Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on
 * Networking 6(1), 1998. When a member leaves, only its keys are reassigned. The result depends only on the set of
 * members, not on their order.
 */
public final class RendezvousHash {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** Returns the owner of the key, or empty if there is no member. */
    public static Optional<String> owner(String key, Collection<String> memberIds) {
        String best = null;
        long bestWeight = 0;
        for (String id : memberIds) {
            long weight = weight(key, id);
            if (best == null
                    || Long.compareUnsigned(weight, bestWeight) > 0
                    || (weight == bestWeight && id.compareTo(best) < 0)) {
                best = id;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the owner of each bucket such that no member owns more than an equal part, rounded up.
     *
     * <p>Each bucket is assigned to the member with the highest weight that has spare capacity. When a member leaves,
     * its buckets and few others are reassigned.
     *
     * @param memberIds members, at least one
     */
    public static List<String> balancedOwners(String key, int buckets, Collection<String> memberIds) {
        int capacity = (buckets + memberIds.size() - 1) / memberIds.size();
        Map<String, Integer> loads = new HashMap<>();
        List<String> owners = new ArrayList<>(buckets);
        for (int i = 0; i < buckets; i++) {
            String bucketKey = key + "/" + i;
            String owner = owner(
                            bucketKey,
                            memberIds.stream()
                                    .filter(id -> loads.getOrDefault(id, 0) < capacity)
                                    .toList())
                    .orElseThrow();
            loads.merge(owner, 1, Integer::sum);
            owners.add(owner);
        }
        return List.copyOf(owners);
    }

    /** Returns the {@code count} members with the highest weights for the key, highest first. */
    public static List<String> top(String key, Collection<String> memberIds, int count) {
        List<String> sorted = new ArrayList<>(memberIds);
        sorted.sort(Comparator.<String>comparingLong(id -> weight(key, id) ^ Long.MIN_VALUE)
                .reversed()
                .thenComparing(Comparator.naturalOrder()));
        return List.copyOf(sorted.subList(0, Math.min(count, sorted.size())));
    }

    /** Returns whether the member is among the {@code count} members with the highest weights for the key. */
    public static boolean isAmongTop(String id, String key, Collection<String> memberIds, int count) {
        return memberIds.contains(id) && rank(id, key, memberIds) < count;
    }

    /** Returns the number of members that precede a router in the order of weights for the key. */
    public static int rank(String id, String key, Collection<String> memberIds) {
        long weightOfId = weight(key, id);
        int preceding = 0;
        for (String other : memberIds) {
            int order = Long.compareUnsigned(weight(key, other), weightOfId);
            if (order > 0 || (order == 0 && other.compareTo(id) < 0)) {
                preceding++;
            }
        }
        return preceding;
    }

    /** Returns a 64-bit hash of the text (FNV-1a with the finalizer of SplitMix64). */
    public static long hash(String text) {
        return mix(fnv(FNV_OFFSET, text));
    }

    /** Returns the bits mixed by the finalizer of SplitMix64. */
    public static long mix(long bits) {
        long z = bits;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    private static long weight(String key, String id) {
        return mix(fnv(mix(fnv(FNV_OFFSET, key)), id));
    }

    private static long fnv(long start, String text) {
        long hash = start;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }
}

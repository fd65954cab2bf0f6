package io.radishwinch.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Assigns leases by rendezvous hashing over the live routers of the data centre.
 *
 * <p>Source: D. G. Thaler, C. V. Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM Transactions
 * on Networking 6(1), 1998. All leases expire unless the membership is confirmed again within the lease time, so that a
 * paused or partitioned router stops giving orders.
 */
public final class RendezvousPlacementLease implements PlacementLease {

    private final String routerId;
    private final long leaseMs;
    private final Map<String, Long> heldSinceMs = new HashMap<>();
    private List<String> routers = List.of();
    private long validUntilMs = Long.MIN_VALUE;
    private long confirmedSinceMs = Long.MIN_VALUE;

    /**
     * Creates a lease without a known membership, which grants nothing until the first confirmation.
     *
     * @param routerId identifier of this router
     * @param leaseMs time for which a confirmation is valid, in ms
     */
    public RendezvousPlacementLease(String routerId, long leaseMs) {
        this.routerId = routerId;
        this.leaseMs = leaseMs;
    }

    /**
     * Records that the membership was confirmed by direct contact, for example by an acknowledged probe.
     *
     * @param liveRouters live routers of the data centre, including this one
     * @param nowMs time of the confirmation in ms
     */
    public void confirmMembership(Collection<String> liveRouters, long nowMs) {
        List<String> sorted = List.copyOf(new TreeSet<>(liveRouters));
        if (nowMs >= validUntilMs) {
            heldSinceMs.clear();
            confirmedSinceMs = nowMs;
        } else if (!sorted.equals(routers)) {
            // Only keys that this router also holds after the change keep the time since which they are held.
            heldSinceMs.keySet().removeIf(key -> !leaseHolder(sorted, key).equals(routerId));
            confirmedSinceMs = nowMs;
        }
        routers = sorted;
        validUntilMs = nowMs + leaseMs;
    }

    @Override
    public boolean holds(String key, long nowMs) {
        if (nowMs >= validUntilMs || !leaseHolder(routers, key).equals(routerId)) {
            return false;
        }
        heldSinceMs.putIfAbsent(key, confirmedSinceMs);
        return true;
    }

    @Override
    public long heldSinceMs(String key) {
        return heldSinceMs.getOrDefault(key, confirmedSinceMs);
    }

    @Override
    public long leaseMs() {
        return leaseMs;
    }

    private static String leaseHolder(List<String> routers, String key) {
        String best = "";
        long bestHash = Long.MIN_VALUE;
        for (String router : routers) {
            long hash = mix(31L * router.hashCode() + 1_000_003L * key.hashCode());
            if (best.isEmpty() || hash > bestHash) {
                best = router;
                bestHash = hash;
            }
        }
        return best;
    }

    /** Finalizer of SplitMix64 (G. L. Steele, D. Lea, C. H. Flood, OOPSLA 2014). */
    private static long mix(long value) {
        long z = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}

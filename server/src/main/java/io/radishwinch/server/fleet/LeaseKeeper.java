package io.radishwinch.server.fleet;

import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformClient.PutResult;
import io.radishwinch.cluster.platform.PlatformClient.StoredObject;
import io.radishwinch.core.placement.LayoutPlanner;
import io.radishwinch.core.placement.PlacementLease;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * Leases on groups of engines: the router that wrote the group's object in the platform last holds the lease until it
 * is gone.
 *
 * <p>A lease is not renewed. Another router takes it over by a conditional write once the membership has shown that its
 * holder is gone, and the store's version of that write is the fencing number. A holder that was paused may act once
 * more before it learns of that; engines refuse its orders, because every order names the orders accepted before.
 */
final class LeaseKeeper implements PlacementLease {

    /** Interval between tries to take over a lease, in ms. */
    private static final long TRY_INTERVAL_MS = 500;

    /** Time for which a holder that this router has never seen is given the benefit of the doubt, in ms. */
    private static final long UNSEEN_HOLDER_MS = 4_000;

    /** Time without a router in a data centre after which another one plans for it, in ms; a start takes less. */
    private static final long ABSENT_ROUTERS_MS = 6_000;

    /** Time without a tick after which the process was paused, in ms; several times the interval of ticks. */
    private static final long PAUSE_MS = 1_500;

    private final String routerId;
    private final long incarnation;
    private final String dataCentre;
    private final PlatformClient platform;
    private final String prefix;
    private final Presence presence;
    private final Supplier<String> nonces;
    private final FleetLog log;
    private final Map<String, Lease> leases = new TreeMap<>();
    private long lastTickMs = Long.MIN_VALUE;

    /** Tells whether routers are alive. */
    interface Presence {

        /** Returns the incarnation of a live router, or empty if it is not known to live. */
        Optional<Long> incarnation(String routerId);

        /** Returns whether any router is alive in a data centre. */
        boolean hasRouters(String dataCentre);
    }

    /** A lease on one group. */
    private static final class Lease {
        private Holder holder;
        private long version = PlatformClient.ABSENT;
        private long learnedAtMs;
        private long heldSinceMs;
        private long nextTryMs;
        /** Time since which no router of the data centre is known, or the largest number while one is. */
        private long absentSinceMs = Long.MAX_VALUE;

        private boolean inDoubt;
        private boolean calling;
    }

    /** A process of a router. */
    private record Holder(String routerId, long incarnation) {

        byte[] encode() {
            return (routerId + " " + incarnation).getBytes(StandardCharsets.UTF_8);
        }

        static Holder decode(byte[] value) {
            String[] parts = new String(value, StandardCharsets.UTF_8).split(" ", -1);
            try {
                return parts.length == 2 ? new Holder(parts[0], Long.parseLong(parts[1])) : new Holder("", 0);
            } catch (NumberFormatException e) {
                // An object that no router wrote names no holder, so that the lease can be taken over.
                return new Holder("", 0);
            }
        }
    }

    LeaseKeeper(
            String routerId,
            long incarnation,
            String dataCentre,
            PlatformClient platform,
            String prefix,
            Presence presence,
            Supplier<String> nonces,
            FleetLog log) {
        this.routerId = routerId;
        this.incarnation = incarnation;
        this.dataCentre = dataCentre;
        this.platform = platform;
        this.prefix = prefix;
        this.presence = presence;
        this.nonces = nonces;
        this.log = log;
    }

    // Lease

    @Override
    public boolean holds(String key, long nowMs) {
        Lease lease = leases.computeIfAbsent(key, ignored -> new Lease());
        return isOwn(lease) && !lease.inDoubt && mayHold(key, lease, nowMs);
    }

    @Override
    public long heldSinceMs(String key) {
        Lease lease = leases.get(key);
        return lease == null ? Long.MAX_VALUE : lease.heldSinceMs;
    }

    /** A holder acts only while it is alive, so that nothing has to be waited for. */
    @Override
    public long leaseMs() {
        return 0;
    }

    /** Reads a lease again before it is used, because an order showed that somebody else gives orders. */
    void doubt() {
        leases.values().forEach(lease -> lease.inDoubt |= isOwn(lease));
    }

    /** Takes over leases whose holder is gone; to be called several times a second. */
    void tick(long nowMs) {
        boolean wasPaused = lastTickMs != Long.MIN_VALUE && nowMs - lastTickMs > PAUSE_MS;
        lastTickMs = nowMs;
        if (wasPaused) {
            doubt();
        }
        leases.forEach((key, lease) -> {
            if (lease.calling || nowMs < lease.nextTryMs) {
                return;
            }
            if (lease.inDoubt) {
                call(lease, nowMs);
                platform.get(prefix + key)
                        .subscribe()
                        .with(found -> read(key, lease, found, nowMs), error -> lease.calling = false);
            } else if (!isOwn(lease) && mayHold(key, lease, nowMs) && isFree(lease, nowMs)) {
                call(lease, nowMs);
                platform.put(prefix + key, lease.version, new Holder(routerId, incarnation).encode(), nonces.get())
                        .subscribe()
                        .with(result -> written(key, lease, result, nowMs), error -> lease.calling = false);
            }
        });
    }

    private static void call(Lease lease, long nowMs) {
        lease.calling = true;
        lease.nextTryMs = nowMs + TRY_INTERVAL_MS;
    }

    private boolean isOwn(Lease lease) {
        return lease.holder != null
                && lease.holder.routerId.equals(routerId)
                && lease.holder.incarnation == incarnation;
    }

    /** Engines are ordered by a router beside them, which sees their failures and reaches them when others do not. */
    private boolean mayHold(String key, Lease lease, long nowMs) {
        if (key.equals(dataCentre) || key.equals(LayoutPlanner.SHARED_GROUP)) {
            return true;
        }
        if (presence.hasRouters(key)) {
            lease.absentSinceMs = Long.MAX_VALUE;
            return false;
        }
        lease.absentSinceMs = Math.min(lease.absentSinceMs, nowMs);
        return nowMs - lease.absentSinceMs >= ABSENT_ROUTERS_MS;
    }

    private boolean isFree(Lease lease, long nowMs) {
        if (lease.holder == null || lease.holder.routerId.isEmpty() || lease.holder.routerId.equals(routerId)) {
            return true;
        }
        Optional<Long> alive = presence.incarnation(lease.holder.routerId);
        if (alive.isPresent()) {
            return alive.get() > lease.holder.incarnation;
        }
        return nowMs - lease.learnedAtMs >= UNSEEN_HOLDER_MS;
    }

    private void read(String key, Lease lease, Optional<StoredObject> found, long nowMs) {
        lease.calling = false;
        lease.inDoubt = false;
        learn(key, lease, found, nowMs);
    }

    private void written(String key, Lease lease, PutResult result, long nowMs) {
        lease.calling = false;
        if (result instanceof PutResult.Written written) {
            lease.version = written.version();
            lease.holder = new Holder(routerId, incarnation);
            lease.heldSinceMs = nowMs;
            log.belief("lease-taken", prefix + key, "version " + written.version());
        } else if (result instanceof PutResult.Conflict conflict) {
            learn(key, lease, conflict.current(), nowMs);
        }
    }

    private void learn(String key, Lease lease, Optional<StoredObject> found, long nowMs) {
        boolean wasOwn = isOwn(lease);
        Holder before = lease.holder;
        lease.version = found.map(StoredObject::version).orElse(PlatformClient.ABSENT);
        lease.holder = found.map(object -> Holder.decode(object.value())).orElse(null);
        if (lease.holder != null && !lease.holder.equals(before)) {
            lease.learnedAtMs = nowMs;
        }
        if (wasOwn && !isOwn(lease)) {
            log.belief("lease-lost", prefix + key, "held by " + lease.holder);
        }
    }
}

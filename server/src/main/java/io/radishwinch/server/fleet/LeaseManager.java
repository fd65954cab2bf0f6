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
final class LeaseManager implements PlacementLease {

    /** Interval between tries to take over a lease, in ms. */
    private static final long CALL_INTERVAL_MS = 500;

    /** Time for which a holder that this router has never seen is given the benefit of the doubt, in ms. */
    private static final long UNSEEN_HOLDER_GRACE_MS = 4_000;

    /** Time without a router in a data centre after which another one plans for it, in ms; a start takes less. */
    private static final long ABSENT_ROUTERS_TIMEOUT_MS = 6_000;

    /** Time without a tick after which the process was paused, in ms; several times the interval of ticks. */
    private static final long PAUSE_THRESHOLD_MS = 1_500;

    private final String routerId;
    private final long incarnation;
    private final String dataCentre;
    private final PlatformClient platform;
    private final String prefix;
    private final LiveMembers liveMembers;
    private final Supplier<String> nonces;
    private final FleetLog log;
    private final Map<String, Lease> leases = new TreeMap<>();
    private long lastTickMs = Long.MIN_VALUE;

    /** Tells whether routers are alive. */
    interface LiveMembers {

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
        private long nextCallMs;
        /** Time since which no router of the data centre is known, or the largest number while one is. */
        private long routersAbsentSinceMs = Long.MAX_VALUE;

        private boolean needsRecheck;
        private boolean isCallPending;
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

    LeaseManager(
            String routerId,
            long incarnation,
            String dataCentre,
            PlatformClient platform,
            String prefix,
            LiveMembers presence,
            Supplier<String> nonces,
            FleetLog log) {
        this.routerId = routerId;
        this.incarnation = incarnation;
        this.dataCentre = dataCentre;
        this.platform = platform;
        this.prefix = prefix;
        this.liveMembers = presence;
        this.nonces = nonces;
        this.log = log;
    }

    // Lease

    @Override
    public boolean holds(String key, long nowMs) {
        Lease lease = leases.computeIfAbsent(key, ignored -> new Lease());
        return isHeldByThisRouter(lease) && !lease.needsRecheck && mayHold(key, lease, nowMs);
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
    void recheckHeldLeases() {
        leases.values().forEach(lease -> lease.needsRecheck |= isHeldByThisRouter(lease));
    }

    /** Takes over leases whose holder is gone; to be called several times a second. */
    void tick(long nowMs) {
        boolean wasPaused = lastTickMs != Long.MIN_VALUE && nowMs - lastTickMs > PAUSE_THRESHOLD_MS;
        lastTickMs = nowMs;
        if (wasPaused) {
            recheckHeldLeases();
        }
        leases.forEach((key, lease) -> {
            if (lease.isCallPending || nowMs < lease.nextCallMs) {
                return;
            }
            if (lease.needsRecheck) {
                markCallPending(lease, nowMs);
                platform.get(prefix + key)
                        .subscribe()
                        .with(found -> onRead(key, lease, found, nowMs), error -> lease.isCallPending = false);
            } else if (!isHeldByThisRouter(lease) && mayHold(key, lease, nowMs) && isAvailable(lease, nowMs)) {
                markCallPending(lease, nowMs);
                platform.put(prefix + key, lease.version, new Holder(routerId, incarnation).encode(), nonces.get())
                        .subscribe()
                        .with(result -> onPutResult(key, lease, result, nowMs), error -> lease.isCallPending = false);
            }
        });
    }

    private static void markCallPending(Lease lease, long nowMs) {
        lease.isCallPending = true;
        lease.nextCallMs = nowMs + CALL_INTERVAL_MS;
    }

    private boolean isHeldByThisRouter(Lease lease) {
        return lease.holder != null
                && lease.holder.routerId.equals(routerId)
                && lease.holder.incarnation == incarnation;
    }

    /** Engines are ordered by a router beside them, which sees their failures and reaches them when others do not. */
    private boolean mayHold(String key, Lease lease, long nowMs) {
        if (key.equals(dataCentre) || key.equals(LayoutPlanner.SHARED_GROUP)) {
            return true;
        }
        if (liveMembers.hasRouters(key)) {
            lease.routersAbsentSinceMs = Long.MAX_VALUE;
            return false;
        }
        lease.routersAbsentSinceMs = Math.min(lease.routersAbsentSinceMs, nowMs);
        return nowMs - lease.routersAbsentSinceMs >= ABSENT_ROUTERS_TIMEOUT_MS;
    }

    private boolean isAvailable(Lease lease, long nowMs) {
        if (lease.holder == null || lease.holder.routerId.isEmpty() || lease.holder.routerId.equals(routerId)) {
            return true;
        }
        Optional<Long> alive = liveMembers.incarnation(lease.holder.routerId);
        if (alive.isPresent()) {
            return alive.get() > lease.holder.incarnation;
        }
        return nowMs - lease.learnedAtMs >= UNSEEN_HOLDER_GRACE_MS;
    }

    private void onRead(String key, Lease lease, Optional<StoredObject> found, long nowMs) {
        lease.isCallPending = false;
        lease.needsRecheck = false;
        applyStoredLease(key, lease, found, nowMs);
    }

    private void onPutResult(String key, Lease lease, PutResult result, long nowMs) {
        lease.isCallPending = false;
        if (result instanceof PutResult.Written written) {
            lease.version = written.version();
            lease.holder = new Holder(routerId, incarnation);
            lease.heldSinceMs = nowMs;
            log.stateChanged("lease-taken", prefix + key, "version " + written.version());
        } else if (result instanceof PutResult.Conflict conflict) {
            applyStoredLease(key, lease, conflict.current(), nowMs);
        }
    }

    private void applyStoredLease(String key, Lease lease, Optional<StoredObject> found, long nowMs) {
        boolean wasOwn = isHeldByThisRouter(lease);
        Holder before = lease.holder;
        lease.version = found.map(StoredObject::version).orElse(PlatformClient.ABSENT);
        lease.holder = found.map(object -> Holder.decode(object.value())).orElse(null);
        if (lease.holder != null && !lease.holder.equals(before)) {
            lease.learnedAtMs = nowMs;
        }
        if (wasOwn && !isHeldByThisRouter(lease)) {
            log.stateChanged("lease-lost", prefix + key, "held by " + lease.holder);
        }
    }
}

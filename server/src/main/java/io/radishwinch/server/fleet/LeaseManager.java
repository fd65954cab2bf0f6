package io.radishwinch.server.fleet;

import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformClient.PutResult;
import io.radishwinch.cluster.platform.PlatformClient.StoredObject;
import io.radishwinch.cluster.platform.StoreVersion;
import io.radishwinch.core.placement.LayoutPlanner;
import io.radishwinch.core.placement.PlacementLease;
import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Manages leases on groups of engines. The router that last wrote the group's object in the platform holds the lease
 * until it leaves or fails.
 *
 * <p>Leases are not renewed. Once the membership no longer lists the holder, another router takes the lease over with a
 * conditional write; the store's version of that write is the fencing token. A paused holder may still send orders
 * before it detects the takeover. Engines refuse them, because each order contains the number of orders accepted
 * before.
 */
final class LeaseManager implements PlacementLease {

    /** Minimum interval between two platform calls for one lease, in ms. */
    private static final long CALL_INTERVAL_MS = 500;

    /**
     * Time for which a holder that the membership has never listed is assumed alive, in ms, as lists may be incomplete.
     */
    private static final long UNSEEN_HOLDER_GRACE_MS = 4_000;

    /**
     * Time for which a stopping router leaves a lease without a holder to others, in ms. They take it within a tick, so
     * that the lease does not lose its holder again when this router leaves.
     */
    private static final long STOPPING_DELAY_MS = 2_000;

    /**
     * Largest difference between the incarnations that one process has, as it raises its own by one for each suspicion
     * that it refutes. Those of two processes differ by the ms between their starts.
     */
    private static final long MAX_REFUTATIONS = 1_000;

    /** Time without a router in a data centre after which a remote router plans for it, in ms; a restart takes less. */
    private static final long ABSENT_ROUTERS_TIMEOUT_MS = 6_000;

    /** Time between two ticks from which the process counts as paused, in ms; several tick intervals. */
    private static final long PAUSE_THRESHOLD_MS = 1_500;

    /**
     * Time after a restore of the store in which a write that another router had sent before it may still replace a
     * lease, in ms.
     */
    private static final long DELAYED_WRITE_MS = 7_000;

    private final String routerId;
    private final long incarnation;
    private final String dataCentre;
    private final PlatformClient platform;
    private final String prefix;
    private final LiveMembers liveMembers;
    private final Supplier<String> nonces;
    private final Consumer<String> onReleased;
    private final FleetLog log;
    private final Map<String, Lease> leases = new TreeMap<>();
    private long lastTickMs = Long.MIN_VALUE;
    private long recheckAtMs = Long.MAX_VALUE;
    private boolean isSuspended;
    private boolean isStopping;

    /** Looks up live routers in the membership. */
    interface LiveMembers {

        /** Returns the incarnation of a live router, or empty if the router is not known to be alive. */
        Optional<Long> incarnation(String routerId);

        /** Returns whether this router is among the few that may take over a lease. */
        boolean isCandidate(String key);

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
        /** Time since which the data centre has no live router, or {@code Long.MAX_VALUE} if it has one. */
        private long routersAbsentSinceMs = Long.MAX_VALUE;

        /** Time since which the lease has no live holder, or {@code Long.MAX_VALUE} if it has one. */
        private long availableSinceMs = Long.MAX_VALUE;

        /** Whether the membership has listed the holder since this router learned of it. */
        private boolean wasHolderListed;

        private boolean needsRecheck;
        private boolean isCallPending;
    }

    /** Router process that holds a lease. */
    private record Holder(String routerId, long incarnation) {
        private static final Holder NONE = new Holder("", 0);

        byte[] encode() {
            return (routerId + " " + incarnation).getBytes(StandardCharsets.UTF_8);
        }

        static Holder decode(byte[] value) {
            String[] parts = new String(value, StandardCharsets.UTF_8).split(" ", -1);
            try {
                return parts.length == 2 ? new Holder(parts[0], Long.parseLong(parts[1])) : NONE;
            } catch (NumberFormatException e) {
                // An object not written by a router names no holder, so the lease can be taken over.
                return NONE;
            }
        }
    }

    LeaseManager(
            String routerId,
            long incarnation,
            String dataCentre,
            PlatformClient platform,
            String prefix,
            LiveMembers liveMembers,
            Supplier<String> nonces,
            Consumer<String> onReleased,
            FleetLog log) {
        this.routerId = routerId;
        this.incarnation = incarnation;
        this.dataCentre = dataCentre;
        this.platform = platform;
        this.prefix = prefix;
        this.liveMembers = liveMembers;
        this.nonces = nonces;
        this.onReleased = onReleased;
        this.log = log;
    }

    @Override
    public boolean holds(String key, long nowMs) {
        Lease lease = leases.computeIfAbsent(key, ignored -> new Lease());
        return !isSuspended && isHeldByThisRouter(lease) && !lease.needsRecheck && mayHold(key, lease, nowMs);
    }

    @Override
    public long heldSinceMs(String key) {
        Lease lease = leases.get(key);
        return lease == null ? Long.MAX_VALUE : lease.heldSinceMs;
    }

    /** Returns 0, because a holder acts only while it is alive and its successor need not wait. */
    @Override
    public long leaseMs() {
        return 0;
    }

    /** Requires a lease to be read again, because its holder has released it. */
    void recheck(String key) {
        Lease lease = leases.get(key);
        if (lease != null) {
            lease.needsRecheck = true;
        }
    }

    /** Requires held leases to be read again before use, because another router may have taken them over. */
    void recheckHeldLeases() {
        leases.values().forEach(lease -> lease.needsRecheck |= isHeldByThisRouter(lease));
    }

    /**
     * Requires held leases to be read again, because the store was restored from an older copy and may have lost them.
     * A write of another router that was conditional on an earlier version may arrive later, so they are read twice.
     */
    void onStoreRestored(long nowMs) {
        recheckHeldLeases();
        recheckAtMs = nowMs + DELAYED_WRITE_MS;
    }

    /**
     * Sets whether this router reaches no engine. It then releases its leases, so that another one can take them over,
     * and takes none.
     */
    void setSuspended(boolean newSuspended) {
        isSuspended = newSuspended;
    }

    /** Keeps the held leases until this router leaves, but takes others only if no other router does. */
    void requestStop() {
        isStopping = true;
    }

    /** Takes over leases without a live holder; must be called several times per second. */
    void tick(long nowMs) {
        boolean wasPaused = lastTickMs != Long.MIN_VALUE && nowMs - lastTickMs > PAUSE_THRESHOLD_MS;
        lastTickMs = nowMs;
        if (nowMs >= recheckAtMs) {
            recheckAtMs = Long.MAX_VALUE;
            recheckHeldLeases();
        }
        if (wasPaused) {
            recheckHeldLeases();
        }
        leases.forEach((key, lease) -> {
            if (lease.isCallPending || nowMs < lease.nextCallMs) {
                return;
            }
            if (isSuspended) {
                if (isHeldByThisRouter(lease)) {
                    release(key, lease, nowMs);
                }
            } else if (lease.needsRecheck) {
                markCallPending(lease, nowMs);
                Uni.createFrom()
                        .deferred(() -> platform.get(prefix + key))
                        .subscribe()
                        .with(found -> onRead(key, lease, found, nowMs), error -> lease.isCallPending = false);
            } else if (!isHeldByThisRouter(lease)
                    && mayHold(key, lease, nowMs)
                    && mayTake(lease, nowMs)
                    && liveMembers.isCandidate(key)) {
                markCallPending(lease, nowMs);
                put(key, lease, new Holder(routerId, incarnation))
                        .subscribe()
                        .with(result -> onPutResult(key, lease, result, nowMs), error -> lease.isCallPending = false);
            }
        });
    }

    /** Writes a lease. An exception becomes a failure, as only the end of a call permits the next one. */
    private Uni<PutResult> put(String key, Lease lease, Holder holder) {
        return Uni.createFrom()
                .deferred(() -> platform.put(prefix + key, lease.version, holder.encode(), nonces.get()));
    }

    private void release(String key, Lease lease, long nowMs) {
        markCallPending(lease, nowMs);
        put(key, lease, Holder.NONE)
                .subscribe()
                .with(result -> onReleased(key, lease, result, nowMs), error -> lease.isCallPending = false);
    }

    private void onReleased(String key, Lease lease, PutResult result, long nowMs) {
        lease.isCallPending = false;
        if (result instanceof PutResult.Written written) {
            lease.version = written.version();
            lease.holder = Holder.NONE;
            onReleased.accept(key);
            log.stateChanged("lease-released", prefix + key, "version " + StoreVersion.toString(written.version()));
        } else if (result instanceof PutResult.Conflict conflict) {
            applyStoredLease(key, lease, conflict.current(), nowMs);
        }
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

    /** Prefers routers in the engines' data centre, which detect failures there and stay connected if links fail. */
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

    private boolean mayTake(Lease lease, long nowMs) {
        boolean isAvailable = isAvailable(lease, nowMs);
        lease.availableSinceMs = isAvailable ? Math.min(lease.availableSinceMs, nowMs) : Long.MAX_VALUE;
        return isAvailable && (!isStopping || nowMs - lease.availableSinceMs >= STOPPING_DELAY_MS);
    }

    private boolean isAvailable(Lease lease, long nowMs) {
        if (lease.holder == null || lease.holder.routerId.isEmpty() || lease.holder.routerId.equals(routerId)) {
            return true;
        }
        Optional<Long> alive = liveMembers.incarnation(lease.holder.routerId);
        if (alive.isPresent()) {
            long laterIncarnations = alive.get() - lease.holder.incarnation;
            lease.wasHolderListed |= laterIncarnations >= 0 && laterIncarnations <= MAX_REFUTATIONS;
            return laterIncarnations > MAX_REFUTATIONS;
        }
        return lease.wasHolderListed || nowMs - lease.learnedAtMs >= UNSEEN_HOLDER_GRACE_MS;
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
            log.stateChanged("lease-taken", prefix + key, "version " + StoreVersion.toString(written.version()));
        } else if (result instanceof PutResult.Conflict conflict) {
            applyStoredLease(key, lease, conflict.current(), nowMs);
        }
    }

    private void applyStoredLease(String key, Lease lease, Optional<StoredObject> found, long nowMs) {
        boolean wasHeld = isHeldByThisRouter(lease);
        Holder before = lease.holder;
        lease.version = found.map(StoredObject::version).orElse(PlatformClient.ABSENT);
        lease.holder = found.map(object -> Holder.decode(object.value())).orElse(null);
        if (lease.holder != null && !lease.holder.equals(before)) {
            lease.learnedAtMs = nowMs;
            lease.wasHolderListed = false;
        }
        if (wasHeld && !isHeldByThisRouter(lease)) {
            log.stateChanged("lease-lost", prefix + key, "held by " + lease.holder);
        }
    }
}

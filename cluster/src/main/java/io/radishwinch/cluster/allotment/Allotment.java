package io.radishwinch.cluster.allotment;

import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.Envelope;
import io.radishwinch.cluster.membership.RendezvousHash;
import io.radishwinch.protocol.generated.CallerDemand;
import io.radishwinch.protocol.generated.CallerShare;
import io.radishwinch.protocol.generated.DemandReport;
import io.radishwinch.protocol.generated.Message;
import io.radishwinch.protocol.generated.ShareGrant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;

/**
 * This router's shares of the limits of all callers.
 *
 * <p>Callers are hashed to {@link #BUCKETS} buckets, each owned by one router in every data centre. Routers report
 * changes of demand to the owner; owners of the same bucket exchange the sums of their data centres and grant shares to
 * their routers. A caller without a grant has an equal part of its limits at every router of the fleet. Times are in ms
 * of the router's own clock. Not thread-safe.
 */
public final class Allotment {

    /** Buckets of callers; more spread the owners' work, fewer save frames. */
    public static final int BUCKETS = 16;

    /** Key under which the members of a data centre divide the buckets. */
    public static final String OWNER_KEY = "allotment";

    /** Time between two rounds of reports and grants, in ms. */
    static final long ROUND_MS = 500;

    /** Time between two reports that list all callers with demand, in ms; repairs losses and follows slow changes. */
    static final long WHOLE_MS = 10_000;

    /** Time after which a grant and the first report to a new owner are repeated, in ms. */
    static final long REPEAT_MS = 1_000;

    /** Time between two reports between data centres when nothing changes, in ms. */
    static final long HEARTBEAT_MS = 3_000;

    /** Time between two reports between data centres that list all callers with demand, in ms. */
    static final long REMOTE_WHOLE_MS = 30_000;

    /** Change of demand that matters, as a fraction of the share of a contended caller. */
    static final double CONTENDED_CHANGE = 0.05;

    /** Change of demand that matters, as a fraction of an equal part of the limits of an uncontended caller. */
    static final double UNCONTENDED_CHANGE = 0.3;

    /** Change of a share that is granted, as a fraction of the share. */
    static final double GRANT_CHANGE = 0.05;

    /** Time constant of the smoothing of demand, in ms; about 1 s follows a step within the 3 s target. */
    static final double SMOOTHING_MS = 500;

    /** Marks a share that a router holds for another reason than the last grant, so that it is granted again. */
    private static final Share UNKNOWN = new Share(Amounts.ZERO, -1);

    /** Change of the part of the floors that is granted, as a fraction of the floors. */
    private static final double FLOOR_CHANGE = 0.05;

    private final AllotmentPeers peers;
    private final BiConsumer<String, Share> listener;
    private final Map<String, CallerLimits> limits = new HashMap<>();
    private final Map<String, Local> locals = new TreeMap<>();
    private final Bucket[] buckets = new Bucket[BUCKETS];
    private long nextRoundMs = Long.MIN_VALUE;
    private long lastObserveMs = Long.MIN_VALUE;
    private long sequence;
    private int lastFleetSize;

    /** Demand of one caller at this router, and what was granted for it. */
    private static final class Local {
        private Amounts demand = Amounts.ZERO;
        private final ReportFilter filter = new ReportFilter();
        private final int bucket;
        private Share granted;
        private boolean reportDue;

        Local(int bucket) {
            this.bucket = bucket;
        }
    }

    private static final class Bucket {
        private String ownerId = "";
        private BucketOwner owner;
        private long nextWholeMs = Long.MIN_VALUE;
        private String grantOrigin = "";
        private long grantSequence;
        private long nextRemoteMs;
        private long nextRemoteWholeMs;
        private boolean partitioned;
        private final Set<String> announced = new HashSet<>();
        private final Map<String, ReportFilter> sentToRemotes = new HashMap<>();
        private final Map<String, Map<String, Share>> granted = new HashMap<>();
        private final Deque<Repeat> repeats = new ArrayDeque<>();
    }

    /** A grant to send a second time, because a lost reduction would leave the fleet above the limit. */
    private record Repeat(long dueMs, String routerId, String caller) {}

    /**
     * Creates the state without limits.
     *
     * @param listener told the share of a caller at this router whenever it changes
     */
    public Allotment(AllotmentPeers peers, BiConsumer<String, Share> listener) {
        this.peers = peers;
        this.listener = listener;
        for (int i = 0; i < BUCKETS; i++) {
            buckets[i] = new Bucket();
        }
    }

    // Inputs

    /** Replaces the limits of all callers. */
    public void limits(Map<String, CallerLimits> newLimits) {
        Map<String, CallerLimits> old = Map.copyOf(limits);
        limits.clear();
        limits.putAll(newLimits);
        locals.keySet().retainAll(limits.keySet());
        limits.forEach((caller, value) -> {
            if (!value.equals(old.get(caller)) && granted(caller) == null) {
                listener.accept(caller, share(caller));
            }
        });
    }

    /**
     * Takes the load offered to this router, refused requests included. To be called every 500 ms to 1 s.
     *
     * @param offered rates since the last call, by caller; callers that are missing offered nothing
     */
    public void observe(Map<String, Amounts> offered, long nowMs) {
        double elapsedMs = lastObserveMs == Long.MIN_VALUE ? SMOOTHING_MS : Math.max(1, nowMs - lastObserveMs);
        double weight = 1 - Math.exp(-elapsedMs / SMOOTHING_MS);
        lastObserveMs = nowMs;
        for (Map.Entry<String, Amounts> entry : offered.entrySet()) {
            if (limits.containsKey(entry.getKey())) {
                locals.computeIfAbsent(entry.getKey(), caller -> new Local(bucketOf(caller)));
            }
        }
        locals.forEach((caller, local) -> local.demand = local.demand
                .times(1 - weight)
                .plus(offered.getOrDefault(caller, Amounts.ZERO).times(weight)));
    }

    /** Advances time. */
    public void tick(long nowMs, List<Envelope> out) {
        if (nowMs < nextRoundMs) {
            return;
        }
        nextRoundMs = nowMs + ROUND_MS;
        List<String> localIds = peers.localIds();
        List<String> owners = RendezvousHash.balancedOwners(OWNER_KEY, BUCKETS, localIds);
        for (int i = 0; i < BUCKETS; i++) {
            Bucket bucket = buckets[i];
            String ownerId = owners.get(i);
            boolean newOwner = !ownerId.equals(bucket.ownerId);
            bucket.ownerId = ownerId;
            if (!ownerId.equals(peers.selfId())) {
                bucket.owner = null;
            } else if (bucket.owner == null) {
                bucket.owner = new BucketOwner(nowMs);
                bucket.granted.clear();
                bucket.repeats.clear();
                bucket.announced.clear();
                bucket.sentToRemotes.clear();
            }
            report(i, bucket, newOwner, nowMs, out);
            if (bucket.owner != null) {
                divide(i, bucket, localIds, nowMs, out);
            }
        }
        forgetIdle();
        announceDefaults();
    }

    /** Takes a report of demand. */
    public void onReport(String senderId, boolean local, DemandReport report, long nowMs, List<Envelope> out) {
        if (report.getBucket() < 0 || report.getBucket() >= BUCKETS) {
            return;
        }
        Bucket bucket = buckets[report.getBucket()];
        boolean fromDataCentre = report.isSetDataCentre();
        if (bucket.owner == null) {
            // The other data centre knows an older list of members; one hop suffices, so a local sender is not served.
            Address owner = local || !fromDataCentre ? null : peers.localAddress(bucket.ownerId);
            if (owner != null) {
                out.add(new Envelope(owner, Message.demandReport(report)));
            }
        } else if (fromDataCentre) {
            bucket.owner.onDataCentre(report, peers.dataCentre(), nowMs);
        } else if (local && bucket.owner.onRouter(senderId, report, nowMs)) {
            Map<String, Share> granted = bucket.granted.computeIfAbsent(senderId, id -> new HashMap<>());
            // A contended share is granted again, in case the last grant was lost, and so is one of an earlier owner.
            report.getDemands().stream()
                    .map(CallerDemand::getCaller)
                    .filter(bucket.owner::isContended)
                    .forEach(caller -> granted.put(caller, UNKNOWN));
            if (report.isSetHeld()) {
                report.getHeld().stream()
                        .map(CallerShare::getCaller)
                        .filter(limits::containsKey)
                        .forEach(caller -> granted.put(caller, UNKNOWN));
            }
        }
    }

    /** Takes a grant from the owner of a bucket. */
    public void onGrant(String senderId, ShareGrant grant) {
        if (grant.getBucket() < 0 || grant.getBucket() >= BUCKETS) {
            return;
        }
        Bucket bucket = buckets[grant.getBucket()];
        boolean old = senderId.equals(bucket.grantOrigin) && grant.getSequence() <= bucket.grantSequence;
        if (!senderId.equals(bucket.ownerId) || old) {
            return;
        }
        bucket.grantOrigin = senderId;
        bucket.grantSequence = grant.getSequence();
        for (CallerShare share : grant.getShares()) {
            Local local = locals.get(share.getCaller());
            if (local != null && local.bucket == grant.getBucket()) {
                local.granted = Wire.share(share);
                // Demand too small to be reported counts as soon as the caller is contended.
                local.reportDue = local.filter.reported().isNegligible()
                        && !local.demand.isNegligible()
                        && limits.get(share.getCaller()).limits().requestsPerS() >= peers.fleetSize();
                listener.accept(share.getCaller(), local.granted);
            }
        }
    }

    // Views

    /** Returns the share of a caller at this router; callers without limits have none. */
    public Share share(String caller) {
        Share granted = granted(caller);
        if (granted != null) {
            return granted;
        }
        return limits.containsKey(caller) ? uncontendedShare(caller) : new Share(Amounts.ZERO, 0);
    }

    /** Returns the bucket of a caller. */
    public static int bucketOf(String caller) {
        return (int) Math.floorMod(RendezvousHash.hash(caller), (long) BUCKETS);
    }

    // Rounds

    private void report(int index, Bucket bucket, boolean newOwner, long nowMs, List<Envelope> out) {
        boolean whole = newOwner || nowMs >= bucket.nextWholeMs;
        List<CallerDemand> demands = new ArrayList<>();
        List<CallerShare> held = new ArrayList<>();
        for (Map.Entry<String, Local> entry : locals.entrySet()) {
            String caller = entry.getKey();
            Local local = entry.getValue();
            if (local.bucket != index) {
                continue;
            }
            boolean active =
                    !local.demand.isNegligible() || !local.filter.reported().isNegligible();
            boolean due = local.filter.isDue(local.demand, scale(caller, local), nowMs) || local.reportDue;
            if (due || (whole && active)) {
                local.reportDue = false;
                local.filter.reported(local.demand);
                demands.add(Wire.demand(caller, local.filter.reported()));
            }
            if (newOwner && local.granted != null) {
                held.add(Wire.share(caller, local.granted));
            }
        }
        if (whole) {
            // The first report to a new owner is repeated soon, because a lost one would leave it without demand.
            bucket.nextWholeMs = nowMs + (newOwner ? REPEAT_MS : WHOLE_MS);
        }
        if (demands.isEmpty()) {
            return;
        }
        DemandReport report = new DemandReport(index, nextSequence(), whole, demands);
        if (!held.isEmpty()) {
            report.setHeld(held);
        }
        if (bucket.owner != null) {
            onReport(peers.selfId(), true, report, nowMs, out);
        } else {
            send(peers.localAddress(bucket.ownerId), Message.demandReport(report), out);
        }
    }

    /** Returns the smallest change of demand at this router that matters. */
    private Amounts scale(String caller, Local local) {
        Amounts limit = limits.get(caller).limits();
        Amounts equal = limit.times(UNCONTENDED_CHANGE / peers.fleetSize());
        if (local.granted == null) {
            return equal;
        }
        Amounts share = local.granted.amounts();
        boolean contended = share.tokensPerS() < BucketOwner.UNCONTENDED_SHARE * limit.tokensPerS() * 0.99;
        return contended ? share.times(CONTENDED_CHANGE) : equal;
    }

    private void divide(int index, Bucket bucket, List<String> localIds, long nowMs, List<Envelope> out) {
        BucketOwner owner = bucket.owner;
        Set<String> others = peers.remoteDataCentres();
        owner.refresh(localIds, others, nowMs);
        bucket.granted.keySet().retainAll(localIds);
        if (owner.isPartitioned() != bucket.partitioned) {
            bucket.partitioned = owner.isPartitioned();
            bucket.granted.values().forEach(shares -> shares.replaceAll((caller, share) -> UNKNOWN));
            // Reports sent during the partition were lost, so the other side needs all of them.
            bucket.nextRemoteWholeMs = nowMs;
        }
        Map<String, Amounts> local = owner.localDemand();
        Map<String, Map<String, Amounts>> shares = new TreeMap<>();
        Map<String, List<CallerShare>> grants = new TreeMap<>();
        Map<String, Set<String>> repeated = dueRepeats(bucket, nowMs);
        for (String caller : owner.callers()) {
            CallerLimits limit = limits.get(caller);
            if (limit == null) {
                continue;
            }
            Map<String, Amounts> split = owner.split(caller, limit, peers.dataCentre(), others, nowMs);
            shares.put(caller, split);
            Amounts own = Objects.requireNonNull(split.get(peers.dataCentre()));
            for (String routerId : receivers(bucket, caller, localIds, nowMs)) {
                Amounts demand = local.getOrDefault(caller, Amounts.ZERO);
                Share share = owner.routerShare(routerId, caller, limit, own, demand, localIds.size());
                Map<String, Share> before = bucket.granted.computeIfAbsent(routerId, id -> new HashMap<>());
                Share last = before.computeIfAbsent(caller, this::uncontendedShare);
                boolean same = !share.amounts().differsBy(GRANT_CHANGE, last.amounts(), last.amounts())
                        && Math.abs(share.floorShare() - last.floorShare()) <= FLOOR_CHANGE;
                boolean repeat = repeated.getOrDefault(routerId, Set.of()).contains(caller);
                boolean reduced = !same && last.amounts().exceeds(share.amounts());
                if (reduced && !routerId.equals(peers.selfId())) {
                    bucket.repeats.addLast(new Repeat(nowMs + REPEAT_MS, routerId, caller));
                }
                if (!same || repeat) {
                    before.put(caller, share);
                    grants.computeIfAbsent(routerId, id -> new ArrayList<>()).add(Wire.share(caller, share));
                }
            }
        }
        bucket.announced.retainAll(shares.keySet());
        owner.record(shares, nowMs);
        grants.forEach((routerId, list) -> {
            ShareGrant grant = new ShareGrant(index, nextSequence(), list);
            if (routerId.equals(peers.selfId())) {
                onGrant(routerId, grant);
            } else {
                send(peers.localAddress(routerId), Message.shareGrant(grant), out);
            }
        });
        reportToRemotes(index, bucket, local, others, nowMs, out);
    }

    /**
     * Returns the routers to grant shares to: those with demand, and all when the caller has just become contended.
     * With less than one request/s for each router of the fleet, demand is noise and the second group would be told too
     * often.
     */
    private List<String> receivers(Bucket bucket, String caller, List<String> localIds, long nowMs) {
        if (!bucket.owner.isReady(nowMs)) {
            return List.of();
        }
        if (!bucket.owner.isContended(caller)) {
            bucket.announced.remove(caller);
        } else if (limits.get(caller).limits().requestsPerS() >= peers.fleetSize() && bucket.announced.add(caller)) {
            return localIds;
        }
        return bucket.owner.routersWith(caller);
    }

    private static Map<String, Set<String>> dueRepeats(Bucket bucket, long nowMs) {
        Map<String, Set<String>> due = new HashMap<>();
        while (!bucket.repeats.isEmpty() && bucket.repeats.getFirst().dueMs() <= nowMs) {
            Repeat repeat = bucket.repeats.removeFirst();
            due.computeIfAbsent(repeat.routerId(), id -> new HashSet<>()).add(repeat.caller());
        }
        return due;
    }

    private void reportToRemotes(
            int index, Bucket bucket, Map<String, Amounts> local, Set<String> others, long nowMs, List<Envelope> out) {
        boolean whole = nowMs >= bucket.nextRemoteWholeMs;
        List<CallerDemand> demands = new ArrayList<>();
        Set<String> callers = new TreeSet<>(local.keySet());
        callers.addAll(bucket.sentToRemotes.keySet());
        callers.retainAll(limits.keySet());
        for (String caller : callers) {
            Amounts demand = local.getOrDefault(caller, Amounts.ZERO);
            ReportFilter filter = bucket.sentToRemotes.computeIfAbsent(caller, key -> new ReportFilter());
            double change = bucket.owner.isContended(caller) ? CONTENDED_CHANGE : UNCONTENDED_CHANGE;
            Amounts scale = limits.get(caller).limits().times(change / (others.size() + 1));
            if (filter.isDue(demand, scale, nowMs) || whole) {
                filter.reported(demand);
                demands.add(Wire.demand(caller, filter.reported()));
            }
        }
        bucket.sentToRemotes.values().removeIf(filter -> filter.reported().isNegligible());
        if (others.isEmpty() || (demands.isEmpty() && nowMs < bucket.nextRemoteMs)) {
            return;
        }
        bucket.nextRemoteMs = nowMs + HEARTBEAT_MS;
        if (whole) {
            bucket.nextRemoteWholeMs = nowMs + REMOTE_WHOLE_MS;
        }
        DemandReport report = new DemandReport(index, nextSequence(), whole, demands);
        report.setDataCentre(peers.dataCentre());
        report.setOrigin(peers.selfId());
        List<String> unheard = bucket.owner.unheard(others, nowMs);
        if (!unheard.isEmpty()) {
            report.setUnheard(unheard);
        }
        Message message = Message.demandReport(report);
        others.forEach(name -> send(peers.remoteOwner(name, index), message, out));
    }

    private void forgetIdle() {
        locals.entrySet().removeIf(entry -> {
            Local local = entry.getValue();
            boolean idle =
                    local.demand.isNegligible() && local.filter.reported().isNegligible();
            if (idle && local.granted != null) {
                local.granted = null;
                listener.accept(entry.getKey(), share(entry.getKey()));
            }
            return idle;
        });
    }

    /** Returns the share that a router uses without a grant. */
    private Share uncontendedShare(String caller) {
        Amounts amounts = limits.get(caller).limits().times(BucketOwner.UNCONTENDED_SHARE);
        return new Share(amounts, 1.0 / peers.fleetSize());
    }

    /** Tells the listener the shares without a grant again after the number of routers changed. */
    private void announceDefaults() {
        int fleetSize = peers.fleetSize();
        if (fleetSize != lastFleetSize) {
            lastFleetSize = fleetSize;
            for (String caller : limits.keySet()) {
                if (granted(caller) == null) {
                    listener.accept(caller, share(caller));
                }
            }
        }
    }

    private Share granted(String caller) {
        Local local = locals.get(caller);
        return local == null ? null : local.granted;
    }

    private long nextSequence() {
        sequence = Math.max(sequence + 1, peers.incarnation());
        return sequence;
    }

    private static void send(Address to, Message message, List<Envelope> out) {
        if (to != null) {
            out.add(new Envelope(to, message));
        }
    }
}

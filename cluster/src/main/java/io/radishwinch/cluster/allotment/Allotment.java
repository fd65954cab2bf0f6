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
 * Shares of this router in the limits of all callers.
 *
 * <p>Callers are hashed to {@link #BUCKETS} buckets. In every data centre one router owns each bucket. Routers report
 * changes of demand to the owner; the owners of the same bucket in all data centres exchange the total demand of their
 * data centres and grant shares to their routers. For a caller without a grant, each router uses a fixed fraction of
 * the limits and an equal part of the floor. Times are in ms of this router's clock. Not thread-safe.
 */
public final class Allotment {

    /** Number of buckets of callers. More buckets distribute the work of the owners better; fewer save frames. */
    public static final int BUCKETS = 16;

    /** Key of the rendezvous hash that assigns the buckets to the members of a data centre. */
    public static final String OWNER_KEY = "allotment";

    /** Time between two rounds of reports and grants, in ms. */
    static final long ROUND_INTERVAL_MS = 500;

    /** Time between two full reports to the owner, in ms, which repair losses and track slow changes of demand. */
    static final long FULL_REPORT_INTERVAL_MS = 10_000;

    /** Time after which a reducing grant and the first report to a new owner are repeated, in ms. */
    static final long REPEAT_DELAY_MS = 1_000;

    /** Maximum time between two reports to other data centres, in ms. */
    static final long HEARTBEAT_INTERVAL_MS = 3_000;

    /** Time between two full reports to other data centres, in ms. */
    static final long REMOTE_FULL_REPORT_INTERVAL_MS = 30_000;

    /** Change of demand that is reported for a contended caller, as a fraction of its share. */
    static final double CONTENDED_CHANGE_FRACTION = 0.05;

    /** Change of demand that is reported for an uncontended caller, as a fraction of an equal part of its limits. */
    static final double UNCONTENDED_CHANGE_FRACTION = 0.3;

    /** Change of a share that causes a new grant, as a fraction of the share. */
    static final double GRANT_CHANGE_FRACTION = 0.05;

    /**
     * Time constant of the exponential moving average of demand, in ms. The average reaches 95% of a step after three
     * time constants, so values up to about 1 s track a step within the target of 3 s. At 500 ms, half of that time
     * remains for reports and grants.
     */
    static final double SMOOTHING_TIME_CONSTANT_MS = 500;

    /** Placeholder for a share that may differ from the last grant, so that it is granted again. */
    private static final Share UNKNOWN_SHARE = new Share(LoadVector.ZERO, -1);

    /** Change of the share of the floor that causes a new grant, as a fraction of the floor. */
    private static final double FLOOR_CHANGE_FRACTION = 0.05;

    private final AllotmentPeers peers;
    private final BiConsumer<String, Share> listener;
    private final Map<String, CallerLimits> limits = new HashMap<>();
    private final Map<String, LocalDemand> localDemands = new TreeMap<>();
    private final Bucket[] buckets = new Bucket[BUCKETS];
    private long nextRoundMs = Long.MIN_VALUE;
    private long lastObserveMs = Long.MIN_VALUE;
    private long sequence;
    private int lastFleetSize;

    /** Demand of one caller at this router and the share granted for it. */
    private static final class LocalDemand {
        private LoadVector demand = LoadVector.ZERO;
        private final ReportFilter filter = new ReportFilter();
        private final int bucket;
        private Share grantedShare;
        private boolean isReportDue;

        LocalDemand(int bucket) {
            this.bucket = bucket;
        }
    }

    private static final class Bucket {
        private String ownerId = "";
        private BucketOwner owner;
        private long nextFullReportMs = Long.MIN_VALUE;
        private String lastGrantSenderId = "";
        private long lastGrantSequence;
        private long nextRemoteReportMs;
        private long nextRemoteFullReportMs;
        private boolean isPartitioned;
        private final Set<String> notifiedContendedCallers = new HashSet<>();
        private final Map<String, ReportFilter> remoteReportFilters = new HashMap<>();
        private final Map<String, Map<String, Share>> grantedShares = new HashMap<>();
        private final Deque<GrantRepeat> pendingRepeats = new ArrayDeque<>();
    }

    /** A grant that is sent again, because after the loss of a reducing grant the fleet would exceed the limit. */
    private record GrantRepeat(long dueMs, String routerId, String caller) {}

    /**
     * Creates the state without limits.
     *
     * @param listener called with the share of a caller at this router when it changes
     */
    public Allotment(AllotmentPeers peers, BiConsumer<String, Share> listener) {
        this.peers = peers;
        this.listener = listener;
        for (int i = 0; i < BUCKETS; i++) {
            buckets[i] = new Bucket();
        }
    }

    /** Replaces the limits of all callers. */
    public void setLimits(Map<String, CallerLimits> newLimits) {
        Map<String, CallerLimits> old = Map.copyOf(limits);
        limits.clear();
        limits.putAll(newLimits);
        localDemands.keySet().retainAll(limits.keySet());
        limits.forEach((caller, value) -> {
            if (!value.equals(old.get(caller)) && grantedShare(caller) == null) {
                listener.accept(caller, share(caller));
            }
        });
    }

    /**
     * Records the load offered to this router, including refused requests. Must be called every 500 ms to 1 s.
     *
     * @param offered rates since the last call, by caller; missing callers offered no load
     */
    public void recordOfferedLoad(Map<String, LoadVector> offered, long nowMs) {
        double elapsedMs =
                lastObserveMs == Long.MIN_VALUE ? SMOOTHING_TIME_CONSTANT_MS : Math.max(1, nowMs - lastObserveMs);
        double weight = 1 - Math.exp(-elapsedMs / SMOOTHING_TIME_CONSTANT_MS);
        lastObserveMs = nowMs;
        for (Map.Entry<String, LoadVector> entry : offered.entrySet()) {
            if (limits.containsKey(entry.getKey())) {
                localDemands.computeIfAbsent(entry.getKey(), caller -> new LocalDemand(bucketOf(caller)));
            }
        }
        localDemands.forEach((caller, localDemand) -> localDemand.demand = localDemand
                .demand
                .times(1 - weight)
                .plus(offered.getOrDefault(caller, LoadVector.ZERO).times(weight)));
    }

    /** Advances the time: sends the reports and grants of a round when it is due. */
    public void tick(long nowMs, List<Envelope> out) {
        if (nowMs < nextRoundMs) {
            return;
        }
        nextRoundMs = nowMs + ROUND_INTERVAL_MS;
        List<String> localIds = peers.localIds();
        List<String> owners = RendezvousHash.balancedOwners(OWNER_KEY, BUCKETS, localIds);
        for (int i = 0; i < BUCKETS; i++) {
            Bucket bucket = buckets[i];
            String ownerId = owners.get(i);
            boolean hasNewOwner = !ownerId.equals(bucket.ownerId);
            bucket.ownerId = ownerId;
            if (!ownerId.equals(peers.selfId())) {
                bucket.owner = null;
            } else if (bucket.owner == null) {
                bucket.owner = new BucketOwner(nowMs);
                bucket.grantedShares.clear();
                bucket.pendingRepeats.clear();
                bucket.notifiedContendedCallers.clear();
                bucket.remoteReportFilters.clear();
            }
            reportDemand(i, bucket, hasNewOwner, nowMs, out);
            if (bucket.owner != null) {
                grantShares(i, bucket, localIds, nowMs, out);
            }
        }
        removeIdleCallers();
        notifyDefaultShares();
    }

    /** Handles a demand report of a router of the local data centre or of another data centre. */
    public void onDemandReport(String senderId, boolean isLocal, DemandReport report, long nowMs, List<Envelope> out) {
        if (report.getBucket() < 0 || report.getBucket() >= BUCKETS) {
            return;
        }
        Bucket bucket = buckets[report.getBucket()];
        boolean isFromDataCentre = report.isSetDataCentre();
        if (bucket.owner == null) {
            // The other data centre has a stale list of members. The report is forwarded once, and only if it came from
            // there.
            Address owner = isLocal || !isFromDataCentre ? null : peers.localAddress(bucket.ownerId);
            if (owner != null) {
                out.add(new Envelope(owner, Message.demandReport(report)));
            }
        } else if (isFromDataCentre) {
            bucket.owner.onDataCentreReport(report, peers.dataCentre(), nowMs);
        } else if (isLocal && bucket.owner.onRouterReport(senderId, report, nowMs)) {
            Map<String, Share> granted = bucket.grantedShares.computeIfAbsent(senderId, id -> new HashMap<>());
            // Contended shares are granted again in case the last grant was lost, and so are shares granted by an
            // earlier owner.
            report.getDemands().stream()
                    .map(CallerDemand::getCaller)
                    .filter(bucket.owner::isContended)
                    .forEach(caller -> granted.put(caller, UNKNOWN_SHARE));
            if (report.isSetHeld()) {
                report.getHeld().stream()
                        .map(CallerShare::getCaller)
                        .filter(limits::containsKey)
                        .forEach(caller -> granted.put(caller, UNKNOWN_SHARE));
            }
        }
    }

    /** Applies a grant from the owner of a bucket. Stale grants and grants of other routers are ignored. */
    public void onShareGrant(String senderId, ShareGrant grant) {
        if (grant.getBucket() < 0 || grant.getBucket() >= BUCKETS) {
            return;
        }
        Bucket bucket = buckets[grant.getBucket()];
        boolean isStale = senderId.equals(bucket.lastGrantSenderId) && grant.getSequence() <= bucket.lastGrantSequence;
        if (!senderId.equals(bucket.ownerId) || isStale) {
            return;
        }
        bucket.lastGrantSenderId = senderId;
        bucket.lastGrantSequence = grant.getSequence();
        for (CallerShare share : grant.getShares()) {
            LocalDemand local = localDemands.get(share.getCaller());
            if (local != null && local.bucket == grant.getBucket()) {
                local.grantedShare = WireConversion.fromThriftShare(share);
                // Demand below the reporting threshold becomes relevant once the caller is contended.
                local.isReportDue = local.filter.lastReported().isNegligible()
                        && !local.demand.isNegligible()
                        && limits.get(share.getCaller()).limits().requestsPerS() >= peers.fleetSize();
                listener.accept(share.getCaller(), local.grantedShare);
            }
        }
    }

    /** Returns the share of a caller at this router, which is zero for a caller without limits. */
    public Share share(String caller) {
        Share granted = grantedShare(caller);
        if (granted != null) {
            return granted;
        }
        return limits.containsKey(caller) ? uncontendedShare(caller) : new Share(LoadVector.ZERO, 0);
    }

    /** Returns the bucket of a caller. */
    public static int bucketOf(String caller) {
        return (int) Math.floorMod(RendezvousHash.hash(caller), (long) BUCKETS);
    }

    private void reportDemand(int index, Bucket bucket, boolean hasNewOwner, long nowMs, List<Envelope> out) {
        boolean isFullReport = hasNewOwner || nowMs >= bucket.nextFullReportMs;
        List<CallerDemand> demands = new ArrayList<>();
        List<CallerShare> heldShares = new ArrayList<>();
        for (Map.Entry<String, LocalDemand> entry : localDemands.entrySet()) {
            String caller = entry.getKey();
            LocalDemand local = entry.getValue();
            if (local.bucket != index) {
                continue;
            }
            boolean isActive =
                    !local.demand.isNegligible() || !local.filter.lastReported().isNegligible();
            boolean isDue =
                    local.filter.isDue(local.demand, significantChange(caller, local), nowMs) || local.isReportDue;
            if (isDue || (isFullReport && isActive)) {
                local.isReportDue = false;
                local.filter.setReported(local.demand);
                demands.add(WireConversion.toThriftDemand(caller, local.filter.lastReported()));
            }
            if (hasNewOwner && local.grantedShare != null) {
                heldShares.add(WireConversion.toThriftShare(caller, local.grantedShare));
            }
        }
        if (isFullReport) {
            // The first report to a new owner is repeated soon, because its loss would leave the owner without demand.
            bucket.nextFullReportMs = nowMs + (hasNewOwner ? REPEAT_DELAY_MS : FULL_REPORT_INTERVAL_MS);
        }
        if (demands.isEmpty()) {
            return;
        }
        DemandReport report = new DemandReport(index, nextSequence(), isFullReport, demands);
        if (!heldShares.isEmpty()) {
            report.setHeld(heldShares);
        }
        if (bucket.owner != null) {
            onDemandReport(peers.selfId(), true, report, nowMs, out);
        } else {
            send(peers.localAddress(bucket.ownerId), Message.demandReport(report), out);
        }
    }

    /** Returns the smallest change of demand at this router that is reported. */
    private LoadVector significantChange(String caller, LocalDemand local) {
        LoadVector limit = limits.get(caller).limits();
        LoadVector equalPart = limit.times(UNCONTENDED_CHANGE_FRACTION / peers.fleetSize());
        if (local.grantedShare == null) {
            return equalPart;
        }
        LoadVector share = local.grantedShare.limits();
        boolean isContended = share.tokensPerS() < BucketOwner.UNCONTENDED_FRACTION * limit.tokensPerS() * 0.99;
        return isContended ? share.times(CONTENDED_CHANGE_FRACTION) : equalPart;
    }

    private void grantShares(int index, Bucket bucket, List<String> localIds, long nowMs, List<Envelope> out) {
        BucketOwner owner = bucket.owner;
        Set<String> otherDataCentres = peers.remoteDataCentres();
        owner.refresh(localIds, otherDataCentres, nowMs);
        bucket.grantedShares.keySet().retainAll(localIds);
        if (owner.isPartitioned() != bucket.isPartitioned) {
            bucket.isPartitioned = owner.isPartitioned();
            bucket.grantedShares.values().forEach(shares -> shares.replaceAll((caller, share) -> UNKNOWN_SHARE));
            // Reports sent during the partition were lost, so the other data centres need a full report.
            bucket.nextRemoteFullReportMs = nowMs;
        }
        Map<String, LoadVector> localDemand = owner.localDemand();
        Map<String, Map<String, LoadVector>> shares = new TreeMap<>();
        Map<String, List<CallerShare>> grants = new TreeMap<>();
        Map<String, Set<String>> repeated = takeDueRepeats(bucket, nowMs);
        for (String caller : owner.callers()) {
            CallerLimits limit = limits.get(caller);
            if (limit == null) {
                continue;
            }
            Map<String, LoadVector> split =
                    owner.splitByDataCentre(caller, limit, peers.dataCentre(), otherDataCentres, nowMs);
            shares.put(caller, split);
            LoadVector localShare = Objects.requireNonNull(split.get(peers.dataCentre()));
            for (String routerId : grantReceivers(bucket, caller, localIds, nowMs)) {
                LoadVector demand = localDemand.getOrDefault(caller, LoadVector.ZERO);
                Share share = owner.routerShare(routerId, caller, limit, localShare, demand, localIds.size());
                Map<String, Share> routerShares = bucket.grantedShares.computeIfAbsent(routerId, id -> new HashMap<>());
                Share last = routerShares.computeIfAbsent(caller, this::uncontendedShare);
                boolean isUnchanged = !share.limits().differsBy(GRANT_CHANGE_FRACTION, last.limits(), last.limits())
                        && Math.abs(share.floorShare() - last.floorShare()) <= FLOOR_CHANGE_FRACTION;
                boolean isRepeatDue = repeated.getOrDefault(routerId, Set.of()).contains(caller);
                boolean isReduced = !isUnchanged && last.limits().exceeds(share.limits());
                if (isReduced && !routerId.equals(peers.selfId())) {
                    bucket.pendingRepeats.addLast(new GrantRepeat(nowMs + REPEAT_DELAY_MS, routerId, caller));
                }
                if (!isUnchanged || isRepeatDue) {
                    routerShares.put(caller, share);
                    grants.computeIfAbsent(routerId, id -> new ArrayList<>())
                            .add(WireConversion.toThriftShare(caller, share));
                }
            }
        }
        bucket.notifiedContendedCallers.retainAll(shares.keySet());
        owner.recordSnapshot(shares, nowMs);
        grants.forEach((routerId, list) -> {
            ShareGrant grant = new ShareGrant(index, nextSequence(), list);
            if (routerId.equals(peers.selfId())) {
                onShareGrant(routerId, grant);
            } else {
                send(peers.localAddress(routerId), Message.shareGrant(grant), out);
            }
        });
        reportToRemoteDataCentres(index, bucket, localDemand, otherDataCentres, nowMs, out);
    }

    /**
     * Returns the routers that receive grants: those with demand, or all when the caller has just become contended.
     * With a limit below one request/s per router of the fleet, changes of demand are mostly noise and all routers
     * would be notified too often.
     */
    private List<String> grantReceivers(Bucket bucket, String caller, List<String> localIds, long nowMs) {
        if (!bucket.owner.isReady(nowMs)) {
            return List.of();
        }
        if (!bucket.owner.isContended(caller)) {
            bucket.notifiedContendedCallers.remove(caller);
        } else if (limits.get(caller).limits().requestsPerS() >= peers.fleetSize()
                && bucket.notifiedContendedCallers.add(caller)) {
            return localIds;
        }
        return bucket.owner.routersWithDemand(caller);
    }

    private static Map<String, Set<String>> takeDueRepeats(Bucket bucket, long nowMs) {
        Map<String, Set<String>> due = new HashMap<>();
        while (!bucket.pendingRepeats.isEmpty()
                && bucket.pendingRepeats.getFirst().dueMs() <= nowMs) {
            GrantRepeat repeat = bucket.pendingRepeats.removeFirst();
            due.computeIfAbsent(repeat.routerId(), id -> new HashSet<>()).add(repeat.caller());
        }
        return due;
    }

    private void reportToRemoteDataCentres(
            int index,
            Bucket bucket,
            Map<String, LoadVector> localDemand,
            Set<String> otherDataCentres,
            long nowMs,
            List<Envelope> out) {
        boolean isFullReport = nowMs >= bucket.nextRemoteFullReportMs;
        List<CallerDemand> demands = new ArrayList<>();
        Set<String> callers = new TreeSet<>(localDemand.keySet());
        callers.addAll(bucket.remoteReportFilters.keySet());
        callers.retainAll(limits.keySet());
        for (String caller : callers) {
            LoadVector demand = localDemand.getOrDefault(caller, LoadVector.ZERO);
            ReportFilter filter = bucket.remoteReportFilters.computeIfAbsent(caller, key -> new ReportFilter());
            double change = bucket.owner.isContended(caller) ? CONTENDED_CHANGE_FRACTION : UNCONTENDED_CHANGE_FRACTION;
            LoadVector scale = limits.get(caller).limits().times(change / (otherDataCentres.size() + 1));
            if (filter.isDue(demand, scale, nowMs) || isFullReport) {
                filter.setReported(demand);
                demands.add(WireConversion.toThriftDemand(caller, filter.lastReported()));
            }
        }
        bucket.remoteReportFilters.values().removeIf(filter -> filter.lastReported()
                .isNegligible());
        if (otherDataCentres.isEmpty() || (demands.isEmpty() && nowMs < bucket.nextRemoteReportMs)) {
            return;
        }
        bucket.nextRemoteReportMs = nowMs + HEARTBEAT_INTERVAL_MS;
        if (isFullReport) {
            bucket.nextRemoteFullReportMs = nowMs + REMOTE_FULL_REPORT_INTERVAL_MS;
        }
        DemandReport report = new DemandReport(index, nextSequence(), isFullReport, demands);
        report.setDataCentre(peers.dataCentre());
        report.setOrigin(peers.selfId());
        List<String> staleDataCentres = bucket.owner.staleDataCentres(otherDataCentres, nowMs);
        if (!staleDataCentres.isEmpty()) {
            report.setUnheard(staleDataCentres);
        }
        Message message = Message.demandReport(report);
        otherDataCentres.forEach(name -> send(peers.remoteOwner(name, index), message, out));
    }

    private void removeIdleCallers() {
        localDemands.entrySet().removeIf(entry -> {
            LocalDemand local = entry.getValue();
            boolean isIdle =
                    local.demand.isNegligible() && local.filter.lastReported().isNegligible();
            if (isIdle && local.grantedShare != null) {
                local.grantedShare = null;
                listener.accept(entry.getKey(), share(entry.getKey()));
            }
            return isIdle;
        });
    }

    /** Returns the share of a router that has no grant. */
    private Share uncontendedShare(String caller) {
        LoadVector amounts = limits.get(caller).limits().times(BucketOwner.UNCONTENDED_FRACTION);
        return new Share(amounts, 1.0 / peers.fleetSize());
    }

    /** Notifies the listener of the shares without a grant after the number of routers changed. */
    private void notifyDefaultShares() {
        int fleetSize = peers.fleetSize();
        if (fleetSize != lastFleetSize) {
            lastFleetSize = fleetSize;
            for (String caller : limits.keySet()) {
                if (grantedShare(caller) == null) {
                    listener.accept(caller, share(caller));
                }
            }
        }
    }

    private Share grantedShare(String caller) {
        LocalDemand local = localDemands.get(caller);
        return local == null ? null : local.grantedShare;
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

package io.radishwinch.cluster.allotment;

import io.radishwinch.protocol.generated.CallerDemand;
import io.radishwinch.protocol.generated.CallerShare;
import io.radishwinch.protocol.generated.DemandReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * State of the router that divides the limits of one bucket of callers in its data centre.
 *
 * <p>The owners of the same bucket in all data centres exchange the demand of their data centres and compute the same
 * division. While an owner receives no reports of some data centres, the data centres that it can reach divide only the
 * shares that they held in the last common state, so that all sides of a partition together stay within the limits.
 */
final class BucketOwner {

    /** Time without a report after which another data centre is unreachable, in ms; a little over three heartbeats. */
    static final long REMOTE_STALE_MS = 10_000;

    /** Fraction of the limits that every router may use while demand is below it. */
    static final double UNCONTENDED_FRACTION = 0.6;

    /** Fraction of the limits below which demand must fall before a contended caller is uncontended again. */
    static final double CONTENTION_END_FRACTION = 0.45;

    /** Time that a new owner collects demand before its first grant, in ms. */
    static final long COLLECTION_PERIOD_MS = 1_000;

    /** Time without a report after which a router has no demand, in ms. */
    static final long ROUTER_EXPIRY_MS = 25_000;

    /** Maximum number of callers of one bucket, 10 times the design target. */
    static final int MAX_CALLERS = 1_024;

    /**
     * Fraction by which rounding and delayed grants may raise the sum of the shares of one data centre above the
     * limits.
     */
    private static final double HELD_TOLERANCE_FRACTION = 0.05;

    private static final long SNAPSHOT_INTERVAL_MS = 1_000;
    private static final int MAX_SNAPSHOTS = 14;

    private final long ownedSinceMs;
    private final Map<String, DemandSource> routers = new TreeMap<>();
    private final Map<String, DemandSource> remotes = new TreeMap<>();
    private final Map<String, LoadVector> heldShares = new HashMap<>();
    private final Set<String> contendedCallers = new HashSet<>();
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();
    private Snapshot agreedSnapshot;
    private boolean isPartitioned;

    /** Demand of one router or data centre. */
    private static final class DemandSource {
        private final Map<String, LoadVector> demand = new HashMap<>();
        private String origin = "";
        private long sequence = Long.MIN_VALUE;
        private long lastReceivedMs;
        private boolean receivesOurReports = true;
    }

    /** Shares of all data centres by caller at one time. */
    private record Snapshot(long atMs, Map<String, Map<String, LoadVector>> shares) {}

    BucketOwner(long nowMs) {
        this.ownedSinceMs = nowMs;
    }

    boolean isReady(long nowMs) {
        return nowMs - ownedSinceMs >= COLLECTION_PERIOD_MS;
    }

    boolean isPartitioned() {
        return isPartitioned;
    }

    /** Applies a demand report of a router and returns false if the report is stale. */
    boolean onRouterReport(String routerId, DemandReport report, long nowMs) {
        DemandSource source = routers.computeIfAbsent(routerId, id -> new DemandSource());
        if (!applyReport(source, routerId, report, nowMs)) {
            return false;
        }
        if (report.isSetHeld() && agreedSnapshot == null && snapshots.isEmpty()) {
            for (CallerShare share : report.getHeld()) {
                if (heldShares.size() < MAX_CALLERS || heldShares.containsKey(share.getCaller())) {
                    heldShares.merge(
                            share.getCaller(),
                            WireConversion.fromThriftShare(share).limits(),
                            LoadVector::plus);
                }
            }
        }
        return true;
    }

    /** Applies a demand report of another data centre. */
    void onDataCentreReport(DemandReport report, String localDataCentre, long nowMs) {
        DemandSource source = remotes.computeIfAbsent(report.getDataCentre(), name -> new DemandSource());
        source.receivesOurReports =
                !report.isSetUnheard() || !report.getUnheard().contains(localDataCentre);
        applyReport(source, report.isSetOrigin() ? report.getOrigin() : "", report, nowMs);
    }

    private static boolean applyReport(DemandSource source, String origin, DemandReport report, long nowMs) {
        if (origin.equals(source.origin) && report.getSequence() <= source.sequence) {
            return false;
        }
        source.origin = origin;
        source.sequence = report.getSequence();
        source.lastReceivedMs = nowMs;
        if (report.isWhole()) {
            source.demand.clear();
        }
        for (CallerDemand demand : report.getDemands()) {
            LoadVector amounts = WireConversion.fromThriftDemand(demand);
            if (amounts.isNegligible()) {
                source.demand.remove(demand.getCaller());
            } else if (source.demand.size() < MAX_CALLERS || source.demand.containsKey(demand.getCaller())) {
                source.demand.put(demand.getCaller(), amounts);
            }
        }
        return true;
    }

    /**
     * Removes routers that left and data centres that no longer exist, and detects the start and the end of a
     * partition.
     */
    void refresh(Collection<String> localIds, Set<String> dataCentres, long nowMs) {
        routers.entrySet()
                .removeIf(entry -> !localIds.contains(entry.getKey())
                        || nowMs - entry.getValue().lastReceivedMs > ROUTER_EXPIRY_MS);
        remotes.keySet().retainAll(dataCentres);
        contendedCallers.retainAll(callers());
        boolean hasUnreachable = dataCentres.stream().anyMatch(name -> !isReachable(name, nowMs));
        if (hasUnreachable && !isPartitioned) {
            agreedSnapshot = lastCommonSnapshot(dataCentres, nowMs);
        }
        isPartitioned = hasUnreachable;
        if (!hasUnreachable) {
            agreedSnapshot = null;
            heldShares.clear();
        }
    }

    /** Returns the demand of the local data centre for each caller. */
    Map<String, LoadVector> localDemand() {
        Map<String, LoadVector> sums = new TreeMap<>();
        routers.values().forEach(source -> source.demand.forEach((c, d) -> sums.merge(c, d, LoadVector::plus)));
        return sums;
    }

    /** Returns the data centres from which no report arrived within {@link #REMOTE_STALE_MS}. */
    List<String> staleDataCentres(Set<String> dataCentres, long nowMs) {
        List<String> stale = new ArrayList<>();
        for (String name : dataCentres) {
            DemandSource source = remotes.get(name);
            if (source == null || nowMs - source.lastReceivedMs > REMOTE_STALE_MS) {
                stale.add(name);
            }
        }
        return stale;
    }

    /** Returns the callers with demand in any data centre. */
    Set<String> callers() {
        Set<String> callers = new TreeSet<>();
        routers.values().forEach(source -> callers.addAll(source.demand.keySet()));
        remotes.values().forEach(source -> callers.addAll(source.demand.keySet()));
        return callers;
    }

    /** Returns the routers of the local data centre with demand for a caller. */
    List<String> routersWithDemand(String caller) {
        List<String> ids = new ArrayList<>();
        routers.forEach((id, source) -> {
            if (source.demand.containsKey(caller)) {
                ids.add(id);
            }
        });
        return ids;
    }

    /** Returns the shares of the local and the reachable data centres in the limits of one caller. */
    Map<String, LoadVector> splitByDataCentre(
            String caller, CallerLimits limits, String localDataCentre, Set<String> otherDataCentres, long nowMs) {
        Map<String, LoadVector> demands = new TreeMap<>();
        LoadVector localDemand = LoadVector.ZERO;
        for (DemandSource source : routers.values()) {
            localDemand = localDemand.plus(source.demand.getOrDefault(caller, LoadVector.ZERO));
        }
        demands.put(localDataCentre, localDemand);
        int dataCentreCount = otherDataCentres.size() + 1;
        LoadVector amount =
                isPartitioned ? agreedShare(caller, limits, localDataCentre, dataCentreCount) : limits.limits();
        for (String name : otherDataCentres) {
            // A new owner without a snapshot of the common state divides only the share of its own data centre.
            if (isReachable(name, nowMs) && (!isPartitioned || agreedSnapshot != null)) {
                demands.put(name, remotes.get(name).demand.getOrDefault(caller, LoadVector.ZERO));
                if (isPartitioned) {
                    amount = amount.plus(agreedShare(caller, limits, name, dataCentreCount));
                }
            }
        }
        LoadVector total = demands.values().stream().reduce(LoadVector.ZERO, LoadVector::plus);
        LoadVector divided = amount;
        if (total.exceeds(amount.times(UNCONTENDED_FRACTION))) {
            contendedCallers.add(caller);
        } else if (!total.exceeds(amount.times(CONTENTION_END_FRACTION))) {
            contendedCallers.remove(caller);
        }
        Map<String, LoadVector> shares = new TreeMap<>();
        demands.forEach((name, demand) -> shares.put(name, ShareSplit.part(divided, demand, total, demands.size())));
        return shares;
    }

    /** Returns whether demand is so close to the limits that exact shares are needed. */
    boolean isContended(String caller) {
        return contendedCallers.contains(caller);
    }

    /** Returns the share of one router of the local data centre. */
    Share routerShare(
            String routerId,
            String caller,
            CallerLimits limits,
            LoadVector dataCentreShare,
            LoadVector localDemand,
            int members) {
        DemandSource source = routers.get(routerId);
        LoadVector routerDemand =
                source == null ? LoadVector.ZERO : source.demand.getOrDefault(caller, LoadVector.ZERO);
        double floor = limits.floorTokensPerS();
        // During a partition every data centre serves the whole floor, because it cannot know what the others serve.
        double tokens = isPartitioned ? Math.max(dataCentreShare.tokensPerS(), floor) : dataCentreShare.tokensPerS();
        LoadVector dataCentreLimits =
                new LoadVector(dataCentreShare.requestsPerS(), tokens, dataCentreShare.concurrentRequests());
        LoadVector part = ShareSplit.part(dataCentreLimits, routerDemand, localDemand, members);
        double fraction = tokens <= 0 ? 1.0 / members : part.tokensPerS() / tokens;
        double dataCentreFraction = isPartitioned || limits.limits().tokensPerS() <= 0
                ? 1
                : dataCentreShare.tokensPerS() / limits.limits().tokensPerS();
        LoadVector usable = part;
        if (!isContended(caller)) {
            usable = (isPartitioned ? dataCentreLimits : limits.limits()).times(UNCONTENDED_FRACTION);
        }
        return new Share(usable, Math.min(1, fraction * dataCentreFraction));
    }

    /** Records the current shares, from which a later partition starts. */
    void recordSnapshot(Map<String, Map<String, LoadVector>> shares, long nowMs) {
        if (!isPartitioned
                && (snapshots.isEmpty() || nowMs - snapshots.getLast().atMs() >= SNAPSHOT_INTERVAL_MS)) {
            snapshots.addLast(new Snapshot(nowMs, shares));
            if (snapshots.size() > MAX_SNAPSHOTS) {
                snapshots.removeFirst();
            }
        }
    }

    private boolean isReachable(String dataCentre, long nowMs) {
        DemandSource source = remotes.get(dataCentre);
        return source != null && source.receivesOurReports && nowMs - source.lastReceivedMs <= REMOTE_STALE_MS;
    }

    /**
     * Returns the newest snapshot from before the last report of an unreachable data centre, when all data centres
     * still computed with the same demand, or the oldest snapshot if there is none.
     */
    private Snapshot lastCommonSnapshot(Set<String> dataCentres, long nowMs) {
        long lastReportMs = nowMs;
        for (String name : dataCentres) {
            DemandSource source = remotes.get(name);
            if (source != null && !isReachable(name, nowMs)) {
                lastReportMs = Math.min(lastReportMs, source.lastReceivedMs);
            }
        }
        Snapshot best = null;
        for (Snapshot snapshot : snapshots) {
            if (best == null || snapshot.atMs() <= lastReportMs - SNAPSHOT_INTERVAL_MS) {
                best = snapshot;
            }
        }
        return best;
    }

    private LoadVector agreedShare(String caller, CallerLimits limits, String dataCentre, int dataCentres) {
        Map<String, LoadVector> shares =
                agreedSnapshot == null ? null : agreedSnapshot.shares().get(caller);
        if (shares != null && shares.containsKey(dataCentre)) {
            return shares.get(dataCentre);
        }
        LoadVector equalPart = limits.limits().times(1.0 / dataCentres);
        LoadVector sum = agreedSnapshot == null ? heldShares.get(caller) : null;
        // The shares of an uncontended caller overlap, so their sum does not show the share of the data centre.
        boolean isOverlapping = sum == null || sum.exceeds(limits.limits().times(1 + HELD_TOLERANCE_FRACTION));
        return isOverlapping ? equalPart : sum;
    }
}

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
 * State of the router that splits the limits of one bucket of callers in its data centre.
 *
 * <p>The owners of the same bucket in all data centres exchange the demand of their data centres and compute the same
 * split. While an owner does not hear all others, the group of data centres that it hears divides only what these held
 * when they were last heard together, so both sides of a partition together stay within the limit.
 */
final class BucketOwner {

    /** Silence after which another data centre counts as unreachable: three heartbeats, in ms. */
    static final long REMOTE_STALE_MS = 10_000;

    /** Part of the limits that every router may use while demand is below it, as a fraction. */
    static final double UNCONTENDED_FRACTION = 0.6;

    /** Part of the limits below which demand must fall before a caller is uncontended again, as a fraction. */
    static final double CONTENTION_END_FRACTION = 0.45;

    /** Time in which a new owner collects demand before its first grant, in ms. */
    static final long COLLECTION_PERIOD_MS = 1_000;

    /** A router that reported nothing for this long has no demand any more, in ms. */
    static final long ROUTER_EXPIRY_MS = 25_000;

    /** Bound on callers of one bucket, 10 times the design target. */
    static final int MAX_CALLERS = 1_024;

    /** Excess of the shares of one data centre over the limits that rounding and late grants explain, as a fraction. */
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

    /** Takes the demand of a router and returns whether it was news. */
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

    /** Takes the demand of another data centre. */
    void onDataCentreReport(DemandReport report, String ownDataCentre, long nowMs) {
        DemandSource source = remotes.computeIfAbsent(report.getDataCentre(), name -> new DemandSource());
        source.receivesOurReports =
                !report.isSetUnheard() || !report.getUnheard().contains(ownDataCentre);
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

    /** Drops routers that left and data centres that no longer exist, and judges who is reachable. */
    void refresh(Collection<String> localIds, Set<String> dataCentres, long nowMs) {
        routers.entrySet()
                .removeIf(entry -> !localIds.contains(entry.getKey())
                        || nowMs - entry.getValue().lastReceivedMs > ROUTER_EXPIRY_MS);
        remotes.keySet().retainAll(dataCentres);
        contendedCallers.retainAll(callers());
        boolean stale = dataCentres.stream().anyMatch(name -> !isReachable(name, nowMs));
        if (stale && !isPartitioned) {
            agreedSnapshot = lastCommonSnapshot(dataCentres, nowMs);
        }
        isPartitioned = stale;
        if (!stale) {
            agreedSnapshot = null;
            heldShares.clear();
        }
    }

    /** Returns the demand of the own data centre for each caller. */
    Map<String, LoadVector> localDemand() {
        Map<String, LoadVector> sums = new TreeMap<>();
        routers.values().forEach(source -> source.demand.forEach((c, d) -> sums.merge(c, d, LoadVector::plus)));
        return sums;
    }

    /** Returns the data centres that this owner does not hear. */
    List<String> staleDataCentres(Set<String> dataCentres, long nowMs) {
        List<String> unheard = new ArrayList<>();
        for (String name : dataCentres) {
            DemandSource source = remotes.get(name);
            if (source == null || nowMs - source.lastReceivedMs > REMOTE_STALE_MS) {
                unheard.add(name);
            }
        }
        return unheard;
    }

    /** Returns the callers with demand in any data centre. */
    Set<String> callers() {
        Set<String> callers = new TreeSet<>();
        routers.values().forEach(source -> callers.addAll(source.demand.keySet()));
        remotes.values().forEach(source -> callers.addAll(source.demand.keySet()));
        return callers;
    }

    /** Returns the routers of the own data centre with demand for a caller. */
    List<String> routersWithDemand(String caller) {
        List<String> ids = new ArrayList<>();
        routers.forEach((id, source) -> {
            if (source.demand.containsKey(caller)) {
                ids.add(id);
            }
        });
        return ids;
    }

    /** Returns the shares of all data centres for one caller. */
    Map<String, LoadVector> splitByDataCentre(
            String caller, CallerLimits limits, String own, Set<String> others, long nowMs) {
        Map<String, LoadVector> demands = new TreeMap<>();
        LoadVector ownDemand = LoadVector.ZERO;
        for (DemandSource source : routers.values()) {
            ownDemand = ownDemand.plus(source.demand.getOrDefault(caller, LoadVector.ZERO));
        }
        demands.put(own, ownDemand);
        int all = others.size() + 1;
        LoadVector amount = isPartitioned ? agreedShare(caller, limits, own, all) : limits.limits();
        for (String name : others) {
            // A new owner without a common history leaves the others what they hold and divides its own part only.
            if (isReachable(name, nowMs) && (!isPartitioned || agreedSnapshot != null)) {
                demands.put(name, remotes.get(name).demand.getOrDefault(caller, LoadVector.ZERO));
                if (isPartitioned) {
                    amount = amount.plus(agreedShare(caller, limits, name, all));
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

    /** Returns whether demand comes so near the limits that shares must be exact. */
    boolean isContended(String caller) {
        return contendedCallers.contains(caller);
    }

    /** Returns the share of one router of the own data centre. */
    Share routerShare(
            String routerId,
            String caller,
            CallerLimits limits,
            LoadVector dataCentreShare,
            LoadVector local,
            int members) {
        DemandSource source = routers.get(routerId);
        LoadVector own = source == null ? LoadVector.ZERO : source.demand.getOrDefault(caller, LoadVector.ZERO);
        double floor = limits.floorTokensPerS();
        // In a partition every data centre serves the whole floor, because nobody can tell what the other sides serve.
        double tokens = isPartitioned ? Math.max(dataCentreShare.tokensPerS(), floor) : dataCentreShare.tokensPerS();
        LoadVector whole = new LoadVector(dataCentreShare.requestsPerS(), tokens, dataCentreShare.concurrentRequests());
        LoadVector part = ShareSplit.part(whole, own, local, members);
        double fraction = tokens <= 0 ? 1.0 / members : part.tokensPerS() / tokens;
        double dataCentreFraction = isPartitioned || limits.limits().tokensPerS() <= 0
                ? 1
                : dataCentreShare.tokensPerS() / limits.limits().tokensPerS();
        LoadVector usable = part;
        if (!isContended(caller)) {
            usable = (isPartitioned ? whole : limits.limits()).times(UNCONTENDED_FRACTION);
        }
        return new Share(usable, Math.min(1, fraction * dataCentreFraction));
    }

    /** Records the shares of this moment, from which a later partition starts. */
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

    /** Returns the newest shares from before the silence, when all sides still computed with the same demand. */
    private Snapshot lastCommonSnapshot(Set<String> dataCentres, long nowMs) {
        long silentSinceMs = nowMs;
        for (String name : dataCentres) {
            DemandSource source = remotes.get(name);
            if (source != null && !isReachable(name, nowMs)) {
                silentSinceMs = Math.min(silentSinceMs, source.lastReceivedMs);
            }
        }
        Snapshot best = null;
        for (Snapshot snapshot : snapshots) {
            if (best == null || snapshot.atMs() <= silentSinceMs - SNAPSHOT_INTERVAL_MS) {
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
        LoadVector equal = limits.limits().times(1.0 / dataCentres);
        LoadVector sum = agreedSnapshot == null ? heldShares.get(caller) : null;
        // Shares of an uncontended caller overlap, so their sum says nothing about the part of the data centre.
        boolean overlapping = sum == null || sum.exceeds(limits.limits().times(1 + HELD_TOLERANCE_FRACTION));
        return overlapping ? equal : sum;
    }
}

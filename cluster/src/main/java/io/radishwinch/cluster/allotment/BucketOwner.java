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
    static final long STALE_MS = 10_000;

    /** Part of the limits that every router may use while demand is below it, as a fraction. */
    static final double UNCONTENDED_SHARE = 0.6;

    /** Part of the limits below which demand must fall before a caller is uncontended again, as a fraction. */
    static final double UNCONTENDED_AGAIN = 0.45;

    /** Time in which a new owner collects demand before its first grant, in ms. */
    static final long COLLECT_MS = 1_000;

    /** A router that reported nothing for this long has no demand any more, in ms. */
    static final long ROUTER_EXPIRY_MS = 25_000;

    /** Bound on callers of one bucket, 10 times the design target. */
    static final int MAX_CALLERS = 1_024;

    /** Excess of the shares of one data centre over the limits that rounding and late grants explain, as a fraction. */
    private static final double HELD_TOLERANCE = 0.05;

    private static final long SNAPSHOT_INTERVAL_MS = 1_000;
    private static final int MAX_SNAPSHOTS = 14;

    private final long ownedSinceMs;
    private final Map<String, Source> routers = new TreeMap<>();
    private final Map<String, Source> remotes = new TreeMap<>();
    private final Map<String, Amounts> held = new HashMap<>();
    private final Set<String> contended = new HashSet<>();
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();
    private Snapshot agreed;
    private boolean partitioned;

    /** Demand of one router or data centre. */
    private static final class Source {
        private final Map<String, Amounts> demand = new HashMap<>();
        private String origin = "";
        private long sequence = Long.MIN_VALUE;
        private long heardMs;
        private boolean hearsUs = true;
    }

    /** Shares of all data centres by caller at one time. */
    private record Snapshot(long atMs, Map<String, Map<String, Amounts>> shares) {}

    BucketOwner(long nowMs) {
        this.ownedSinceMs = nowMs;
    }

    boolean isReady(long nowMs) {
        return nowMs - ownedSinceMs >= COLLECT_MS;
    }

    boolean isPartitioned() {
        return partitioned;
    }

    /** Takes the demand of a router and returns whether it was news. */
    boolean onRouter(String routerId, DemandReport report, long nowMs) {
        Source source = routers.computeIfAbsent(routerId, id -> new Source());
        if (!take(source, routerId, report, nowMs)) {
            return false;
        }
        if (report.isSetHeld() && agreed == null && snapshots.isEmpty()) {
            for (CallerShare share : report.getHeld()) {
                if (held.size() < MAX_CALLERS || held.containsKey(share.getCaller())) {
                    held.merge(share.getCaller(), Wire.share(share).amounts(), Amounts::plus);
                }
            }
        }
        return true;
    }

    /** Takes the demand of another data centre. */
    void onDataCentre(DemandReport report, String ownDataCentre, long nowMs) {
        Source source = remotes.computeIfAbsent(report.getDataCentre(), name -> new Source());
        source.hearsUs = !report.isSetUnheard() || !report.getUnheard().contains(ownDataCentre);
        take(source, report.isSetOrigin() ? report.getOrigin() : "", report, nowMs);
    }

    private static boolean take(Source source, String origin, DemandReport report, long nowMs) {
        if (origin.equals(source.origin) && report.getSequence() <= source.sequence) {
            return false;
        }
        source.origin = origin;
        source.sequence = report.getSequence();
        source.heardMs = nowMs;
        if (report.isWhole()) {
            source.demand.clear();
        }
        for (CallerDemand demand : report.getDemands()) {
            Amounts amounts = Wire.amounts(demand);
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
                .removeIf(entry ->
                        !localIds.contains(entry.getKey()) || nowMs - entry.getValue().heardMs > ROUTER_EXPIRY_MS);
        remotes.keySet().retainAll(dataCentres);
        contended.retainAll(callers());
        boolean stale = dataCentres.stream().anyMatch(name -> !isReachable(name, nowMs));
        if (stale && !partitioned) {
            agreed = lastCommonSnapshot(dataCentres, nowMs);
        }
        partitioned = stale;
        if (!stale) {
            agreed = null;
            held.clear();
        }
    }

    /** Returns the demand of the own data centre for each caller. */
    Map<String, Amounts> localDemand() {
        Map<String, Amounts> sums = new TreeMap<>();
        routers.values().forEach(source -> source.demand.forEach((c, d) -> sums.merge(c, d, Amounts::plus)));
        return sums;
    }

    /** Returns the data centres that this owner does not hear. */
    List<String> unheard(Set<String> dataCentres, long nowMs) {
        List<String> unheard = new ArrayList<>();
        for (String name : dataCentres) {
            Source source = remotes.get(name);
            if (source == null || nowMs - source.heardMs > STALE_MS) {
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
    List<String> routersWith(String caller) {
        List<String> ids = new ArrayList<>();
        routers.forEach((id, source) -> {
            if (source.demand.containsKey(caller)) {
                ids.add(id);
            }
        });
        return ids;
    }

    /** Returns the shares of all data centres for one caller. */
    Map<String, Amounts> split(String caller, CallerLimits limits, String own, Set<String> others, long nowMs) {
        Map<String, Amounts> demands = new TreeMap<>();
        Amounts ownDemand = Amounts.ZERO;
        for (Source source : routers.values()) {
            ownDemand = ownDemand.plus(source.demand.getOrDefault(caller, Amounts.ZERO));
        }
        demands.put(own, ownDemand);
        int all = others.size() + 1;
        Amounts amount = partitioned ? agreedShare(caller, limits, own, all) : limits.limits();
        for (String name : others) {
            // A new owner without a common history leaves the others what they hold and divides its own part only.
            if (isReachable(name, nowMs) && (!partitioned || agreed != null)) {
                demands.put(name, remotes.get(name).demand.getOrDefault(caller, Amounts.ZERO));
                if (partitioned) {
                    amount = amount.plus(agreedShare(caller, limits, name, all));
                }
            }
        }
        Amounts total = demands.values().stream().reduce(Amounts.ZERO, Amounts::plus);
        Amounts divided = amount;
        if (total.exceeds(amount.times(UNCONTENDED_SHARE))) {
            contended.add(caller);
        } else if (!total.exceeds(amount.times(UNCONTENDED_AGAIN))) {
            contended.remove(caller);
        }
        Map<String, Amounts> shares = new TreeMap<>();
        demands.forEach((name, demand) -> shares.put(name, ShareSplit.part(divided, demand, total, demands.size())));
        return shares;
    }

    /** Returns whether demand comes so near the limits that shares must be exact. */
    boolean isContended(String caller) {
        return contended.contains(caller);
    }

    /** Returns the share of one router of the own data centre. */
    Share routerShare(
            String routerId, String caller, CallerLimits limits, Amounts dataCentreShare, Amounts local, int members) {
        Source source = routers.get(routerId);
        Amounts own = source == null ? Amounts.ZERO : source.demand.getOrDefault(caller, Amounts.ZERO);
        double floor = limits.floorTokensPerS();
        // In a partition every data centre serves the whole floor, because nobody can tell what the other sides serve.
        double tokens = partitioned ? Math.max(dataCentreShare.tokensPerS(), floor) : dataCentreShare.tokensPerS();
        Amounts whole = new Amounts(dataCentreShare.requestsPerS(), tokens, dataCentreShare.concurrent());
        Amounts part = ShareSplit.part(whole, own, local, members);
        double fraction = tokens <= 0 ? 1.0 / members : part.tokensPerS() / tokens;
        double dataCentreFraction = partitioned || limits.limits().tokensPerS() <= 0
                ? 1
                : dataCentreShare.tokensPerS() / limits.limits().tokensPerS();
        Amounts usable = part;
        if (!isContended(caller)) {
            usable = (partitioned ? whole : limits.limits()).times(UNCONTENDED_SHARE);
        }
        return new Share(usable, Math.min(1, fraction * dataCentreFraction));
    }

    /** Records the shares of this moment, from which a later partition starts. */
    void record(Map<String, Map<String, Amounts>> shares, long nowMs) {
        if (!partitioned && (snapshots.isEmpty() || nowMs - snapshots.getLast().atMs() >= SNAPSHOT_INTERVAL_MS)) {
            snapshots.addLast(new Snapshot(nowMs, shares));
            if (snapshots.size() > MAX_SNAPSHOTS) {
                snapshots.removeFirst();
            }
        }
    }

    private boolean isReachable(String dataCentre, long nowMs) {
        Source source = remotes.get(dataCentre);
        return source != null && source.hearsUs && nowMs - source.heardMs <= STALE_MS;
    }

    /** Returns the newest shares from before the silence, when all sides still computed with the same demand. */
    private Snapshot lastCommonSnapshot(Set<String> dataCentres, long nowMs) {
        long silentSinceMs = nowMs;
        for (String name : dataCentres) {
            Source source = remotes.get(name);
            if (source != null && !isReachable(name, nowMs)) {
                silentSinceMs = Math.min(silentSinceMs, source.heardMs);
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

    private Amounts agreedShare(String caller, CallerLimits limits, String dataCentre, int dataCentres) {
        Map<String, Amounts> shares = agreed == null ? null : agreed.shares().get(caller);
        if (shares != null && shares.containsKey(dataCentre)) {
            return shares.get(dataCentre);
        }
        Amounts equal = limits.limits().times(1.0 / dataCentres);
        Amounts sum = agreed == null ? held.get(caller) : null;
        // Shares of an uncontended caller overlap, so their sum says nothing about the part of the data centre.
        boolean overlapping = sum == null || sum.exceeds(limits.limits().times(1 + HELD_TOLERANCE));
        return overlapping ? equal : sum;
    }
}

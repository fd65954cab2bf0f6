package io.radishwinch.core.placement;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.EngineOrder.Handover;
import io.radishwinch.core.model.EnginePoolSpec;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Plans a layout for all engines of a model and repairs it as engines join and leave.
 *
 * <p>The engines of a data centre that can hold a complete model form a group, so that chains need no cross-data-centre
 * hops. The engines of all other data centres form one shared group. The lease holder of a group plans it.
 */
public final class LayoutPlanner implements Placement {

    /** Key of the group of all engines whose data centre cannot hold the complete model. */
    public static final String SHARED_GROUP = "";

    /** Maximum number of times that the backoff after a refusal doubles. */
    private static final int MAX_BACKOFF_DOUBLINGS = 2;

    /** Change of the smallest capacity that is logged, relative to the larger value. */
    private static final double LOGGED_CHANGE_SHARE = 0.2;

    /** Number of copies of the model up to which a fresh layout is worked out for comparison. */
    private static final int MAX_FRESH_COPIES = 4;

    private final LayoutSettings settings;
    private final Layout layout;
    private final PlacementLease lease;
    private final Map<String, PendingOrder> pending = new TreeMap<>();
    private final Map<String, Long> backoffUntilMs = new HashMap<>();
    private final Map<String, Integer> consecutiveRefusals = new HashMap<>();
    private final Map<String, Long> joinedAtMs = new HashMap<>();
    private final Map<String, Long> missingSinceMs = new HashMap<>();
    private final Map<String, LoggedCapacity> logged = new HashMap<>();
    private final WideningSchedule widening;
    private long lastLeaveAtMs = Long.MIN_VALUE / 2;
    private long lastFencingToken;

    /** An order whose effect is not confirmed; the plan counts it as carried out until it expires. */
    private record PendingOrder(
            String group, LayerRange range, double capacityRequests, long fencingToken, long expiresAtMs) {}

    /** What limits the chains of a group once all orders are carried out. */
    private enum CapacityState {
        /** Each layer has the target capacity of the layout. */
        BALANCED,
        /** Some layers have less than the target capacity. */
        NARROW,
        /** Some layers have no holder. */
        UNCOVERED
    }

    /** The state that was logged last, with the smallest capacity over the layers, in requests. */
    private record LoggedCapacity(CapacityState state, double minRequests) {

        boolean differsFrom(double otherRequests) {
            return Math.abs(otherRequests - minRequests) > LOGGED_CHANGE_SHARE * Math.max(otherRequests, minRequests);
        }
    }

    /** Creates a planner. */
    public LayoutPlanner(LayoutSettings settings, Layout layout, PlacementLease lease) {
        this.settings = settings;
        this.layout = layout;
        this.lease = lease;
        this.widening = new WideningSchedule(settings);
    }

    @Override
    public void acknowledged(String endpointId, long fencingToken, boolean isAccepted) {
        PendingOrder order = pending.get(endpointId);
        if (isAccepted) {
            consecutiveRefusals.remove(endpointId);
        } else if (order != null && order.fencingToken == fencingToken) {
            pending.remove(endpointId);
            consecutiveRefusals.merge(endpointId, 1, Integer::sum);
            // The known state of the engine is stale until its next load report. The next tick sets the end of the
            // backoff.
            backoffUntilMs.put(endpointId, Long.MAX_VALUE);
        }
    }

    @Override
    public void endpointLeft(String endpointId, long nowMs) {
        lastLeaveAtMs = nowMs;
    }

    /** Returns false: an engine continues to serve the layers that it keeps while it loads others. */
    @Override
    public boolean isReloading(String endpointId) {
        return false;
    }

    @Override
    public List<Action> tick(Collection<PlacementEndpoint> endpoints, FleetConfig config, long nowMs) {
        refresh(endpoints, nowMs);
        List<Action> actions = new ArrayList<>();
        for (Map.Entry<String, EnginePoolSpec> entry : new TreeMap<>(config.enginePools()).entrySet()) {
            ModelSpec model = config.models().get(entry.getKey());
            if (model != null) {
                Map<String, List<PlacementEndpoint>> groups = groups(endpoints, model, entry.getValue(), nowMs);
                long newestJoinMs = endpoints.stream()
                        .filter(endpoint ->
                                entry.getValue().memoryBytes(endpoint.spec().acceleratorKind()) > 0)
                        .mapToLong(endpoint -> joinedAtMs.get(endpoint.id()))
                        .max()
                        .orElse(nowMs);
                groups.forEach((key, members) -> {
                    if (lease.holds(key, nowMs)) {
                        new GroupPlanner(key, members, model, entry.getValue(), newestJoinMs, nowMs, actions).plan();
                    } else {
                        logged.remove(key);
                        widening.forget(key);
                    }
                });
            }
        }
        return actions;
    }

    private void refresh(Collection<PlacementEndpoint> endpoints, long nowMs) {
        Map<String, PlacementEndpoint> byId = new HashMap<>();
        endpoints.forEach(endpoint -> byId.put(endpoint.id(), endpoint));
        pending.entrySet().removeIf(entry -> {
            PlacementEndpoint endpoint = byId.get(entry.getKey());
            return isMissingBeyondTimeout(entry.getKey(), endpoint != null, nowMs)
                    || nowMs >= entry.getValue().expiresAtMs
                    || endpoint != null && entry.getValue().range.equals(rangeOf(endpoint));
        });
        missingSinceMs.keySet().retainAll(pending.keySet());
        joinedAtMs.keySet().retainAll(byId.keySet());
        byId.keySet().forEach(id -> joinedAtMs.putIfAbsent(id, nowMs));
        consecutiveRefusals.keySet().retainAll(byId.keySet());
        backoffUntilMs.replaceAll((id, untilMs) -> untilMs == Long.MAX_VALUE ? nowMs + refusalBackoffMs(id) : untilMs);
        backoffUntilMs.entrySet().removeIf(entry -> nowMs >= entry.getValue() || !byId.containsKey(entry.getKey()));
    }

    private boolean isMissingBeyondTimeout(String endpointId, boolean isPresent, long nowMs) {
        if (isPresent) {
            missingSinceMs.remove(endpointId);
            return false;
        }
        return nowMs - missingSinceMs.computeIfAbsent(endpointId, id -> nowMs) >= settings.missingTimeoutMs();
    }

    /** Returns the backoff in ms, which doubles because an engine that keeps refusing is busy with a long operation. */
    private long refusalBackoffMs(String endpointId) {
        int refusals = Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveRefusals.getOrDefault(endpointId, 1) - 1);
        return settings.refusalBackoffMs() << Math.max(0, refusals);
    }

    /** Returns the groups; engines of a data centre that is still joining belong to none. */
    private Map<String, List<PlacementEndpoint>> groups(
            Collection<PlacementEndpoint> endpoints, ModelSpec model, EnginePoolSpec pool, long nowMs) {
        Map<String, List<PlacementEndpoint>> byDataCentre = new TreeMap<>();
        for (PlacementEndpoint endpoint : endpoints) {
            if (pool.memoryBytes(endpoint.spec().acceleratorKind()) > 0) {
                byDataCentre
                        .computeIfAbsent(endpoint.spec().dataCentre(), key -> new ArrayList<>())
                        .add(endpoint);
            }
        }
        Map<String, List<PlacementEndpoint>> groups = new TreeMap<>();
        byDataCentre.forEach((dataCentre, members) -> {
            boolean canHoldCopy = BalancedLayout.canHoldCopy(members, model, pool);
            // A data centre that comes back after a partition seems small until all of its engines have joined.
            if (canHoldCopy || !isJoining(members, nowMs)) {
                groups.computeIfAbsent(canHoldCopy ? dataCentre : SHARED_GROUP, ignored -> new ArrayList<>())
                        .addAll(members);
            }
        });
        return groups;
    }

    /** Returns whether all of the engines joined recently. */
    private boolean isJoining(List<PlacementEndpoint> members, long nowMs) {
        return members.stream()
                .allMatch(endpoint -> nowMs - joinedAtMs.get(endpoint.id()) < settings.maxStabilizationMs());
    }

    private static LayerRange rangeOf(PlacementEndpoint endpoint) {
        for (Holding holding : endpoint.holdings()) {
            if (!holding.pool().startsWith(ModelSpec.SERVICE_PREFIX)) {
                return holding.layers();
            }
        }
        return null;
    }

    /** State and decisions of one tick for one group. */
    private final class GroupPlanner {

        private final String key;
        private final Map<String, PlacementEndpoint> members = new TreeMap<>();
        private final Map<String, LayerRange> ranges = new TreeMap<>();
        private final ModelSpec model;
        private final EnginePoolSpec pool;
        /** Time at which the newest engine of any group joined. */
        private final long newestJoinMs;

        private final long nowMs;
        private final List<Action> actions;
        private final LayerCapacity capacity;
        private final double targetCapacityRequests;
        private int ordersLeft;

        GroupPlanner(
                String key,
                List<PlacementEndpoint> endpoints,
                ModelSpec model,
                EnginePoolSpec pool,
                long newestJoinMs,
                long nowMs,
                List<Action> actions) {
            this.key = key;
            this.model = model;
            this.pool = pool;
            this.newestJoinMs = newestJoinMs;
            this.nowMs = nowMs;
            this.actions = actions;
            this.ordersLeft = settings.maxOrdersPerTick();
            this.capacity = new LayerCapacity(model.layerCount());
            this.targetCapacityRequests = BalancedLayout.targetCapacityRequests(endpoints, model, pool);
            for (PlacementEndpoint endpoint : endpoints) {
                members.put(endpoint.id(), endpoint);
                PendingOrder order = pending.get(endpoint.id());
                LayerRange range = order == null ? rangeOf(endpoint) : order.range;
                if (range != null) {
                    ranges.put(endpoint.id(), range);
                    capacity.add(range, capacityRequests(endpoint, range));
                }
            }
            pending.forEach((id, order) -> {
                if (order.group.equals(key) && !members.containsKey(id)) {
                    capacity.add(order.range, order.capacityRequests);
                }
            });
        }

        void plan() {
            if (isRejoining()) {
                return;
            }
            List<PlacementEndpoint> empty = members.values().stream()
                    .filter(endpoint -> !ranges.containsKey(endpoint.id()) && canOrder(endpoint))
                    .toList();
            boolean isFirstLayout = empty.size() * 2 > members.size();
            if (isFirstLayout) {
                if (isMembershipStable(empty)) {
                    ordersLeft = members.size();
                    layout.plan(empty, model, pool)
                            .forEach((id, range) -> issueOrder(members.get(id), range, Handover.WAIT));
                }
                return;
            }
            repair();
            for (PlacementEndpoint endpoint : empty) {
                int layers = targetLayers(endpoint);
                if (layers > 0 && ordersLeft > 0 && !ranges.containsKey(endpoint.id())) {
                    issueOrder(endpoint, mostNeededRange(layers), Handover.WAIT);
                }
            }
            if (capacity.uncoveredRanges().isEmpty() && pending.isEmpty()) {
                trimExcessLayers();
            }
            // Excess layers are released one engine at a time, and before engines are moved.
            if (capacity.uncoveredRanges().isEmpty() && pending.isEmpty()) {
                widen();
            }
            logCapacityState();
        }

        /** Logs what limits the chains of the group when it changes, first when this router has taken the lease. */
        private void logCapacityState() {
            double minRequests = capacity.minCapacityRequests();
            CapacityState state = capacity.uncoveredRanges().isEmpty()
                    ? minRequests < targetCapacityRequests ? CapacityState.NARROW : CapacityState.BALANCED
                    : CapacityState.UNCOVERED;
            LoggedCapacity last = logged.get(key);
            if (last != null && last.state == state && !last.differsFrom(minRequests)) {
                return;
            }
            logged.put(key, new LoggedCapacity(state, minRequests));
            LayerRange narrowest = capacity.narrowestRange();
            String detail = String.format(
                    Locale.ROOT,
                    "%s: layers %d to %d have capacity for %.0f requests, target %.0f; %d engines, %d orders pending",
                    state.name().toLowerCase(Locale.ROOT),
                    narrowest.first(),
                    narrowest.end(),
                    minRequests,
                    targetCapacityRequests,
                    members.size(),
                    pending.size());
            actions.add(new Action.StateChanged("layout " + key, detail));
        }

        /**
         * Returns whether several engines rejoined with layers within the stabilization period, as after a partition.
         * The others are then expected to follow, and a coverage gap needs no repair.
         */
        private boolean isRejoining() {
            long rejoined = members.values().stream()
                    .filter(endpoint -> rangeOf(endpoint) != null
                            && nowMs - joinedAtMs.getOrDefault(endpoint.id(), nowMs) < settings.stabilizationMs())
                    .count();
            return rejoined >= settings.rejoiningEngines();
        }

        /**
         * Returns whether no engine joined recently; a layout planned while engines join would be planned for too few.
         * Engines that join other groups count for a limited time, because the engines of one start-up join all groups
         * at random intervals.
         */
        private boolean isMembershipStable(List<PlacementEndpoint> empty) {
            long firstEmptyMs = empty.stream()
                    .mapToLong(endpoint -> joinedAtMs.get(endpoint.id()))
                    .min()
                    .orElse(nowMs);
            boolean hasWaited = nowMs - firstEmptyMs >= settings.maxStabilizationMs();
            return isStableSince(newestMemberMs()) && (hasWaited || isStableSince(newestJoinMs));
        }

        private long newestMemberMs() {
            return members.keySet().stream().mapToLong(joinedAtMs::get).max().orElse(nowMs);
        }

        private boolean isStableSince(long joinMs) {
            return nowMs - joinMs >= settings.stabilizationMs();
        }

        private void repair() {
            while (ordersLeft > 0) {
                Repair best = null;
                for (LayerRange gap : capacity.uncoveredRanges()) {
                    for (PlacementEndpoint endpoint : members.values()) {
                        Repair repair = canOrder(endpoint) ? bestRepair(endpoint, gap) : null;
                        best = repair != null && (best == null || repair.value > best.value) ? repair : best;
                    }
                }
                if (best == null) {
                    return;
                }
                issueOrder(best.endpoint, best.range, handover());
            }
        }

        /**
         * Returns how engines hand over the layers that they release. An immediate handover interrupts the streams of
         * one engine, whereas a coverage gap stops all streams of the group. After a planned leave the engine that
         * leaves still serves for a while, and no stream may be interrupted.
         */
        private Handover handover() {
            return nowMs - lastLeaveAtMs < settings.plannedLeaveWindowMs() ? Handover.WAIT : Handover.CUT;
        }

        /** Returns the best repair of a coverage gap by one engine, or null if it cannot help. */
        private Repair bestRepair(PlacementEndpoint endpoint, LayerRange gap) {
            LayerRange held = ranges.get(endpoint.id());
            if (held == null) {
                int layers = targetLayers(endpoint);
                return layers == 0 ? null : scoredRepair(endpoint, gap, rangeAround(gap, layers), layers);
            }
            Repair extension = extensionRepair(endpoint, held, gap);
            if (extension != null) {
                return extension;
            }
            boolean isRedundant = capacity.minHolders(held) > 1;
            int layers = targetLayers(endpoint);
            if (!isRedundant || layers == 0) {
                return null;
            }
            Repair move = scoredRepair(endpoint, gap, rangeAround(gap, layers), layers);
            return new Repair(
                    endpoint, move.range, move.value - settings.costPerInterruptedStream() * endpoint.occupiedSlots());
        }

        private Repair extensionRepair(PlacementEndpoint endpoint, LayerRange held, LayerRange gap) {
            int maxLayers =
                    pool.maxLayersForRequests(endpoint.spec().acceleratorKind(), settings.minCapacityRequests(), model);
            int added = Math.min(gap.size(), maxLayers - held.size());
            if (added <= 0) {
                return null;
            }
            if (held.end() == gap.first()) {
                return scoredRepair(endpoint, gap, new LayerRange(held.first(), held.end() + added), added);
            }
            if (held.first() == gap.end()) {
                return scoredRepair(endpoint, gap, new LayerRange(held.first() - added, held.end()), added);
            }
            return null;
        }

        private LayerRange rangeAround(LayerRange gap, int layers) {
            if (layers <= gap.size()) {
                return new LayerRange(gap.first(), gap.first() + layers);
            }
            int first = Math.min(gap.first(), model.layerCount() - layers);
            return new LayerRange(first, first + layers);
        }

        private Repair scoredRepair(PlacementEndpoint endpoint, LayerRange gap, LayerRange range, int loaded) {
            int covered = Math.min(gap.end(), range.end()) - Math.max(gap.first(), range.first());
            double lostCapacityShare = Math.max(0, 1 - capacityRequests(endpoint, range) / targetCapacityRequests);
            double value = (double) covered / gap.size()
                    - settings.costPerLoadS() * loadMs(loaded) / 1_000
                    - settings.costPerLostCapacityShare() * lostCapacityShare;
            return new Repair(endpoint, range, value);
        }

        /** Releases redundant layers at the ends of the range of one engine that holds more than its target. */
        private void trimExcessLayers() {
            for (PlacementEndpoint endpoint : members.values()) {
                LayerRange held = ranges.get(endpoint.id());
                LayerRange trimmed = held == null || !canOrder(endpoint) ? held : withoutExcess(endpoint, held);
                if (trimmed != held) {
                    issueOrder(endpoint, trimmed, Handover.WAIT);
                    return;
                }
            }
        }

        /** Returns the range without redundant layers at its ends that exceed the target, or the same range. */
        private LayerRange withoutExcess(PlacementEndpoint endpoint, LayerRange held) {
            return capacity.withoutExcess(held, targetLayers(endpoint));
        }

        /** Moves one engine to layers that lack capacity; its streams at the layers that it releases may end. */
        private void widen() {
            double share = capacity.minCapacityRequests() / targetCapacityRequests;
            if (!widening.isDue(key, members.values(), share, nowMs)
                    || nowMs - newestMemberMs() < settings.wideningDelayMs()
                    || !members.values().stream().allMatch(this::canOrder)) {
                return;
            }
            double goalRequests =
                    Math.min(freshCapacityRequests(), settings.maxWideningGoal() * targetCapacityRequests);
            WideningSearch search =
                    new WideningSearch(capacity, goalRequests, this::targetLayers, model, pool, settings);
            ranges.forEach((id, held) -> search.add(members.get(id), held));
            WideningSearch.Move move = search.best();
            widening.searched(key, move != null, nowMs);
            if (move != null) {
                issueOrder(move.endpoint(), move.range(), Handover.WAIT);
            }
        }

        /**
         * Returns the smallest capacity over the layers if the engines were laid out now, in requests. It is not worked
         * out for engines that hold many copies, which takes long and reaches the target in any case.
         */
        private double freshCapacityRequests() {
            int layers = members.values().stream().mapToInt(this::targetLayers).sum();
            if (layers > MAX_FRESH_COPIES * model.layerCount()) {
                return targetCapacityRequests;
            }
            LayerCapacity fresh = new LayerCapacity(model.layerCount());
            layout.plan(members.values(), model, pool)
                    .forEach((id, range) -> fresh.add(range, capacityRequests(members.get(id), range)));
            return fresh.minCapacityRequests();
        }

        /**
         * Returns the range for an engine without layers. Layers that lack capacity only until the excess layers of
         * their holders are released do not need it.
         */
        private LayerRange mostNeededRange(int layers) {
            Map<String, LayerRange> trimmed = new TreeMap<>();
            ranges.forEach((id, held) -> {
                PlacementEndpoint endpoint = members.get(id);
                LayerRange remaining = withoutExcess(endpoint, held);
                if (remaining != held) {
                    replace(endpoint, held, remaining);
                    trimmed.put(id, remaining);
                }
            });
            LayerRange range = capacity.mostNeededRange(layers, targetCapacityRequests);
            trimmed.forEach((id, remaining) -> replace(members.get(id), remaining, ranges.get(id)));
            return range;
        }

        private void replace(PlacementEndpoint endpoint, LayerRange before, LayerRange after) {
            capacity.remove(before, capacityRequests(endpoint, before));
            capacity.add(after, capacityRequests(endpoint, after));
        }

        private void issueOrder(PlacementEndpoint endpoint, LayerRange range, Handover handover) {
            if (ordersLeft == 0) {
                return;
            }
            ordersLeft--;
            LayerRange held = ranges.put(endpoint.id(), range);
            if (held != null) {
                capacity.remove(held, capacityRequests(endpoint, held));
            }
            capacity.add(range, capacityRequests(endpoint, range));
            long fencingToken = ++lastFencingToken;
            int loaded = range.size() - (held == null ? 0 : overlap(held, range));
            long expiresAtMs =
                    nowMs + (long) (settings.loadTimeFactor() * loadMs(loaded)) + settings.confirmationTimeoutMs();
            pending.put(
                    endpoint.id(),
                    new PendingOrder(key, range, capacityRequests(endpoint, range), fencingToken, expiresAtMs));
            EngineOrder load = new EngineOrder.LoadLayers(model.name(), range, handover);
            actions.add(new Action.OrderEngine(endpoint.id(), fencingToken, load));
            actions.add(new Action.StateChanged(
                    endpoint.id(), "ordered to hold " + range + (held == null ? "" : " instead of " + held)));
        }

        private boolean canOrder(PlacementEndpoint endpoint) {
            return !pending.containsKey(endpoint.id()) && !backoffUntilMs.containsKey(endpoint.id());
        }

        private int targetLayers(PlacementEndpoint endpoint) {
            return pool.maxLayersForRequests(endpoint.spec().acceleratorKind(), targetCapacityRequests, model);
        }

        private double capacityRequests(PlacementEndpoint endpoint, LayerRange range) {
            return pool.requestCapacity(endpoint.spec().acceleratorKind(), range.size(), model);
        }

        private double loadMs(int layers) {
            return (double) pool.loadMs() * layers / model.layerCount();
        }

        private static int overlap(LayerRange one, LayerRange other) {
            return Math.max(0, Math.min(one.end(), other.end()) - Math.max(one.first(), other.first()));
        }
    }

    /** A candidate order that covers at least part of a coverage gap; the highest value is preferred. */
    private record Repair(PlacementEndpoint endpoint, LayerRange range, double value) {}
}

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
import java.util.Map;
import java.util.TreeMap;

/**
 * Lays out the engines of a model as a whole and repairs the layout as engines come and go.
 *
 * <p>The engines of a data centre form a group of their own if they can hold the model, so that chains need not cross
 * data centres; all others form one group. Each group is planned by the router that holds its lease.
 */
public final class LayoutPlanner implements Placement {

    /** Group of the engines whose data centre cannot hold the model by itself. */
    public static final String SHARED_GROUP = "";

    /** Longest hold-off relative to the first one, as a power of two. */
    private static final int MAX_DOUBLINGS = 2;

    private final LayoutSettings settings;
    private final Layout layout;
    private final PlacementLease lease;
    private final Map<String, Pending> pending = new TreeMap<>();
    private final Map<String, Long> heldOffUntilMs = new HashMap<>();
    private final Map<String, Integer> refusalsInRow = new HashMap<>();
    private final Map<String, Long> knownSinceMs = new HashMap<>();
    private final Map<String, Long> absentSinceMs = new HashMap<>();
    private long lastLeaveMs = Long.MIN_VALUE / 2;
    private long lastNumber;

    /** An order on its way, which counts as carried out until {@code untilMs}. */
    private record Pending(String group, LayerRange ordered, double room, long number, long untilMs) {}

    /** Creates a planner. */
    public LayoutPlanner(LayoutSettings settings, Layout layout, PlacementLease lease) {
        this.settings = settings;
        this.layout = layout;
        this.lease = lease;
    }

    @Override
    public void acknowledged(String endpointId, long fencingNumber, boolean accepted) {
        Pending order = pending.get(endpointId);
        if (accepted) {
            refusalsInRow.remove(endpointId);
        } else if (order != null && order.number == fencingNumber) {
            pending.remove(endpointId);
            refusalsInRow.merge(endpointId, 1, Integer::sum);
            // The engine's state is not what was believed; its next report tells.
            heldOffUntilMs.put(endpointId, Long.MAX_VALUE);
        }
    }

    @Override
    public void left(String endpointId, long nowMs) {
        lastLeaveMs = nowMs;
    }

    /** Layers that an engine keeps serve on while it loads others. */
    @Override
    public boolean isReloading(String endpointId) {
        return false;
    }

    @Override
    public List<Action> tick(Collection<PlacementEndpoint> endpoints, FleetConfig config, long nowMs) {
        settle(endpoints, nowMs);
        List<Action> actions = new ArrayList<>();
        for (Map.Entry<String, EnginePoolSpec> entry : new TreeMap<>(config.enginePools()).entrySet()) {
            ModelSpec model = config.models().get(entry.getKey());
            if (model != null) {
                groups(endpoints, model, entry.getValue()).forEach((key, members) -> {
                    if (lease.holds(key, nowMs)) {
                        new Group(key, members, model, entry.getValue(), nowMs, actions).plan();
                    }
                });
            }
        }
        return actions;
    }

    private void settle(Collection<PlacementEndpoint> endpoints, long nowMs) {
        Map<String, PlacementEndpoint> byId = new HashMap<>();
        endpoints.forEach(endpoint -> byId.put(endpoint.id(), endpoint));
        pending.entrySet().removeIf(entry -> {
            PlacementEndpoint endpoint = byId.get(entry.getKey());
            return isAbsentForLong(entry.getKey(), endpoint != null, nowMs)
                    || nowMs >= entry.getValue().untilMs
                    || endpoint != null && entry.getValue().ordered.equals(rangeOf(endpoint));
        });
        absentSinceMs.keySet().retainAll(pending.keySet());
        knownSinceMs.keySet().retainAll(byId.keySet());
        byId.keySet().forEach(id -> knownSinceMs.putIfAbsent(id, nowMs));
        refusalsInRow.keySet().retainAll(byId.keySet());
        heldOffUntilMs.replaceAll((id, untilMs) -> untilMs == Long.MAX_VALUE ? nowMs + holdOffMs(id) : untilMs);
        heldOffUntilMs.entrySet().removeIf(entry -> nowMs >= entry.getValue() || !byId.containsKey(entry.getKey()));
    }

    private boolean isAbsentForLong(String endpointId, boolean isPresent, long nowMs) {
        if (isPresent) {
            absentSinceMs.remove(endpointId);
            return false;
        }
        return nowMs - absentSinceMs.computeIfAbsent(endpointId, id -> nowMs) >= settings.absentMs();
    }

    /** An engine that goes on refusing carries out something that takes long, so that others are tried meanwhile. */
    private long holdOffMs(String endpointId) {
        int refusals = Math.min(MAX_DOUBLINGS, refusalsInRow.getOrDefault(endpointId, 1) - 1);
        return settings.refusedHoldOffMs() << Math.max(0, refusals);
    }

    private static Map<String, List<PlacementEndpoint>> groups(
            Collection<PlacementEndpoint> endpoints, ModelSpec model, EnginePoolSpec pool) {
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
            String key = RoomLayout.canHoldCopy(members, model, pool) ? dataCentre : SHARED_GROUP;
            groups.computeIfAbsent(key, ignored -> new ArrayList<>()).addAll(members);
        });
        return groups;
    }

    private static LayerRange rangeOf(PlacementEndpoint endpoint) {
        for (Holding holding : endpoint.holdings()) {
            if (!holding.pool().startsWith(ModelSpec.SERVICE_PREFIX)) {
                return holding.layers();
            }
        }
        return null;
    }

    /** One round for one group. */
    private final class Group {

        private final String key;
        private final Map<String, PlacementEndpoint> members = new TreeMap<>();
        private final Map<String, LayerRange> ranges = new TreeMap<>();
        private final ModelSpec model;
        private final EnginePoolSpec pool;
        private final long nowMs;
        private final List<Action> actions;
        private final LayerCapacity capacity;
        private final double targetRoom;
        private int ordersLeft;

        Group(
                String key,
                List<PlacementEndpoint> endpoints,
                ModelSpec model,
                EnginePoolSpec pool,
                long nowMs,
                List<Action> actions) {
            this.key = key;
            this.model = model;
            this.pool = pool;
            this.nowMs = nowMs;
            this.actions = actions;
            this.ordersLeft = settings.maxOrdersPerTick();
            this.capacity = new LayerCapacity(model.layerCount());
            this.targetRoom = RoomLayout.roomOf(endpoints, model, pool);
            for (PlacementEndpoint endpoint : endpoints) {
                members.put(endpoint.id(), endpoint);
                Pending order = pending.get(endpoint.id());
                LayerRange range = order == null ? rangeOf(endpoint) : order.ordered;
                if (range != null) {
                    ranges.put(endpoint.id(), range);
                    capacity.add(range, room(endpoint, range));
                }
            }
            pending.forEach((id, order) -> {
                if (order.group.equals(key) && !members.containsKey(id)) {
                    capacity.add(order.ordered, order.room);
                }
            });
        }

        void plan() {
            if (isReturning()) {
                return;
            }
            List<PlacementEndpoint> empty = members.values().stream()
                    .filter(endpoint -> !ranges.containsKey(endpoint.id()) && mayOrder(endpoint))
                    .toList();
            boolean isFirstLayout = empty.size() * 2 > members.size();
            if (isFirstLayout) {
                if (isSettled()) {
                    ordersLeft = members.size();
                    layout.plan(empty, model, pool)
                            .forEach((id, range) -> order(members.get(id), range, Handover.WAIT));
                }
                return;
            }
            repair();
            for (PlacementEndpoint endpoint : empty) {
                int layers = comfortableLayers(endpoint);
                if (layers > 0 && !ranges.containsKey(endpoint.id())) {
                    order(endpoint, capacity.neediest(layers), Handover.WAIT);
                }
            }
            if (capacity.gaps().isEmpty() && pending.isEmpty()) {
                trim();
            }
        }

        /**
         * When several engines come back at once with what they held, as after a partition, the rest is about to
         * follow, and what looks like a gap needs no repair.
         */
        private boolean isReturning() {
            long fresh = members.values().stream()
                    .filter(endpoint -> rangeOf(endpoint) != null
                            && nowMs - knownSinceMs.getOrDefault(endpoint.id(), nowMs) < settings.settleMs())
                    .count();
            return fresh >= settings.returningEngines();
        }

        /** While engines still join, a layout of those known so far would have to be changed at once. */
        private boolean isSettled() {
            long newestMs = members.keySet().stream()
                    .mapToLong(id -> knownSinceMs.getOrDefault(id, nowMs))
                    .max()
                    .orElse(nowMs);
            return nowMs - newestMs >= settings.settleMs();
        }

        private void repair() {
            while (ordersLeft > 0) {
                Fix best = null;
                for (LayerRange gap : capacity.gaps()) {
                    for (PlacementEndpoint endpoint : members.values()) {
                        Fix fix = mayOrder(endpoint) ? fix(endpoint, gap) : null;
                        best = fix != null && (best == null || fix.value > best.value) ? fix : best;
                    }
                }
                if (best == null) {
                    return;
                }
                order(best.endpoint, best.range, handover());
            }
        }

        /**
         * A gap stops all streams of the group, a handover that cuts only those that pass through one engine. Planned
         * work must not cut streams, and the engine that leaves serves on for a while.
         */
        private Handover handover() {
            return nowMs - lastLeaveMs < settings.plannedWorkMs() ? Handover.WAIT : Handover.CUT;
        }

        /** Returns the best way in which an engine can help with a gap, or null. */
        private Fix fix(PlacementEndpoint endpoint, LayerRange gap) {
            LayerRange held = ranges.get(endpoint.id());
            if (held == null) {
                int layers = comfortableLayers(endpoint);
                return layers == 0 ? null : fixWith(endpoint, gap, around(gap, layers), layers);
            }
            Fix extension = extension(endpoint, held, gap);
            if (extension != null) {
                return extension;
            }
            boolean isRedundant = capacity.fewestHolders(held) > 1;
            int layers = comfortableLayers(endpoint);
            if (!isRedundant || layers == 0) {
                return null;
            }
            Fix move = fixWith(endpoint, gap, around(gap, layers), layers);
            return new Fix(endpoint, move.range, move.value - settings.lossPerCutStream() * endpoint.occupied());
        }

        private Fix extension(PlacementEndpoint endpoint, LayerRange held, LayerRange gap) {
            int most = pool.layersWithRoom(endpoint.spec().acceleratorKind(), settings.minRoomRequests(), model);
            int added = Math.min(gap.size(), most - held.size());
            if (added <= 0) {
                return null;
            }
            if (held.end() == gap.first()) {
                return fixWith(endpoint, gap, new LayerRange(held.first(), held.end() + added), added);
            }
            if (held.first() == gap.end()) {
                return fixWith(endpoint, gap, new LayerRange(held.first() - added, held.end()), added);
            }
            return null;
        }

        private LayerRange around(LayerRange gap, int layers) {
            if (layers <= gap.size()) {
                return new LayerRange(gap.first(), gap.first() + layers);
            }
            int first = Math.min(gap.first(), model.layerCount() - layers);
            return new LayerRange(first, first + layers);
        }

        private Fix fixWith(PlacementEndpoint endpoint, LayerRange gap, LayerRange range, int loaded) {
            int covered = Math.min(gap.end(), range.end()) - Math.max(gap.first(), range.first());
            double lostRoom = Math.max(0, 1 - room(endpoint, range) / targetRoom);
            double value = (double) covered / gap.size()
                    - settings.lossPerLoadS() * loadMs(loaded) / 1_000
                    - settings.lossPerRoomShare() * lostRoom;
            return new Fix(endpoint, range, value);
        }

        /** Gives up layers at the edges of engines that hold more than is comfortable, where others hold them too. */
        private void trim() {
            for (PlacementEndpoint endpoint : members.values()) {
                LayerRange held = ranges.get(endpoint.id());
                int excess = held == null ? 0 : held.size() - comfortableLayers(endpoint);
                if (excess <= 0 || !mayOrder(endpoint)) {
                    continue;
                }
                int first = held.first();
                int end = held.end();
                while (excess > 0 && capacity.holders(first) > 1) {
                    first++;
                    excess--;
                }
                while (excess > 0 && capacity.holders(end - 1) > 1) {
                    end--;
                    excess--;
                }
                if (end - first < held.size()) {
                    order(endpoint, new LayerRange(first, end), Handover.WAIT);
                    return;
                }
            }
        }

        private void order(PlacementEndpoint endpoint, LayerRange range, Handover handover) {
            if (ordersLeft == 0) {
                return;
            }
            ordersLeft--;
            LayerRange held = ranges.put(endpoint.id(), range);
            if (held != null) {
                capacity.remove(held, room(endpoint, held));
            }
            capacity.add(range, room(endpoint, range));
            long number = ++lastNumber;
            int loaded = range.size() - (held == null ? 0 : overlap(held, range));
            long untilMs = nowMs + (long) (settings.loadTimeFactor() * loadMs(loaded)) + settings.confirmMs();
            pending.put(endpoint.id(), new Pending(key, range, room(endpoint, range), number, untilMs));
            EngineOrder load = new EngineOrder.LoadLayers(model.name(), range, handover);
            actions.add(new Action.OrderEngine(endpoint.id(), number, load));
            actions.add(new Action.StateChanged(
                    endpoint.id(), "ordered to hold " + range + (held == null ? "" : " instead of " + held)));
        }

        private boolean mayOrder(PlacementEndpoint endpoint) {
            return !pending.containsKey(endpoint.id()) && !heldOffUntilMs.containsKey(endpoint.id());
        }

        private int comfortableLayers(PlacementEndpoint endpoint) {
            return pool.layersWithRoom(endpoint.spec().acceleratorKind(), targetRoom, model);
        }

        private double room(PlacementEndpoint endpoint, LayerRange range) {
            return pool.room(endpoint.spec().acceleratorKind(), range.size(), model);
        }

        private double loadMs(int layers) {
            return (double) pool.loadMs() * layers / model.layerCount();
        }

        private static int overlap(LayerRange one, LayerRange other) {
            return Math.max(0, Math.min(one.end(), other.end()) - Math.max(one.first(), other.first()));
        }
    }

    /** A way to cover part of a gap. */
    private record Fix(PlacementEndpoint endpoint, LayerRange range, double value) {}
}

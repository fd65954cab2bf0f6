package io.radishwinch.core.placement;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/**
 * Orders engines to load layers that lost their holders or are overloaded, and adapters, versions and roles.
 *
 * <p>Every router computes the same repair of lost layers from the holdings, which all routers see alike, and orders
 * only the endpoints whose lease it holds. Loads that another router should order are noted, so that they count against
 * the rate of the weight store and are not planned twice. Orders carry fencing numbers (M. Burrows, "The Chubby lock
 * service for loosely-coupled distributed systems", OSDI 2006, section 2.4, where they are called sequencers).
 */
public final class PlacementPlanner implements Placement {

    /**
     * Longest time to wait for the report that shows the effect of an order, in addition to its loading time, in ms.
     */
    private static final long CONFIRM_MS = 15_000;

    private final PlacementSettings settings;
    private final PlacementLease lease;
    private final FencingSource fencing;
    private final Map<String, Pending> pending = new TreeMap<>();
    private final Map<String, Long> lastNumbers = new HashMap<>();
    private final Map<String, Long> movedAtMs = new HashMap<>();
    private final Map<String, Long> relievedAtMs = new HashMap<>();
    private final Map<String, Long> gapSinceMs = new HashMap<>();
    private final Map<String, Long> overloadSinceMs = new HashMap<>();
    private final Map<String, Set<EngineOrder>> done = new HashMap<>();
    private final Map<String, Double> kindBytes = new HashMap<>();
    private PlacementGoals goals = PlacementGoals.none();
    private long storeFreeAtMs = Long.MIN_VALUE;

    /** An order that is expected to take effect; the number is 0 if another router gives it. */
    private record Pending(EngineOrder order, long number, long untilMs) {}

    /** Creates a planner. */
    public PlacementPlanner(PlacementSettings settings, PlacementLease lease, FencingSource fencing) {
        this.settings = settings;
        this.lease = lease;
        this.fencing = fencing;
    }

    /** Replaces the goals for adapters, versions and roles. */
    public void setGoals(PlacementGoals newGoals) {
        goals = newGoals;
    }

    @Override
    public void acknowledged(String endpointId, long fencingNumber, boolean accepted) {
        Pending order = pending.get(endpointId);
        if (order == null || order.number != fencingNumber) {
            return;
        }
        if (!accepted) {
            pending.remove(endpointId);
            movedAtMs.remove(endpointId);
        } else if (!(order.order instanceof EngineOrder.LoadLayers)) {
            pending.remove(endpointId);
            done.computeIfAbsent(endpointId, key -> new HashSet<>()).add(order.order);
        }
    }

    @Override
    public boolean isReloading(String endpointId) {
        Pending order = pending.get(endpointId);
        return order != null && order.number > 0 && order.order instanceof EngineOrder.LoadLayers;
    }

    @Override
    public List<Action> tick(Collection<PlacementEndpoint> endpoints, FleetConfig config, long nowMs) {
        return tick(endpoints, config.models().values(), nowMs);
    }

    List<Action> tick(Collection<PlacementEndpoint> endpoints, Collection<ModelSpec> models, long nowMs) {
        Round round = new Round(endpoints, models, nowMs);
        round.settle();
        for (ModelSpec model : round.sortedModels()) {
            round.repair(model);
        }
        for (ModelSpec model : round.sortedModels()) {
            round.relieve(model);
        }
        round.pursueGoals();
        return round.actions;
    }

    /** One tick. */
    private final class Round {

        private final Map<String, PlacementEndpoint> endpoints = new TreeMap<>();
        private final Map<String, Coverage> coverages = new TreeMap<>();
        private final List<Action> actions = new ArrayList<>();
        private final long nowMs;

        Round(Collection<PlacementEndpoint> all, Collection<ModelSpec> models, long nowMs) {
            this.nowMs = nowMs;
            models.forEach(model -> coverages.put(model.name(), new Coverage(model)));
            all.forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
        }

        List<ModelSpec> sortedModels() {
            return coverages.values().stream().map(coverage -> coverage.model).toList();
        }

        /** Drops pending orders that took effect or failed, and counts the holders of each layer. */
        void settle() {
            pending.entrySet().removeIf(entry -> isSettled(entry.getKey(), entry.getValue()));
            gapSinceMs.keySet().retainAll(coverages.keySet());
            overloadSinceMs.keySet().retainAll(coverages.keySet());
            relievedAtMs.keySet().retainAll(coverages.keySet());
            movedAtMs.keySet().retainAll(endpoints.keySet());
            lastNumbers.keySet().retainAll(endpoints.keySet());
            done.keySet().retainAll(endpoints.keySet());
            for (PlacementEndpoint endpoint : endpoints.values()) {
                kindBytes.merge(endpoint.spec().acceleratorKind(), heldBytes(endpoint), Math::max);
                Pending order = pending.get(endpoint.id());
                if (order != null && order.order instanceof EngineOrder.LoadLayers load) {
                    count(endpoint, new Holding(load.model(), load.layers()));
                } else {
                    endpoint.holdings().forEach(holding -> count(endpoint, holding));
                }
            }
        }

        private boolean isSettled(String endpointId, Pending order) {
            PlacementEndpoint endpoint = endpoints.get(endpointId);
            if (endpoint == null || nowMs >= order.untilMs) {
                return true;
            }
            return order.order instanceof EngineOrder.LoadLayers load
                    && endpoint.holdings().contains(new Holding(load.model(), load.layers()));
        }

        private void count(PlacementEndpoint endpoint, Holding holding) {
            Coverage coverage = coverages.get(holding.pool());
            if (coverage != null) {
                coverage.add(endpoint, holding.layers());
            }
        }

        void repair(ModelSpec model) {
            Coverage coverage = coverages.get(model.name());
            List<LayerRange> gaps = coverage.gaps();
            if (gaps.isEmpty()) {
                gapSinceMs.remove(model.name());
                return;
            }
            long gapMs = nowMs - gapSinceMs.computeIfAbsent(model.name(), key -> nowMs);
            for (LayerRange gap : gaps) {
                long delayMs = coverage.isLost(gap) ? settings.gapDelayMs() : settings.ejectedGapDelayMs();
                int first = gap.first();
                while (gapMs >= delayMs && first < gap.end() && nowMs >= storeFreeAtMs) {
                    LayerRange rest = new LayerRange(first, gap.end());
                    PlacementEndpoint donor = donor(model, rest, false);
                    if (donor == null) {
                        break;
                    }
                    int end = Math.min(gap.end(), first + layersThatFit(donor, model));
                    if (!order(donor, new EngineOrder.LoadLayers(model.name(), new LayerRange(first, end)))) {
                        break;
                    }
                    first = end;
                }
            }
        }

        /** Moves an idle endpoint to the overloaded layers of a model; only the holder of the model's lease decides. */
        void relieve(ModelSpec model) {
            Coverage coverage = coverages.get(model.name());
            LayerRange overloaded = coverage.overloaded(settings.overloadShare());
            if (overloaded == null) {
                overloadSinceMs.remove(model.name());
                return;
            }
            long sinceMs = overloadSinceMs.computeIfAbsent(model.name(), key -> nowMs);
            Long lastMs = relievedAtMs.get(model.name());
            boolean cooling = lastMs != null && nowMs - lastMs < settings.cooldownMs();
            if (nowMs - sinceMs < settings.overloadDelayMs()
                    || cooling
                    || nowMs < storeFreeAtMs
                    || !gapSinceMs.isEmpty()
                    || !lease.holds(model.name(), nowMs)) {
                return;
            }
            PlacementEndpoint donor = donor(model, overloaded, true);
            if (donor != null) {
                int end = Math.min(overloaded.end(), overloaded.first() + layersThatFit(donor, model));
                LayerRange layers = new LayerRange(overloaded.first(), end);
                if (order(donor, new EngineOrder.LoadLayers(model.name(), layers))) {
                    relievedAtMs.put(model.name(), nowMs);
                }
                overloadSinceMs.remove(model.name());
            }
        }

        /** Returns the endpoint to load a range on; without load data, all routers choose the same one. */
        private PlacementEndpoint donor(ModelSpec model, LayerRange range, boolean idleOnly) {
            return endpoints.values().stream()
                    .filter(endpoint -> mayMove(endpoint, idleOnly) && layersThatFit(endpoint, model) > 0)
                    .filter(endpoint -> !idleOnly || isIdle(endpoint, model) && lease.holds(endpoint.id(), nowMs))
                    .min(Comparator.comparing((PlacementEndpoint endpoint) ->
                                    !endpoint.holdings().isEmpty())
                            .thenComparing(endpoint -> !endpoint.spec().honoursFencing())
                            .thenComparing(endpoint -> -Math.min(range.size(), layersThatFit(endpoint, model)))
                            .thenComparing(endpoint -> -redundancy(endpoint))
                            .thenComparing(PlacementEndpoint::id))
                    .orElse(null);
        }

        private boolean mayMove(PlacementEndpoint endpoint, boolean afterCooldown) {
            Long lastMs = movedAtMs.get(endpoint.id());
            boolean cooling = afterCooldown && lastMs != null && nowMs - lastMs < settings.cooldownMs();
            if (endpoint.ejected() || cooling || pending.containsKey(endpoint.id())) {
                return false;
            }
            for (Holding holding : endpoint.holdings()) {
                Coverage coverage = coverages.get(holding.pool());
                if (coverage == null ? isService(holding) : coverage.mustKeep(endpoint, holding)) {
                    return false;
                }
            }
            return !endpoint.spec().acceleratorKind().equals("none");
        }

        private static boolean isService(Holding holding) {
            return holding.pool().startsWith(ModelSpec.SERVICE_PREFIX);
        }

        private boolean isIdle(PlacementEndpoint endpoint, ModelSpec target) {
            for (Holding holding : endpoint.holdings()) {
                Coverage coverage = coverages.get(holding.pool());
                if (coverage != null
                        && (holding.pool().equals(target.name()) && redundancy(endpoint) < 3
                                || coverage.load(holding.layers()) > settings.idleShare())) {
                    return false;
                }
            }
            return true;
        }

        private int redundancy(PlacementEndpoint endpoint) {
            int least = Integer.MAX_VALUE;
            for (Holding holding : endpoint.holdings()) {
                Coverage coverage = coverages.get(holding.pool());
                least = coverage == null ? least : Math.min(least, coverage.redundancy(holding));
            }
            return least;
        }

        /** Returns the layers that fit, judged by the most that an endpoint of the same kind was seen to hold. */
        private int layersThatFit(PlacementEndpoint endpoint, ModelSpec model) {
            double bytes = kindBytes.getOrDefault(endpoint.spec().acceleratorKind(), 0.0);
            if (model.layerBytes() == 0 || bytes == 0) {
                return model.layerCount();
            }
            return (int) Math.min(model.layerCount(), bytes / model.layerBytes());
        }

        private double heldBytes(PlacementEndpoint endpoint) {
            double bytes = 0;
            for (Holding holding : endpoint.holdings()) {
                Coverage coverage = coverages.get(holding.pool());
                bytes += coverage == null
                        ? 0
                        : (double) coverage.model.layerBytes()
                                * holding.layers().size();
            }
            return bytes;
        }

        void pursueGoals() {
            if (!gapSinceMs.isEmpty()) {
                return;
            }
            for (PlacementEndpoint endpoint : endpoints.values()) {
                if (endpoint.ejected() || pending.containsKey(endpoint.id()) || nowMs < storeFreeAtMs) {
                    continue;
                }
                for (EngineOrder order : wanted(endpoint)) {
                    if (!done.getOrDefault(endpoint.id(), Set.of()).contains(order)) {
                        order(endpoint, order);
                        break;
                    }
                }
            }
        }

        /**
         * Returns the orders that the goals ask for; a version is loaded only while another holder serves the layers.
         */
        private List<EngineOrder> wanted(PlacementEndpoint endpoint) {
            List<EngineOrder> wanted = new ArrayList<>();
            for (Holding holding : endpoint.holdings()) {
                String model = holding.pool();
                String version = goals.versions().get(model);
                boolean isOtherLoading = pending.values().stream()
                        .anyMatch(other -> other.order instanceof EngineOrder.LoadVersion load
                                && load.model().equals(model));
                if (version != null && redundancy(endpoint) > 1 && !isOtherLoading) {
                    wanted.add(new EngineOrder.LoadVersion(model, version));
                }
                goals.adapters()
                        .getOrDefault(model, List.of())
                        .forEach(adapter -> wanted.add(new EngineOrder.LoadAdapter(model, adapter)));
            }
            EngineOrder.Role role = goals.roles().get(endpoint.id());
            if (role != null) {
                wanted.add(new EngineOrder.ChangeRole(role));
            }
            return wanted;
        }

        /**
         * Orders the endpoint, or notes the order if another router holds the lease.
         *
         * @return false if the order has to wait
         */
        private boolean order(PlacementEndpoint endpoint, EngineOrder order) {
            EndpointSpec spec = endpoint.spec();
            long number = 0;
            if (lease.holds(spec.id(), nowMs)) {
                OptionalLong floor = fencing.floor(spec.id());
                // An engine that ignores numbers would obey an order of the earlier holder that is still on its way.
                long safeAtMs = lease.heldSinceMs(spec.id()) + lease.leaseMs() + settings.maxOrderMs();
                if (floor.isEmpty() || !spec.honoursFencing() && nowMs < safeAtMs) {
                    return false;
                }
                number = Math.max(floor.getAsLong(), lastNumbers.getOrDefault(spec.id(), 0L)) + 1;
                lastNumbers.put(spec.id(), number);
                actions.add(new Action.OrderEngine(spec.id(), number, order));
            }
            long loadMs = (long) (1_000 * bytes(endpoint, order) / settings.storeBytesPerS());
            storeFreeAtMs = Math.max(nowMs, storeFreeAtMs) + loadMs;
            pending.put(spec.id(), new Pending(order, number, storeFreeAtMs + loadMs + CONFIRM_MS));
            if (order instanceof EngineOrder.LoadLayers load) {
                movedAtMs.put(spec.id(), nowMs);
                done.remove(spec.id());
                actions.add(new Action.StateChanged(spec.id(), "loading " + load.model() + " " + load.layers()));
            }
            return true;
        }

        private double bytes(PlacementEndpoint endpoint, EngineOrder order) {
            if (order instanceof EngineOrder.LoadLayers load) {
                return (double) coverages.get(load.model()).model.layerBytes()
                        * load.layers().size();
            }
            return order instanceof EngineOrder.LoadVersion ? heldBytes(endpoint) : 0;
        }
    }
}

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
 * Orders engines to load uncovered or overloaded layers, and applies the goals for adapters, versions and roles.
 *
 * <p>All routers see the same holdings and therefore compute the same repair of uncovered layers, but each one orders
 * only the endpoints whose lease it holds. Loads that another router must order are recorded as pending, so that they
 * count against the rate of the weight store and are not planned twice. Orders carry fencing tokens (M. Burrows, "The
 * Chubby lock service for loosely-coupled distributed systems", OSDI 2006, section 2.4, which calls them sequencers).
 */
public final class PlacementPlanner implements Placement {

    /** Longest time from the end of a load to the load report that shows it, in ms. */
    private static final long CONFIRMATION_TIMEOUT_MS = 15_000;

    private final PlacementSettings settings;
    private final PlacementLease lease;
    private final FencingTokenSource fencing;
    private final Map<String, PendingOrder> pending = new TreeMap<>();
    private final Map<String, Long> lastFencingTokens = new HashMap<>();
    private final Map<String, Long> movedAtMs = new HashMap<>();
    private final Map<String, Long> relievedAtMs = new HashMap<>();
    private final Map<String, Long> uncoveredSinceMs = new HashMap<>();
    private final Map<String, Long> overloadSinceMs = new HashMap<>();
    private final Map<String, Set<EngineOrder>> completedOrders = new HashMap<>();
    private final Map<String, Double> maxBytesByKind = new HashMap<>();
    private PlacementGoals goals = PlacementGoals.none();
    private long storeFreeAtMs = Long.MIN_VALUE;

    /** An order that has not taken effect yet; the fencing token is 0 if another router gives the order. */
    private record PendingOrder(EngineOrder order, long fencingToken, long expiresAtMs) {}

    /** Creates a planner. */
    public PlacementPlanner(PlacementSettings settings, PlacementLease lease, FencingTokenSource fencing) {
        this.settings = settings;
        this.lease = lease;
        this.fencing = fencing;
    }

    /** Replaces the goals for adapters, versions and roles. */
    public void setGoals(PlacementGoals newGoals) {
        goals = newGoals;
    }

    @Override
    public void acknowledged(String endpointId, long fencingToken, boolean isAccepted) {
        PendingOrder order = pending.get(endpointId);
        if (order == null || order.fencingToken != fencingToken) {
            return;
        }
        if (!isAccepted) {
            pending.remove(endpointId);
            movedAtMs.remove(endpointId);
        } else if (!(order.order instanceof EngineOrder.LoadLayers)) {
            pending.remove(endpointId);
            completedOrders.computeIfAbsent(endpointId, key -> new HashSet<>()).add(order.order);
        }
    }

    @Override
    public boolean isReloading(String endpointId) {
        PendingOrder order = pending.get(endpointId);
        return order != null && order.fencingToken > 0 && order.order instanceof EngineOrder.LoadLayers;
    }

    @Override
    public List<Action> tick(Collection<PlacementEndpoint> endpoints, FleetConfig config, long nowMs) {
        return tick(endpoints, config.models().values(), nowMs);
    }

    List<Action> tick(Collection<PlacementEndpoint> endpoints, Collection<ModelSpec> models, long nowMs) {
        PlanningRound round = new PlanningRound(endpoints, models, nowMs);
        round.refresh();
        for (ModelSpec model : round.sortedModels()) {
            round.loadUncoveredLayers(model);
        }
        for (ModelSpec model : round.sortedModels()) {
            round.relieveOverload(model);
        }
        round.orderGoals();
        return round.actions;
    }

    /** State and decisions of one tick. */
    private final class PlanningRound {

        private final Map<String, PlacementEndpoint> endpoints = new TreeMap<>();
        private final Map<String, Coverage> coverages = new TreeMap<>();
        private final List<Action> actions = new ArrayList<>();
        private final long nowMs;

        PlanningRound(Collection<PlacementEndpoint> allEndpoints, Collection<ModelSpec> models, long nowMs) {
            this.nowMs = nowMs;
            models.forEach(model -> coverages.put(model.name(), new Coverage(model)));
            allEndpoints.forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
        }

        List<ModelSpec> sortedModels() {
            return coverages.values().stream().map(coverage -> coverage.model).toList();
        }

        /** Removes pending orders that took effect or expired, and counts the holders of each layer. */
        void refresh() {
            pending.entrySet().removeIf(entry -> isFinished(entry.getKey(), entry.getValue()));
            uncoveredSinceMs.keySet().retainAll(coverages.keySet());
            overloadSinceMs.keySet().retainAll(coverages.keySet());
            relievedAtMs.keySet().retainAll(coverages.keySet());
            movedAtMs.keySet().retainAll(endpoints.keySet());
            lastFencingTokens.keySet().retainAll(endpoints.keySet());
            completedOrders.keySet().retainAll(endpoints.keySet());
            for (PlacementEndpoint endpoint : endpoints.values()) {
                maxBytesByKind.merge(endpoint.spec().acceleratorKind(), heldBytes(endpoint), Math::max);
                PendingOrder order = pending.get(endpoint.id());
                if (order != null && order.order instanceof EngineOrder.LoadLayers load) {
                    countHolder(endpoint, new Holding(load.model(), load.layers()));
                } else {
                    endpoint.holdings().forEach(holding -> countHolder(endpoint, holding));
                }
            }
        }

        private boolean isFinished(String endpointId, PendingOrder order) {
            PlacementEndpoint endpoint = endpoints.get(endpointId);
            if (endpoint == null || nowMs >= order.expiresAtMs) {
                return true;
            }
            return order.order instanceof EngineOrder.LoadLayers load
                    && endpoint.holdings().contains(new Holding(load.model(), load.layers()));
        }

        private void countHolder(PlacementEndpoint endpoint, Holding holding) {
            Coverage coverage = coverages.get(holding.pool());
            if (coverage != null) {
                coverage.add(endpoint, holding.layers());
            }
        }

        void loadUncoveredLayers(ModelSpec model) {
            Coverage coverage = coverages.get(model.name());
            List<LayerRange> gaps = coverage.uncoveredRanges();
            if (gaps.isEmpty()) {
                uncoveredSinceMs.remove(model.name());
                return;
            }
            long gapMs = nowMs - uncoveredSinceMs.computeIfAbsent(model.name(), key -> nowMs);
            for (LayerRange gap : gaps) {
                long delayMs = coverage.hasLayerWithoutHolder(gap)
                        ? settings.uncoveredDelayMs()
                        : settings.ejectedHolderDelayMs();
                int first = gap.first();
                while (gapMs >= delayMs && first < gap.end() && nowMs >= storeFreeAtMs) {
                    LayerRange rest = new LayerRange(first, gap.end());
                    PlacementEndpoint target = selectEndpoint(model, rest, false);
                    if (target == null) {
                        break;
                    }
                    int end = Math.min(gap.end(), first + layersThatFit(target, model));
                    if (!issueOrder(target, new EngineOrder.LoadLayers(model.name(), new LayerRange(first, end)))) {
                        break;
                    }
                    first = end;
                }
            }
        }

        /** Moves an idle endpoint to the overloaded layers of a model, if this router holds the lease of the model. */
        void relieveOverload(ModelSpec model) {
            Coverage coverage = coverages.get(model.name());
            LayerRange overloaded = coverage.longestOverloadedRange(settings.overloadShare());
            if (overloaded == null) {
                overloadSinceMs.remove(model.name());
                return;
            }
            long sinceMs = overloadSinceMs.computeIfAbsent(model.name(), key -> nowMs);
            Long lastMs = relievedAtMs.get(model.name());
            boolean isCoolingDown = lastMs != null && nowMs - lastMs < settings.cooldownMs();
            if (nowMs - sinceMs < settings.overloadDelayMs()
                    || isCoolingDown
                    || nowMs < storeFreeAtMs
                    || !uncoveredSinceMs.isEmpty()
                    || !lease.holds(model.name(), nowMs)) {
                return;
            }
            PlacementEndpoint target = selectEndpoint(model, overloaded, true);
            if (target != null) {
                int end = Math.min(overloaded.end(), overloaded.first() + layersThatFit(target, model));
                LayerRange layers = new LayerRange(overloaded.first(), end);
                if (issueOrder(target, new EngineOrder.LoadLayers(model.name(), layers))) {
                    relievedAtMs.put(model.name(), nowMs);
                }
                overloadSinceMs.remove(model.name());
            }
        }

        /**
         * Returns the endpoint to load a range on, or null if there is none. With {@code idleOnly} false, the choice
         * does not depend on load reports, and all routers choose the same endpoint.
         */
        private PlacementEndpoint selectEndpoint(ModelSpec model, LayerRange range, boolean idleOnly) {
            return endpoints.values().stream()
                    .filter(endpoint -> canMove(endpoint, idleOnly) && layersThatFit(endpoint, model) > 0)
                    .filter(endpoint -> !idleOnly || isIdle(endpoint, model) && lease.holds(endpoint.id(), nowMs))
                    .min(Comparator.comparing((PlacementEndpoint endpoint) ->
                                    !endpoint.holdings().isEmpty())
                            .thenComparing(endpoint -> !endpoint.spec().honoursFencing())
                            .thenComparing(endpoint -> -Math.min(range.size(), layersThatFit(endpoint, model)))
                            .thenComparing(endpoint -> -redundancy(endpoint))
                            .thenComparing(PlacementEndpoint::id))
                    .orElse(null);
        }

        private boolean canMove(PlacementEndpoint endpoint, boolean afterCooldown) {
            Long lastMs = movedAtMs.get(endpoint.id());
            boolean isCoolingDown = afterCooldown && lastMs != null && nowMs - lastMs < settings.cooldownMs();
            if (endpoint.isEjected() || isCoolingDown || pending.containsKey(endpoint.id())) {
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

        private boolean isIdle(PlacementEndpoint endpoint, ModelSpec model) {
            for (Holding holding : endpoint.holdings()) {
                Coverage coverage = coverages.get(holding.pool());
                if (coverage != null
                        && (holding.pool().equals(model.name()) && redundancy(endpoint) < 3
                                || coverage.occupiedShare(holding.layers()) > settings.idleShare())) {
                    return false;
                }
            }
            return true;
        }

        private int redundancy(PlacementEndpoint endpoint) {
            int fewest = Integer.MAX_VALUE;
            for (Holding holding : endpoint.holdings()) {
                Coverage coverage = coverages.get(holding.pool());
                fewest = coverage == null ? fewest : Math.min(fewest, coverage.redundancy(holding));
            }
            return fewest;
        }

        /** Returns how many layers fit, estimated from the largest holding of an endpoint of the same kind so far. */
        private int layersThatFit(PlacementEndpoint endpoint, ModelSpec model) {
            double bytes = maxBytesByKind.getOrDefault(endpoint.spec().acceleratorKind(), 0.0);
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

        void orderGoals() {
            if (!uncoveredSinceMs.isEmpty()) {
                return;
            }
            for (PlacementEndpoint endpoint : endpoints.values()) {
                if (endpoint.isEjected() || pending.containsKey(endpoint.id()) || nowMs < storeFreeAtMs) {
                    continue;
                }
                for (EngineOrder order : ordersForGoals(endpoint)) {
                    if (!completedOrders.getOrDefault(endpoint.id(), Set.of()).contains(order)) {
                        issueOrder(endpoint, order);
                        break;
                    }
                }
            }
        }

        /** Returns the orders that meet the goals; a version is loaded only while another holder serves the layers. */
        private List<EngineOrder> ordersForGoals(PlacementEndpoint endpoint) {
            List<EngineOrder> orders = new ArrayList<>();
            for (Holding holding : endpoint.holdings()) {
                String model = holding.pool();
                String version = goals.versions().get(model);
                boolean isOtherLoading = pending.values().stream()
                        .anyMatch(other -> other.order instanceof EngineOrder.LoadVersion load
                                && load.model().equals(model));
                if (version != null && redundancy(endpoint) > 1 && !isOtherLoading) {
                    orders.add(new EngineOrder.LoadVersion(model, version));
                }
                goals.adapters()
                        .getOrDefault(model, List.of())
                        .forEach(adapter -> orders.add(new EngineOrder.LoadAdapter(model, adapter)));
            }
            EngineOrder.Role role = goals.roles().get(endpoint.id());
            if (role != null) {
                orders.add(new EngineOrder.ChangeRole(role));
            }
            return orders;
        }

        /**
         * Gives an order, or records it as pending if another router holds the lease.
         *
         * @return false if the order must be delayed
         */
        private boolean issueOrder(PlacementEndpoint endpoint, EngineOrder order) {
            EndpointSpec spec = endpoint.spec();
            long fencingToken = 0;
            if (lease.holds(spec.id(), nowMs)) {
                OptionalLong highestToken = fencing.highestUsedToken(spec.id());
                // An engine that ignores fencing tokens still obeys an in-flight order of the previous lease holder.
                long safeAtMs = lease.heldSinceMs(spec.id()) + lease.leaseMs() + settings.maxOrderDelayMs();
                if (highestToken.isEmpty() || !spec.honoursFencing() && nowMs < safeAtMs) {
                    return false;
                }
                fencingToken = Math.max(highestToken.getAsLong(), lastFencingTokens.getOrDefault(spec.id(), 0L)) + 1;
                lastFencingTokens.put(spec.id(), fencingToken);
                actions.add(new Action.OrderEngine(spec.id(), fencingToken, order));
            }
            long loadMs = (long) (1_000 * loadBytes(endpoint, order) / settings.storeBytesPerS());
            storeFreeAtMs = Math.max(nowMs, storeFreeAtMs) + loadMs;
            pending.put(
                    spec.id(), new PendingOrder(order, fencingToken, storeFreeAtMs + loadMs + CONFIRMATION_TIMEOUT_MS));
            if (order instanceof EngineOrder.LoadLayers load) {
                movedAtMs.put(spec.id(), nowMs);
                completedOrders.remove(spec.id());
                actions.add(new Action.StateChanged(spec.id(), "loading " + load.model() + " " + load.layers()));
            }
            return true;
        }

        private double loadBytes(PlacementEndpoint endpoint, EngineOrder order) {
            if (order instanceof EngineOrder.LoadLayers load) {
                return (double) coverages.get(load.model()).model.layerBytes()
                        * load.layers().size();
            }
            return order instanceof EngineOrder.LoadVersion ? heldBytes(endpoint) : 0;
        }
    }
}

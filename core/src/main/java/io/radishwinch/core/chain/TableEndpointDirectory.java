package io.radishwinch.core.chain;

import io.radishwinch.core.DecisionCore.EndpointView;
import io.radishwinch.core.DecisionCore.PoolView;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.health.EndpointHealth;
import io.radishwinch.core.health.HealthSettings;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.placement.Placement;
import io.radishwinch.core.placement.PlacementEndpoint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Endpoint directory over an {@link EndpointTable}.
 *
 * <p>A load report or a repeated join never removes a leaving mark, because both can be older than the mark.
 */
public final class TableEndpointDirectory implements EndpointDirectory {

    /** Interval of the health scan over all rows, in ms. */
    private static final long SCAN_INTERVAL_MS = 1_000;

    /** Interval of placement, in ms; adds to the time until uncovered layers are loaded again. */
    private static final long PLACEMENT_INTERVAL_MS = 250;

    private final EndpointTable table;
    private final ThroughputBoundCache throughputBounds;
    private final EndpointHealth health;
    private final DeliveredTokenRates deliveredTokenRates = new DeliveredTokenRates();
    private final Placement placement;
    /** Endpoints that do not respond and may hold their layers still. */
    private final Map<String, SuspectedEndpoint> suspectedEndpoints = new HashMap<>();

    private long nextPlacementMs = Long.MIN_VALUE;
    private long nextScanMs = Long.MIN_VALUE;

    private record SuspectedEndpoint(List<Holding> holdings, long untilMs) {}

    /**
     * Creates a directory over a table.
     *
     * @param placement planner of orders to engines, or null to send none
     */
    public TableEndpointDirectory(EndpointTable table, HealthSettings settings, Placement placement) {
        this.table = table;
        this.placement = placement;
        throughputBounds = new ThroughputBoundCache(table);
        health = new EndpointHealth(settings, new TableHealthView(table));
    }

    /** Creates a directory over an empty table, with the default health settings and without placement. */
    public TableEndpointDirectory() {
        this(new EndpointTable(), HealthSettings.defaults(), null);
    }

    /** Returns the table, for planners. */
    public EndpointTable table() {
        return table;
    }

    @Override
    public List<Action> handle(Event event, long nowMs) {
        List<Action> actions = new ArrayList<>();
        if (event instanceof Event.Tick) {
            tick(nowMs, actions);
        } else if (event instanceof Event.ConfigChanged e) {
            table.setConfig(e.config());
        } else if (event instanceof Event.EndpointJoined e) {
            suspectedEndpoints.remove(e.endpoint().id());
            if (table.join(e.endpoint())) {
                health.add(e.endpoint().id(), nowMs);
                applyWeight(e.endpoint().id(), nowMs);
                actions.add(new Action.StateChanged(e.endpoint().id(), "joined"));
            }
        } else if (event instanceof Event.EndpointLeaving e) {
            suspectedEndpoints.remove(e.endpointId());
            EndpointRow row = table.row(e.endpointId());
            // A crashed endpoint is also removed from the list, some heartbeats later; this is not a planned leave.
            if (placement != null && row != null && !row.isRemoved()) {
                placement.endpointLeft(e.endpointId(), nowMs);
            }
            if (table.leave(e.endpointId())) {
                actions.add(new Action.StateChanged(e.endpointId(), "leaving, no new work"));
            }
        } else if (event instanceof Event.EndpointRemoved e) {
            trackSuspicion(e, nowMs);
            if (table.remove(e.endpointId(), nowMs)) {
                health.remove(e.endpointId());
                actions.add(new Action.StateChanged(e.endpointId(), e.hasCrashed() ? "gone, crashed" : "gone"));
            }
        } else if (event instanceof Event.LoadReported e) {
            table.applyLoadReport(e.report(), nowMs);
        } else if (event instanceof Event.RouterCountChanged e) {
            table.crossDataCentreBudget().setRouterCount(e.routerCount());
        } else if (event instanceof Event.PeerLoad e) {
            table.setPeerLoad(e.endpointId(), e.running(), e.kvBytes(), nowMs);
        } else if (event instanceof Event.RequestShareChanged e) {
            table.setRequestShare(e.endpointId(), e.requestsPerS(), nowMs);
        } else if (event instanceof Event.EndpointPaused e) {
            table.pause(e.endpointId(), e.untilMs());
            actions.add(
                    new Action.StateChanged(e.endpointId(), "asked for a pause of " + (e.untilMs() - nowMs) + " ms"));
        } else if (event instanceof Event.StageMeasured e) {
            table.recordLayerTime(e.endpointId(), e.layerTimeUs(), nowMs);
        } else if (event instanceof Event.CacheReported e) {
            reportCache(e);
        } else if (event instanceof Event.LinkMeasured e) {
            table.recordLink(e.fromEndpointId(), e.toEndpointId(), e.delayUs(), e.tokensPerS(), nowMs);
        } else if (event instanceof Event.OrderAcknowledged e && placement != null) {
            placement.acknowledged(e.endpointId(), e.fencingToken(), e.isAccepted());
        } else if (event instanceof Event.Progress e) {
            deliveredTokenRates.recordDelivered(e.requestId(), e.deliveredTokens(), nowMs);
        } else if (event instanceof Event.AttemptFinished e) {
            deliveredTokenRates.recordDelivered(e.requestId(), e.deliveredTokens(), nowMs);
        }
        return actions;
    }

    private void trackSuspicion(Event.EndpointRemoved removed, long nowMs) {
        EndpointRow row = table.row(removed.endpointId());
        if (!removed.isSuspected()) {
            suspectedEndpoints.remove(removed.endpointId());
        } else if (row != null && !row.isRemoved()) {
            suspectedEndpoints.put(
                    row.id(), new SuspectedEndpoint(row.holdings(), nowMs + Event.EndpointRemoved.MAX_SILENCE_MS));
        }
    }

    private void reportCache(Event.CacheReported event) {
        EndpointRow row = table.row(event.endpointId());
        if (row != null && !row.isRemoved()) {
            table.prefixes()
                    .applyCacheReport(row, event.addedPrefixHashes(), event.removedPrefixHashes(), event.hasGap());
        }
    }

    @Override
    public void acquire(Chain chain, RequestSpec request, long nowMs) {
        deliveredTokenRates.trackRequest(request.requestId(), request.pool());
        table.changeLocalLoad(chain, request, 1, nowMs);
    }

    @Override
    public void release(Chain chain, RequestSpec request, long nowMs) {
        table.changeLocalLoad(chain, request, -1, nowMs);
    }

    @Override
    public List<Action> recordSuccess(Chain chain, long firstTokenMs, double tokenIntervalMs, long nowMs) {
        table.recordTokenTimes(chain, firstTokenMs, tokenIntervalMs, nowMs);
        chain.stages().forEach(stage -> health.recordSuccess(stage.endpointId()));
        return List.of();
    }

    @Override
    public List<Action> recordFailure(String endpointId, Reason reason, long nowMs) {
        if (reason == Reason.ENDPOINT_REFUSED || reason == Reason.ENDPOINT_CHANGED) {
            table.recordRefusal(endpointId, nowMs);
        }
        List<Action> actions = new ArrayList<>();
        health.recordFailure(endpointId, reason, nowMs).ifPresent(change -> actions.add(toAction(change)));
        applyWeight(endpointId, nowMs);
        return actions;
    }

    @Override
    public boolean isUsable(String endpointId, long nowMs) {
        EndpointRow row = table.row(endpointId);
        return row != null && row.isUsable();
    }

    @Override
    public boolean isRemoved(String endpointId) {
        EndpointRow row = table.row(endpointId);
        return row == null || row.isRemoved();
    }

    @Override
    public boolean isCovered(String pool, long nowMs) {
        ModelSpec spec = table.config().pool(pool);
        return spec != null && table.isCovered(spec);
    }

    @Override
    public boolean isCoveredAfterSilences(String pool, long nowMs) {
        ModelSpec spec = table.config().pool(pool);
        if (spec == null || suspectedEndpoints.isEmpty()) {
            return false;
        }
        List<LayerRange> silent = suspectedEndpoints.values().stream()
                .filter(endpoint -> nowMs < endpoint.untilMs)
                .flatMap(endpoint -> endpoint.holdings.stream())
                .filter(holding -> holding.pool().equals(pool))
                .map(Holding::layers)
                .toList();
        return !silent.isEmpty() && !table.isCovered(spec) && table.isCoveredWith(spec, silent);
    }

    @Override
    public long pauseEndMs(String pool, long nowMs) {
        ModelSpec spec = table.config().pool(pool);
        return spec == null ? nowMs : table.pauseEndMs(spec, nowMs);
    }

    @Override
    public double throughputBoundTokensPerS(String pool, long nowMs) {
        ModelSpec spec = table.config().pool(pool);
        return spec == null ? 0 : throughputBounds.tokensPerS(spec, nowMs);
    }

    @Override
    public List<EndpointView> endpointViews(long nowMs) {
        List<EndpointView> views = new ArrayList<>();
        for (EndpointRow row : table.rows()) {
            if (!row.isRemoved()) {
                views.add(new EndpointView(
                        row.id(),
                        row.spec().dataCentre(),
                        row.spec().acceleratorKind(),
                        state(row),
                        row.localAttempts(),
                        row.spec().slots(),
                        row.localKvBytes()));
            }
        }
        return views;
    }

    @Override
    public List<PoolView> poolViews(long nowMs) {
        TreeSet<String> names = new TreeSet<>(table.poolNames());
        names.addAll(table.config().models().keySet());
        List<PoolView> views = new ArrayList<>();
        for (String name : names) {
            views.add(new PoolView(
                    name,
                    isCovered(name, nowMs),
                    throughputBoundTokensPerS(name, nowMs),
                    deliveredTokenRates.tokensPerS(name, nowMs)));
        }
        return views;
    }

    private void tick(long nowMs, List<Action> actions) {
        throughputBounds.refineEstimates();
        table.decayRefusals(nowMs);
        suspectedEndpoints.values().removeIf(endpoint -> nowMs >= endpoint.untilMs);
        if (placement != null && nowMs >= nextPlacementMs) {
            nextPlacementMs = nowMs + PLACEMENT_INTERVAL_MS;
            runPlacement(nowMs, actions);
        }
        if (nowMs < nextScanMs) {
            return;
        }
        nextScanMs = nowMs + SCAN_INTERVAL_MS;
        health.tick(nowMs).forEach(change -> actions.add(toAction(change)));
        for (EndpointRow row : table.rows()) {
            applyWeight(row.id(), nowMs);
        }
        table.config().models().keySet().forEach(pool -> throughputBoundTokensPerS(pool, nowMs));
        table.expireStaleState(nowMs);
    }

    private void runPlacement(long nowMs, List<Action> actions) {
        List<PlacementEndpoint> endpoints = new ArrayList<>();
        for (EndpointRow row : table.rows()) {
            if (!row.isRemoved() && !row.isLeaving()) {
                boolean isEjected = health.isEjected(row.id());
                endpoints.add(new PlacementEndpoint(row.spec(), row.holdings(), isEjected, row.occupiedSlots()));
            }
        }
        for (Action action : placement.tick(endpoints, table.config(), nowMs)) {
            actions.add(action);
            if (action instanceof Action.OrderEngine order
                    && order.order() instanceof EngineOrder.LoadLayers load
                    && !placement.isReloading(order.endpointId())) {
                table.restrictHoldings(order.endpointId(), load.model(), load.layers());
            }
        }
        endpoints.forEach(
                endpoint -> table.setReloading(table.row(endpoint.id()), placement.isReloading(endpoint.id())));
    }

    private void applyWeight(String endpointId, long nowMs) {
        EndpointRow row = table.row(endpointId);
        if (row != null && !row.isRemoved()) {
            table.setWeight(row, health.weight(endpointId, nowMs));
        }
    }

    private static Action toAction(EndpointHealth.StateChange change) {
        return new Action.StateChanged(change.endpointId(), change.change());
    }

    private static String state(EndpointRow row) {
        if (row.isLeaving()) {
            return "leaving";
        }
        if (row.weight == 0) {
            return "ejected";
        }
        return row.weight < 1 ? "slow-start" : "live";
    }
}

package io.radishwinch.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.EngineOrder.LoadAdapter;
import io.radishwinch.core.model.EngineOrder.LoadLayers;
import io.radishwinch.core.model.EngineOrder.LoadVersion;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Guards against coverage gaps that stay open, conflicting orders and loads above the rate of the weight store. */
class PlacementPlannerTest {

    /** Eight layers of 1 GB each; with a weight store of 1 GB/s, four layers load in 4 s. */
    private static final ModelSpec MODEL = new ModelSpec("m", 8, 1_000_000_000L, 0, 8192);

    private static final PlacementSettings SETTINGS = PlacementSettings.forStore(1e9);

    private final Map<String, PlacementEndpoint> endpoints = new TreeMap<>();

    private void putEndpoint(String id, int first, int end, boolean honoursFencing) {
        EndpointSpec spec = new EndpointSpec(id, "dc", "", 0, "k", 8, honoursFencing, true);
        endpoints.put(id, new PlacementEndpoint(spec, List.of(new Holding("m", new LayerRange(first, end))), false, 0));
    }

    private static PlacementPlanner planner(PlacementLease lease) {
        return new PlacementPlanner(SETTINGS, lease, endpointId -> OptionalLong.of(10));
    }

    private static RendezvousPlacementLease lease(String router, List<String> live, long nowMs) {
        RendezvousPlacementLease lease = new RendezvousPlacementLease(router, 3_000);
        lease.confirmMembership(live, nowMs);
        return lease;
    }

    private List<Action.OrderEngine> tick(PlacementPlanner planner, long nowMs) {
        return planner.tick(endpoints.values(), List.of(MODEL), nowMs).stream()
                .filter(Action.OrderEngine.class::isInstance)
                .map(Action.OrderEngine.class::cast)
                .toList();
    }

    /** Returns the time in ms until all layers are covered; engines load one after another at the rate of the store. */
    private long coverageTimeMs(List<PlacementPlanner> planners, Set<String> ordered) {
        Map<Long, Action.OrderEngine> loading = new TreeMap<>();
        long storeFreeMs = 0;
        for (long nowMs = 0; nowMs <= 60_000; nowMs += 250) {
            for (PlacementPlanner planner : planners) {
                for (Action.OrderEngine order : tick(planner, nowMs)) {
                    assertThat(ordered.add(order.endpointId())).isTrue();
                    assertThat(nowMs).as("load within the rate").isGreaterThanOrEqualTo(storeFreeMs);
                    storeFreeMs = nowMs
                            + 1_000L * ((LoadLayers) order.order()).layers().size();
                    loading.put(storeFreeMs, order);
                }
            }
            List<Long> ended = new ArrayList<>();
            for (Map.Entry<Long, Action.OrderEngine> load : loading.entrySet()) {
                if (load.getKey() <= nowMs) {
                    LayerRange layers = ((LoadLayers) load.getValue().order()).layers();
                    putEndpoint(load.getValue().endpointId(), layers.first(), layers.end(), true);
                    ended.add(load.getKey());
                }
            }
            ended.forEach(loading::remove);
            Coverage coverage = new Coverage(MODEL);
            endpoints.values().forEach(e -> coverage.add(e, e.holdings().get(0).layers()));
            if (coverage.uncoveredRanges().isEmpty()) {
                return nowMs;
            }
        }
        throw new AssertionError("layers are still uncovered after 60 s");
    }

    @Test
    void lostLayersAreLoadedAtTheRateOfTheStoreByOneOfThreeRouters() {
        for (int i = 0; i < 4; i++) {
            putEndpoint("a" + i, 0, 4, true);
        }
        List<String> live = List.of("r1", "r2", "r3");
        List<PlacementPlanner> planners = new ArrayList<>();
        for (String router : live) {
            RendezvousPlacementLease lease = new RendezvousPlacementLease(router, 120_000);
            lease.confirmMembership(live, 0);
            planners.add(planner(lease));
        }
        Set<String> ordered = new HashSet<>();
        // 0.5 s delay before a repair, 4 s of loading and one clock step.
        assertThat(coverageTimeMs(planners, ordered)).isLessThanOrEqualTo(4_750);
        assertThat(ordered).hasSize(1);
    }

    @Test
    void withoutLeasesTwoRoutersOrderTheSameEndpoint() {
        putEndpoint("a0", 0, 4, true);
        putEndpoint("a1", 0, 4, true);
        PlacementPlanner first = planner(new AlwaysGrantedLease());
        PlacementPlanner second = planner(new AlwaysGrantedLease());
        tick(first, 0);
        tick(second, 0);
        assertThat(tick(first, 1_000)).isEqualTo(tick(second, 1_000)).hasSize(1);
    }

    @Test
    void theLastHolderOfALayerIsNeverMoved() {
        putEndpoint("a", 0, 4, true);
        putEndpoint("b", 2, 4, true);
        PlacementPlanner planner = planner(new AlwaysGrantedLease());
        tick(planner, 0);
        assertThat(tick(planner, 1_000))
                .extracting(Action.OrderEngine::endpointId)
                .containsExactly("b");
    }

    @Test
    void routersThatSeeDifferentEndpointsDoNotTakeTheLastTwoHolders() {
        // Without the anchor, the two routers could move both holders of layers 0 to 4.
        putEndpoint("a", 0, 4, true);
        putEndpoint("b", 0, 4, true);
        Set<String> moved = new HashSet<>();
        for (boolean seesEjection : List.of(true, false)) {
            PlacementPlanner planner = planner(new AlwaysGrantedLease());
            EndpointSpec spec = new EndpointSpec("c", "dc", "", 0, "k", 8, true, true);
            List<Holding> holdings = List.of(new Holding("m", new LayerRange(2, 4)));
            endpoints.put("c", new PlacementEndpoint(spec, holdings, seesEjection, 0));
            tick(planner, 0);
            tick(planner, 1_000).forEach(order -> moved.add(order.endpointId()));
        }
        assertThat(moved).hasSize(2).doesNotContain("a");
    }

    @Test
    void anIdleEndpointIsMovedToOverloadedLayersAfterTheOverloadHasLasted() {
        for (int i = 0; i < 3; i++) {
            putEndpoint("a" + i, 0, 4, true);
        }
        putEndpoint("b", 4, 8, true);
        PlacementEndpoint b = endpoints.get("b");
        endpoints.put("b", new PlacementEndpoint(b.spec(), b.holdings(), false, 8));
        PlacementPlanner planner = planner(new AlwaysGrantedLease());
        List<Action.OrderEngine> orders = new ArrayList<>();
        for (long nowMs = 0; nowMs < 10_000; nowMs += 250) {
            assertThat(tick(planner, nowMs)).isEmpty();
        }
        for (long nowMs = 10_000; nowMs < 60_000; nowMs += 250) {
            orders.addAll(tick(planner, nowMs));
        }
        assertThat(orders).hasSize(1);
        assertThat(orders.get(0).order()).isEqualTo(new LoadLayers("m", new LayerRange(4, 8)));
    }

    @Test
    void aRefusedOrderIsRetriedWithAHigherFencingToken() {
        putEndpoint("a", 0, 4, true);
        putEndpoint("b", 0, 4, true);
        PlacementPlanner planner = planner(new AlwaysGrantedLease());
        tick(planner, 0);
        long first = tick(planner, 1_000).get(0).fencingToken();
        planner.acknowledged("b", first, false);
        List<Action.OrderEngine> repeated = new ArrayList<>();
        for (long nowMs = 1_250; nowMs <= 5_000; nowMs += 250) {
            repeated.addAll(tick(planner, nowMs));
        }
        assertThat(first).isEqualTo(11);
        assertThat(repeated.get(0).fencingToken()).isEqualTo(12);
    }

    @Test
    void anEngineThatIgnoresFencingGetsOrdersOnlyAfterThePreviousLeaseExpired() {
        putEndpoint("a", 0, 4, false);
        putEndpoint("b", 0, 4, false);
        RendezvousPlacementLease lease = lease("r1", List.of("r1"), 0);
        PlacementPlanner planner = planner(lease);
        long orderedAtMs = -1;
        for (long nowMs = 0; nowMs < 20_000 && orderedAtMs < 0; nowMs += 250) {
            lease.confirmMembership(List.of("r1"), nowMs);
            orderedAtMs = tick(planner, nowMs).isEmpty() ? -1 : nowMs;
        }
        assertThat(orderedAtMs).isEqualTo(3_000 + SETTINGS.maxOrderDelayMs());
    }

    @Test
    void aRouterThatLostContactHoldsNoLease() {
        RendezvousPlacementLease lease = lease("r1", List.of("r1"), 0);
        assertThat(lease.holds("a", 2_999)).isTrue();
        assertThat(lease.holds("a", 3_000)).isFalse();
    }

    @Test
    void anUnknownFencingTokenDelaysTheOrder() {
        putEndpoint("a", 0, 4, true);
        putEndpoint("b", 0, 4, true);
        PlacementPlanner planner =
                new PlacementPlanner(SETTINGS, new AlwaysGrantedLease(), endpointId -> OptionalLong.empty());
        tick(planner, 0);
        assertThat(tick(planner, 1_000)).isEmpty();
    }

    @Test
    void aVersionIsLoadedOnOneHolderAtATimeAndAdaptersFollow() {
        putEndpoint("a", 0, 8, true);
        putEndpoint("b", 0, 8, true);
        PlacementPlanner planner = planner(new AlwaysGrantedLease());
        planner.setGoals(new PlacementGoals(Map.of("m", List.of("x")), Map.of("m", "v2"), Map.of()));
        Action.OrderEngine first = tick(planner, 0).get(0);
        assertThat(first.order()).isEqualTo(new LoadVersion("m", "v2"));
        planner.acknowledged("a", first.fencingToken(), true);
        assertThat(tick(planner, 8_000))
                .extracting(Action.OrderEngine::order)
                .containsExactly(new LoadAdapter("m", "x"), new LoadVersion("m", "v2"));
    }
}

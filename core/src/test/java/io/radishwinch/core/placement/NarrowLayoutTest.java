package io.radishwinch.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.LayerRange;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Guards against a complete layout that stays far below its target although every lost engine is back. */
class NarrowLayoutTest {
    private final Map<String, PlacementEndpoint> engines = new TreeMap<>();
    private final LayoutPlanner planner =
            new LayoutPlanner(LayoutSettings.defaults(), new BalancedLayout(), new AlwaysGrantedLease());

    private static PlacementEndpoint empty(String id) {
        return MixedEngines.engine(id, "dc", id.substring(3).replaceAll("[0-9]", ""), Optional.empty());
    }

    private void run(long fromMs, long untilMs) {
        for (long nowMs = fromMs; nowMs < untilMs; nowMs += 250) {
            List<Action> actions = planner.tick(new ArrayList<>(engines.values()), MixedEngines.CONFIG, nowMs);
            for (Action action : actions) {
                if (action instanceof Action.OrderEngine order) {
                    LayerRange range = ((EngineOrder.LoadLayers) order.order()).layers();
                    engines.computeIfPresent(order.endpointId(), (id, e) -> MixedEngines.holding(e, range));
                }
            }
        }
    }

    /** Guards against a return that leaves the extended range of another kind of engine narrow. */
    @Test
    void theReturnOfOneOfTwoHugeEnginesRestoresTheCapacity() {
        for (String id : List.of("huge0", "huge1", "large0", "large1", "large2", "medium0", "small0")) {
            engines.put("dc-" + id, empty("dc-" + id));
        }
        run(0, 10_000);
        double before = MixedEngines.minCapacityRequests(engines.values());
        engines.remove("dc-huge0");
        run(10_000, 16_000);
        engines.put("dc-huge0", empty("dc-huge0"));
        run(16_000, 80_000);
        assertThat(MixedEngines.minCapacityRequests(engines.values())).isGreaterThanOrEqualTo(before);
    }

    /** Guards against two losses and returns that leave one small engine with layers beyond its target. */
    @Test
    void theReturnOfTwoEnginesRestoresTheCapacity() {
        MixedEngines.empty("dc").forEach(engine -> engines.put(engine.id(), engine));
        run(0, 10_000);
        double before = MixedEngines.minCapacityRequests(engines.values());
        engines.remove("dc-large0");
        run(10_000, 12_750);
        engines.remove("dc-huge0");
        run(12_750, 17_250);
        engines.put("dc-huge0", empty("dc-huge0"));
        run(17_250, 17_750);
        engines.put("dc-large0", empty("dc-large0"));
        run(17_750, 80_000);
        assertThat(MixedEngines.minCapacityRequests(engines.values())).isGreaterThanOrEqualTo(before);
    }
}

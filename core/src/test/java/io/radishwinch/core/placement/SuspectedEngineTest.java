package io.radishwinch.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.chain.EndpointTable;
import io.radishwinch.core.chain.TableEndpointDirectory;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.health.HealthSettings;
import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.LoadReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against engines that load layers which a silent engine still holds, and so give up their own. */
class SuspectedEngineTest {
    private static final long TICK_MS = 50;
    private static final long SILENT_AT_MS = 10_000;

    private final Map<String, PlacementEndpoint> engines = new HashMap<>();
    private final Map<String, LayerRange> held = new HashMap<>();
    private final TableEndpointDirectory directory = new TableEndpointDirectory(
            new EndpointTable(),
            HealthSettings.defaults(),
            new LayoutPlanner(LayoutSettings.defaults(), new BalancedLayout(), new AlwaysGrantedLease()));
    private long nowMs;
    private String silentId;

    private void join(String engineId) {
        directory.handle(new Event.EndpointJoined(engines.get(engineId).spec()), nowMs);
        List<Holding> holdings = held.containsKey(engineId) ? List.of(new Holding("m", held.get(engineId))) : List.of();
        directory.handle(new Event.LoadReported(new LoadReport(engineId, holdings, 0, 0, 1L << 30, 0, nowMs)), nowMs);
    }

    /** Ticks until a time, executes the orders at once and returns them. */
    private List<Action.OrderEngine> run(long untilMs) {
        List<Action.OrderEngine> orders = new ArrayList<>();
        for (; nowMs < untilMs; nowMs += TICK_MS) {
            for (Action action : directory.handle(new Event.Tick(), nowMs)) {
                if (action instanceof Action.OrderEngine order) {
                    orders.add(order);
                    held.put(order.endpointId(), ((EngineOrder.LoadLayers) order.order()).layers());
                    join(order.endpointId());
                }
            }
        }
        return orders;
    }

    private boolean isOnlyHolderOfALayer(String engineId) {
        LayerCapacity others = new LayerCapacity(MixedEngines.MODEL.layerCount());
        held.forEach((id, layers) -> {
            if (!id.equals(engineId)) {
                others.add(layers, 1);
            }
        });
        return !others.uncoveredRanges().isEmpty();
    }

    @BeforeEach
    void layOutEnginesAndSilenceOne() {
        directory.handle(new Event.ConfigChanged(MixedEngines.CONFIG), nowMs);
        MixedEngines.empty("dc").forEach(engine -> {
            engines.put(engine.id(), engine);
            join(engine.id());
        });
        run(SILENT_AT_MS);
        silentId = held.keySet().stream()
                .filter(this::isOnlyHolderOfALayer)
                .sorted()
                .findFirst()
                .orElseThrow();
        directory.handle(Event.EndpointRemoved.suspected(silentId), nowMs);
    }

    @Test
    void noLayersAreOrderedWhileASilentEngineMayRespondAgain() {
        assertThat(run(SILENT_AT_MS + 1_800)).isEmpty();
        join(silentId);
        assertThat(run(SILENT_AT_MS + 10_000)).isEmpty();
    }

    @Test
    void aPoolIsExpectedToBeCoveredWhileASilentEngineMayRespondAgain() {
        assertThat(directory.isCovered("m", nowMs)).isFalse();
        assertThat(directory.isCoveredAfterSilences("m", nowMs + 1_999)).isTrue();
        assertThat(directory.isCoveredAfterSilences("m", nowMs + 2_000)).isFalse();
        directory.handle(new Event.EndpointLeaving(silentId), nowMs);
        assertThat(directory.isCoveredAfterSilences("m", nowMs)).isFalse();
    }

    @Test
    void theLayersOfAnEngineThatStaysSilentAreOrdered() {
        assertThat(run(SILENT_AT_MS + 2_000)).isEmpty();
        assertThat(run(SILENT_AT_MS + 2_500)).isNotEmpty();
    }

    @Test
    void theLayersOfAnEngineThatHasEndedAreOrderedAtOnce() {
        run(SILENT_AT_MS + 300);
        directory.handle(new Event.EndpointRemoved(silentId, false), nowMs);
        assertThat(run(SILENT_AT_MS + 600)).isNotEmpty();
    }
}

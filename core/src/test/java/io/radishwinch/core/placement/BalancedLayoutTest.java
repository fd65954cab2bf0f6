package io.radishwinch.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.model.LayerRange;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against uncovered layers, unbalanced capacity and ranges that exceed the memory of an engine. */
class BalancedLayoutTest {
    private static final List<String> KINDS = List.of("huge", "large", "medium", "small");

    @Test
    void everyLayerOfAMixedPoolIsHeld() {
        List<PlacementEndpoint> engines = MixedEngines.empty("dc");
        Map<String, LayerRange> ranges = new BalancedLayout().plan(engines, MixedEngines.MODEL, MixedEngines.POOL);
        assertThat(MixedEngines.minCapacityRequests(engines, ranges)).isPositive();
    }

    @Test
    void theMinimumLayerCapacityOfAMixedPoolExceedsThatOfAGreedyLayout() {
        List<PlacementEndpoint> engines = MixedEngines.empty("dc");
        Map<String, LayerRange> balanced = new BalancedLayout().plan(engines, MixedEngines.MODEL, MixedEngines.POOL);
        Map<String, LayerRange> greedy = new GreedyLayout().plan(engines, MixedEngines.MODEL, MixedEngines.POOL);
        assertThat(MixedEngines.minCapacityRequests(engines, balanced))
                .isGreaterThan(MixedEngines.minCapacityRequests(engines, greedy));
    }

    /** Guards against layouts in which most failures of a single engine leave a coverage gap. */
    @Test
    void theLossOfAnyOneOfMostEnginesLeavesEveryLayerHeld() {
        List<PlacementEndpoint> engines = MixedEngines.empty("dc");
        Map<String, LayerRange> ranges = new BalancedLayout().plan(engines, MixedEngines.MODEL, MixedEngines.POOL);
        long coveredLosses = ranges.keySet().stream()
                .filter(lost -> isCoveredWithout(ranges, lost))
                .count();
        assertThat(coveredLosses).isGreaterThan(ranges.size() / 2);
    }

    private static boolean isCoveredWithout(Map<String, LayerRange> ranges, String lost) {
        LayerCapacity capacity = new LayerCapacity(MixedEngines.MODEL.layerCount());
        ranges.forEach((id, range) -> {
            if (!id.equals(lost)) {
                capacity.add(range, 1);
            }
        });
        return capacity.uncoveredRanges().isEmpty();
    }

    @Property(tries = 200, seed = "11")
    void noEngineExceedsItsMemoryAndAPoolWithEnoughMemoryHoldsTheModel(
            @ForAll @IntRange(min = 1, max = 100) int count, @ForAll int seed) {
        Random random = new Random(seed);
        List<PlacementEndpoint> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String kind = KINDS.get(random.nextInt(KINDS.size()));
            engines.add(MixedEngines.engine("e" + i, "dc", kind, Optional.empty()));
        }
        Map<String, LayerRange> ranges = new BalancedLayout().plan(engines, MixedEngines.MODEL, MixedEngines.POOL);
        for (PlacementEndpoint engine : engines) {
            LayerRange range = ranges.get(engine.id());
            long weightBytes = range == null ? 0 : range.size() * MixedEngines.MODEL.layerBytes();
            assertThat(weightBytes)
                    .isLessThanOrEqualTo(
                            MixedEngines.POOL.memoryBytes(engine.spec().acceleratorKind()));
        }
        if (BalancedLayout.canHoldCopy(engines, MixedEngines.MODEL, MixedEngines.POOL)) {
            assertThat(MixedEngines.minCapacityRequests(engines, ranges)).isPositive();
        }
    }
}

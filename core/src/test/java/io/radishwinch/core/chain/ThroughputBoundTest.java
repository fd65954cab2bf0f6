package io.radishwinch.core.chain;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.data.Offset.offset;
import static org.assertj.core.data.Percentage.withPercentage;

import io.radishwinch.core.chain.ThroughputBound.LinkCapacity;
import io.radishwinch.core.chain.ThroughputBound.StageCapacity;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Guards against a throughput bound that differs from the minimum cut, which the tests compute by enumerating all cuts.
 */
class ThroughputBoundTest {

    @Property(seed = "31", tries = 150)
    void theBoundEqualsTheMinimumStageCutWhenLinksAreUnlimited(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<StageCapacity> stages = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            int first = random.nextInt(5);
            stages.add(new StageCapacity("s" + i, first, first + 1 + random.nextInt(5 - first), 1 + random.nextInt(9)));
        }
        double minCapacity = Double.MAX_VALUE;
        for (int cut = 0; cut < 1 << stages.size(); cut++) {
            double capacity = 0;
            int layers = 0;
            for (int i = 0; i < stages.size(); i++) {
                StageCapacity stage = stages.get(i);
                boolean isRemoved = (cut >> i & 1) == 1;
                capacity += isRemoved ? stage.tokensPerS() : 0;
                layers |= isRemoved ? 0 : (1 << stage.end()) - (1 << stage.first());
            }
            minCapacity = layers == 31 ? minCapacity : Math.min(minCapacity, capacity);
        }
        assertThat(ThroughputBound.tokensPerS(5, stages, List.of())).isEqualTo(minCapacity, offset(1e-6));
    }

    @Property(seed = "32", tries = 100)
    void theBoundEqualsTheMinimumCutOfStagesAndLinksWhenLinksAreLimited(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<StageCapacity> stages = new ArrayList<>();
        List<LinkCapacity> links = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            // Stages of one layer cannot be split, so no chain contains two stages with the same layer.
            stages.add(new StageCapacity("s" + i, i / 2, i / 2 + 1, 1 + random.nextInt(9)));
        }
        for (int from = 0; from < 4; from++) {
            for (int to = from / 2 * 2 + 2; to < from / 2 * 2 + 4; to++) {
                links.add(new LinkCapacity("s" + from, "s" + to, 1 + random.nextInt(5)));
            }
        }
        // A cut assigns the input and output of each stage to the source or the sink; 12 vertices give 4,096 cuts.
        double minCapacity = Double.MAX_VALUE;
        for (int cut = 0; cut < 1 << 12; cut++) {
            double capacity = 0;
            for (int i = 0; i < 6; i++) {
                capacity += isCut(cut, 2 * i, 2 * i + 1) ? stages.get(i).tokensPerS() : 0;
                capacity += i < 2 && (cut >> 2 * i & 1) == 0 ? 1_000 : 0;
                capacity += i >= 4 && (cut >> (2 * i + 1) & 1) == 1 ? 1_000 : 0;
            }
            for (LinkCapacity link : links) {
                int from = link.fromId().charAt(1) - '0';
                int to = link.toId().charAt(1) - '0';
                capacity += isCut(cut, 2 * from + 1, 2 * to) ? link.tokensPerS() : 0;
            }
            minCapacity = Math.min(minCapacity, capacity);
        }
        assertThat(ThroughputBound.tokensPerS(3, stages, links)).isEqualTo(minCapacity, offset(1e-6));
    }

    private static boolean isCut(int cut, int from, int to) {
        return (cut >> from & 1) == 1 && (cut >> to & 1) == 0;
    }

    @Test
    void thePackingEqualsTheRateOfTheRangeWithTheFewestSlotsWhenAllChainsTakeTheSameTime() {
        // Three ranges of four layers with 6, 10 and 8 slots; a chain takes 12 * 500 + 2 * 1,000 = 8,000 us per token.
        int[] firstLayers = {0, 0, 4, 8};
        int[] endLayers = {4, 4, 8, 12};
        double[] layerTimesUs = {500, 500, 500, 500};
        double[][] linkDelaysUs = new double[4][4];
        for (double[] row : linkDelaysUs) {
            Arrays.fill(row, 1_000);
        }
        ChainPacking packing =
                new ChainPacking(12, firstLayers, endLayers, layerTimesUs, new double[] {2, 4, 10, 8}, linkDelaysUs);
        packing.addChains(10_000);
        assertThat(packing.hasConverged()).isTrue();
        assertThat(packing.tokensPerS()).isCloseTo(6 / 8_000e-6, withPercentage(2));
    }

    @Test
    void anUncoveredModelHasNoThroughput() {
        assertThat(ThroughputBound.tokensPerS(8, List.of(new StageCapacity("a", 0, 6, 10)), List.of()))
                .isZero();
    }
}

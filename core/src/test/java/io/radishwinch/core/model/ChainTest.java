package io.radishwinch.core.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against chains that skip, repeat or reorder layers. */
class ChainTest {

    @Property(seed = "11", tries = 200)
    void aChainOfAdjacentRangesCoversTheirSum(
            @ForAll @Size(min = 1, max = 20) List<@IntRange(min = 1, max = 9) Integer> sizes) {
        List<Stage> stages = new ArrayList<>();
        int next = 0;
        for (int size : sizes) {
            stages.add(new Stage("e" + next, new LayerRange(next, next + size)));
            next += size;
        }
        assertThat(new Chain(stages).layerCount()).isEqualTo(next);
    }

    @Test
    void aChainWithAnOverlapIsRejected() {
        List<Stage> stages = List.of(new Stage("a", new LayerRange(0, 4)), new Stage("b", new LayerRange(3, 8)));
        assertThatThrownBy(() -> new Chain(stages))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("stage b starts at layer 3, expected 4");
    }

    @Test
    void aChainThatDoesNotStartAtLayerZeroIsRejected() {
        assertThatThrownBy(() -> new Chain(List.of(new Stage("a", new LayerRange(1, 4)))))
                .isInstanceOf(IllegalArgumentException.class);
    }
}

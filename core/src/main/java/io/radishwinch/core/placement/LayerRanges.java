package io.radishwinch.core.placement;

import io.radishwinch.core.model.LayerRange;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;

/** Finds ranges of layers. */
final class LayerRanges {

    private LayerRanges() {}

    /** Returns the maximal ranges of layers that match, in order. */
    static List<LayerRange> matching(int layerCount, IntPredicate isMissing) {
        List<LayerRange> gaps = new ArrayList<>();
        int first = -1;
        for (int layer = 0; layer <= layerCount; layer++) {
            boolean missing = layer < layerCount && isMissing.test(layer);
            if (missing && first < 0) {
                first = layer;
            } else if (!missing && first >= 0) {
                gaps.add(new LayerRange(first, layer));
                first = -1;
            }
        }
        return gaps;
    }
}

package io.radishwinch.core.placement;

import io.radishwinch.core.model.LayerRange;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;

/** Computes ranges of layers. */
final class LayerRanges {

    private LayerRanges() {}

    /** Returns the maximal ranges of layers that match the predicate, in ascending order. */
    static List<LayerRange> matching(int layerCount, IntPredicate predicate) {
        List<LayerRange> ranges = new ArrayList<>();
        int first = -1;
        for (int layer = 0; layer <= layerCount; layer++) {
            boolean matches = layer < layerCount && predicate.test(layer);
            if (matches && first < 0) {
                first = layer;
            } else if (!matches && first >= 0) {
                ranges.add(new LayerRange(first, layer));
                first = -1;
            }
        }
        return ranges;
    }
}

package io.radishwinch.core.placement;

import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import java.util.List;

/** Holders and load of each layer of one model; pending loads count as complete. */
final class Coverage {

    final ModelSpec model;
    private final int[] usableHolders;
    private final int[] holders;
    private final int[] slots;
    private final int[] occupiedSlots;
    private final String[] anchorIds;

    Coverage(ModelSpec model) {
        this.model = model;
        usableHolders = new int[model.layerCount()];
        holders = new int[model.layerCount()];
        slots = new int[model.layerCount()];
        occupiedSlots = new int[model.layerCount()];
        anchorIds = new String[model.layerCount()];
    }

    void add(PlacementEndpoint endpoint, LayerRange layers) {
        EndpointSpec spec = endpoint.spec();
        for (int layer = layers.first(); layer < Math.min(layers.end(), model.layerCount()); layer++) {
            holders[layer]++;
            if (!endpoint.isEjected()) {
                usableHolders[layer]++;
                slots[layer] += spec.slots();
                occupiedSlots[layer] += endpoint.occupiedSlots();
                boolean isFirst = anchorIds[layer] == null || spec.id().compareTo(anchorIds[layer]) < 0;
                anchorIds[layer] = isFirst ? spec.id() : anchorIds[layer];
            }
        }
    }

    /** Returns the maximal ranges of layers without a usable holder. */
    List<LayerRange> uncoveredRanges() {
        return LayerRanges.matching(model.layerCount(), layer -> usableHolders[layer] == 0);
    }

    /** Returns whether any layer of the range has no holder, not even an ejected one. */
    boolean hasLayerWithoutHolder(LayerRange range) {
        for (int layer = range.first(); layer < range.end(); layer++) {
            if (holders[layer] == 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether the endpoint must keep the holding.
     *
     * <p>The usable holder with the smallest identifier never releases a layer. Two routers that see the same holders
     * but select different endpoints therefore cannot remove the last two holders of a layer at the same time.
     */
    boolean mustKeep(PlacementEndpoint endpoint, Holding holding) {
        for (int layer = holding.layers().first();
                layer < Math.min(holding.layers().end(), anchorIds.length);
                layer++) {
            if (endpoint.id().equals(anchorIds[layer])) {
                return true;
            }
        }
        return false;
    }

    /** Returns the smallest number of usable holders over the layers of a holding. */
    int redundancy(Holding holding) {
        int fewest = Integer.MAX_VALUE;
        for (int layer = holding.layers().first();
                layer < Math.min(holding.layers().end(), usableHolders.length);
                layer++) {
            fewest = Math.min(fewest, usableHolders[layer]);
        }
        return fewest;
    }

    /** Returns the largest share of occupied slots over the layers of a range, 0 to 1. */
    double occupiedShare(LayerRange range) {
        double highest = 0;
        for (int layer = range.first(); layer < Math.min(range.end(), slots.length); layer++) {
            highest = Math.max(highest, slots[layer] == 0 ? 0 : (double) occupiedSlots[layer] / slots[layer]);
        }
        return highest;
    }

    /**
     * Returns the longest range of layers with at least the given share of occupied slots, or null if there is none.
     */
    LayerRange longestOverloadedRange(double share) {
        LayerRange longest = null;
        int first = 0;
        for (int layer = 0; layer <= slots.length; layer++) {
            boolean isOverloaded = layer < slots.length && occupiedShare(new LayerRange(layer, layer + 1)) >= share;
            if (!isOverloaded) {
                if (layer > first && (longest == null || layer - first > longest.size())) {
                    longest = new LayerRange(first, layer);
                }
                first = layer + 1;
            }
        }
        return longest;
    }
}

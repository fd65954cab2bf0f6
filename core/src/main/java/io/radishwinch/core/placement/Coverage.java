package io.radishwinch.core.placement;

import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import java.util.List;

/** Holders and load of each layer of one model, with pending loads counted as done. */
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

    /** Returns the maximal ranges without a usable holder. */
    List<LayerRange> uncoveredRanges() {
        return LayerRanges.matching(model.layerCount(), layer -> usableHolders[layer] == 0);
    }

    /** Returns whether some layer of the range has no holder at all, not even an ejected one. */
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
     * <p>The usable holder of a layer with the smallest identifier never moves. Two routers that see the same holders
     * but choose different endpoints therefore cannot take away the last two holders of a layer at once.
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
        int least = Integer.MAX_VALUE;
        for (int layer = holding.layers().first();
                layer < Math.min(holding.layers().end(), usableHolders.length);
                layer++) {
            least = Math.min(least, usableHolders[layer]);
        }
        return least;
    }

    /** Returns the largest share of slots in use over the layers of a range. */
    double occupiedShare(LayerRange range) {
        double highest = 0;
        for (int layer = range.first(); layer < Math.min(range.end(), slots.length); layer++) {
            highest = Math.max(highest, slots[layer] == 0 ? 0 : (double) occupiedSlots[layer] / slots[layer]);
        }
        return highest;
    }

    /** Returns the longest run of layers with at least the given share of slots in use, or null. */
    LayerRange longestOverloadedRange(double share) {
        LayerRange longest = null;
        int first = 0;
        for (int layer = 0; layer <= slots.length; layer++) {
            boolean over = layer < slots.length && occupiedShare(new LayerRange(layer, layer + 1)) >= share;
            if (!over) {
                if (layer > first && (longest == null || layer - first > longest.size())) {
                    longest = new LayerRange(first, layer);
                }
                first = layer + 1;
            }
        }
        return longest;
    }
}

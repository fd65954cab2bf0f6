package io.radishwinch.core.placement;

import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import java.util.List;

/** Holders and load of each layer of one model, with pending loads counted as done. */
final class Coverage {

    final ModelSpec model;
    private final int[] usable;
    private final int[] alive;
    private final int[] slots;
    private final int[] occupied;
    private final String[] anchors;

    Coverage(ModelSpec model) {
        this.model = model;
        usable = new int[model.layerCount()];
        alive = new int[model.layerCount()];
        slots = new int[model.layerCount()];
        occupied = new int[model.layerCount()];
        anchors = new String[model.layerCount()];
    }

    void add(PlacementEndpoint endpoint, LayerRange layers) {
        EndpointSpec spec = endpoint.spec();
        for (int layer = layers.first(); layer < Math.min(layers.end(), model.layerCount()); layer++) {
            alive[layer]++;
            if (!endpoint.ejected()) {
                usable[layer]++;
                slots[layer] += spec.slots();
                occupied[layer] += endpoint.occupied();
                boolean isFirst = anchors[layer] == null || spec.id().compareTo(anchors[layer]) < 0;
                anchors[layer] = isFirst ? spec.id() : anchors[layer];
            }
        }
    }

    /** Returns the maximal ranges without a usable holder. */
    List<LayerRange> gaps() {
        return LayerGaps.of(model.layerCount(), layer -> usable[layer] == 0);
    }

    /** Returns whether some layer of the range has no holder at all, not even an ejected one. */
    boolean isLost(LayerRange range) {
        for (int layer = range.first(); layer < range.end(); layer++) {
            if (alive[layer] == 0) {
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
                layer < Math.min(holding.layers().end(), anchors.length);
                layer++) {
            if (endpoint.id().equals(anchors[layer])) {
                return true;
            }
        }
        return false;
    }

    /** Returns the smallest number of usable holders over the layers of a holding. */
    int redundancy(Holding holding) {
        int least = Integer.MAX_VALUE;
        for (int layer = holding.layers().first();
                layer < Math.min(holding.layers().end(), usable.length);
                layer++) {
            least = Math.min(least, usable[layer]);
        }
        return least;
    }

    /** Returns the largest share of slots in use over the layers of a range. */
    double load(LayerRange range) {
        double highest = 0;
        for (int layer = range.first(); layer < Math.min(range.end(), slots.length); layer++) {
            highest = Math.max(highest, slots[layer] == 0 ? 0 : (double) occupied[layer] / slots[layer]);
        }
        return highest;
    }

    /** Returns the longest run of layers with at least the given share of slots in use, or null. */
    LayerRange overloaded(double share) {
        LayerRange longest = null;
        int first = 0;
        for (int layer = 0; layer <= slots.length; layer++) {
            boolean over = layer < slots.length && load(new LayerRange(layer, layer + 1)) >= share;
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

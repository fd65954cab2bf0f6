package io.radishwinch.core.placement;

import io.radishwinch.core.model.LayerRange;
import java.util.Arrays;
import java.util.List;

/** Number of engines and capacity for requests at each layer of a model. */
final class LayerCapacity {

    /** Tolerance for rounding errors in sums of engine shares. */
    private static final double ENGINE_TOLERANCE = 1e-6;

    private final double[] capacityRequests;
    private final int[] holders;
    /** Sum of the sizes of the ranges that cover a layer; with one holder, the size of its range. */
    private final int[] rangeSizes;

    LayerCapacity(int layerCount) {
        capacityRequests = new double[layerCount];
        holders = new int[layerCount];
        rangeSizes = new int[layerCount];
    }

    /** Adds an engine with the given capacity, in requests, at each of its layers. */
    void add(LayerRange layers, double addedRequests) {
        for (int layer = layers.first(); layer < Math.min(layers.end(), capacityRequests.length); layer++) {
            capacityRequests[layer] += addedRequests;
            holders[layer]++;
            rangeSizes[layer] += layers.size();
        }
    }

    /** Removes an engine that was added with the same arguments. */
    void remove(LayerRange layers, double removedRequests) {
        for (int layer = layers.first(); layer < Math.min(layers.end(), capacityRequests.length); layer++) {
            capacityRequests[layer] -= removedRequests;
            holders[layer]--;
            rangeSizes[layer] -= layers.size();
        }
    }

    /** Returns the number of engines that hold the layer. */
    int holders(int layer) {
        return holders[layer];
    }

    /** Returns the smallest number of holders over the layers of the range. */
    int minHolders(LayerRange layers) {
        int fewest = Integer.MAX_VALUE;
        for (int layer = layers.first(); layer < Math.min(layers.end(), capacityRequests.length); layer++) {
            fewest = Math.min(fewest, holders[layer]);
        }
        return fewest;
    }

    /** Returns the smallest capacity over all layers, in requests. */
    double minCapacityRequests() {
        return Arrays.stream(capacityRequests).min().orElse(0);
    }

    /** Returns the maximal ranges of layers without a holder, in ascending order. */
    List<LayerRange> uncoveredRanges() {
        return LayerRanges.matching(capacityRequests.length, layer -> holders[layer] == 0);
    }

    /**
     * Returns the range of the given size that covers the most layers without a holder. Ties are resolved by the number
     * of engines whose layers get a second holder, and then by the smallest total capacity.
     *
     * <p>Any engine may fail, so a range that duplicates several small ranges protects more engines than one that
     * duplicates a part of a large range.
     */
    LayerRange mostNeededRange(int size) {
        int best = 0;
        int bestUncovered = -1;
        double bestProtectedEngines = 0;
        double bestCapacity = Double.MAX_VALUE;
        for (int first = 0; first + size <= capacityRequests.length; first++) {
            int uncovered = 0;
            double protectedEngines = 0;
            double totalCapacity = 0;
            for (int layer = first; layer < first + size; layer++) {
                uncovered += holders[layer] == 0 ? 1 : 0;
                protectedEngines += holders[layer] == 1 ? 1.0 / rangeSizes[layer] : 0;
                totalCapacity += capacityRequests[layer];
            }
            // A range that starts inside a coverage gap would leave a remainder that may fit no engine.
            boolean splitsGap = uncovered > 0 && first > 0 && holders[first] == 0 && holders[first - 1] == 0;
            boolean isAtEnd = first + size == capacityRequests.length;
            if (splitsGap && !isAtEnd) {
                continue;
            }
            boolean isEqual =
                    uncovered == bestUncovered && Math.abs(protectedEngines - bestProtectedEngines) < ENGINE_TOLERANCE;
            boolean isBetter = uncovered == bestUncovered && protectedEngines > bestProtectedEngines;
            if (uncovered > bestUncovered || (isEqual ? totalCapacity < bestCapacity : isBetter)) {
                best = first;
                bestUncovered = uncovered;
                bestProtectedEngines = protectedEngines;
                bestCapacity = totalCapacity;
            }
        }
        return new LayerRange(best, best + size);
    }
}

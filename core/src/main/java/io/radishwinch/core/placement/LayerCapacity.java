package io.radishwinch.core.placement;

import io.radishwinch.core.model.LayerRange;
import java.util.Arrays;
import java.util.List;

/** Engines and room for requests at each layer of a model. */
final class LayerCapacity {

    /** Difference in protected engines that is due to rounding. */
    private static final double ENGINE_TOLERANCE = 1e-6;

    private final double[] capacityRequests;
    private final int[] holders;
    /** Sum of the sizes of the ranges that cover a layer; the size of its holder's range if it has but one. */
    private final int[] rangeSizes;

    LayerCapacity(int layerCount) {
        capacityRequests = new double[layerCount];
        holders = new int[layerCount];
        rangeSizes = new int[layerCount];
    }

    /** Adds an engine with room for some requests on each of its layers. */
    void add(LayerRange layers, double roomRequests) {
        for (int layer = layers.first(); layer < Math.min(layers.end(), capacityRequests.length); layer++) {
            capacityRequests[layer] += roomRequests;
            holders[layer]++;
            rangeSizes[layer] += layers.size();
        }
    }

    /** Removes what {@link #add} added. */
    void remove(LayerRange layers, double roomRequests) {
        for (int layer = layers.first(); layer < Math.min(layers.end(), capacityRequests.length); layer++) {
            capacityRequests[layer] -= roomRequests;
            holders[layer]--;
            rangeSizes[layer] -= layers.size();
        }
    }

    /** Returns the number of engines that hold a layer. */
    int holders(int layer) {
        return holders[layer];
    }

    /** Returns the smallest number of engines that hold a layer of the range. */
    int minHolders(LayerRange layers) {
        int fewest = Integer.MAX_VALUE;
        for (int layer = layers.first(); layer < Math.min(layers.end(), capacityRequests.length); layer++) {
            fewest = Math.min(fewest, holders[layer]);
        }
        return fewest;
    }

    /** Returns the room at the layer that has least, in requests. */
    double minCapacityRequests() {
        return Arrays.stream(capacityRequests).min().orElse(0);
    }

    /** Returns the longest ranges that no engine holds, in order. */
    List<LayerRange> uncoveredRanges() {
        return LayerRanges.matching(capacityRequests.length, layer -> holders[layer] == 0);
    }

    /**
     * Returns the range of the given size that is needed most: the one that covers most layers without a holder, among
     * these the one that gives most engines a second holder of their layers, and then the one with least room in sum.
     *
     * <p>Any engine may be lost, so that a range protects more if it stands behind several small ranges than behind a
     * part of a large one.
     */
    LayerRange mostNeededRange(int size) {
        int best = 0;
        int bestMissing = -1;
        double bestProtected = 0;
        double bestRoom = Double.MAX_VALUE;
        for (int first = 0; first + size <= capacityRequests.length; first++) {
            int missing = 0;
            double engines = 0;
            double sum = 0;
            for (int layer = first; layer < first + size; layer++) {
                missing += holders[layer] == 0 ? 1 : 0;
                engines += holders[layer] == 1 ? 1.0 / rangeSizes[layer] : 0;
                sum += capacityRequests[layer];
            }
            // A range that starts in the middle of a gap would leave a remainder that no engine fits into.
            boolean splitsGap = missing > 0 && first > 0 && holders[first] == 0 && holders[first - 1] == 0;
            boolean isAtEnd = first + size == capacityRequests.length;
            if (splitsGap && !isAtEnd) {
                continue;
            }
            boolean isEqual = missing == bestMissing && Math.abs(engines - bestProtected) < ENGINE_TOLERANCE;
            boolean isBetter = missing == bestMissing && engines > bestProtected;
            if (missing > bestMissing || (isEqual ? sum < bestRoom : isBetter)) {
                best = first;
                bestMissing = missing;
                bestProtected = engines;
                bestRoom = sum;
            }
        }
        return new LayerRange(best, best + size);
    }
}

package io.radishwinch.core.placement;

import io.radishwinch.core.model.LayerRange;
import java.util.Arrays;
import java.util.List;

/** Number of engines and capacity for requests at each layer of a model. */
final class LayerCapacity {

    /** Tolerance for rounding errors in sums over layers. */
    private static final double TOLERANCE = 1e-6;

    private final double[] capacityRequests;
    private final int[] holders;
    /** Sum of the sizes of the ranges that cover a layer; with one holder, the size of its range. */
    private final int[] rangeSizes;

    LayerCapacity(int layerCount) {
        capacityRequests = new double[layerCount];
        holders = new int[layerCount];
        rangeSizes = new int[layerCount];
    }

    /** Creates a copy that changes independently. */
    LayerCapacity(LayerCapacity other) {
        capacityRequests = other.capacityRequests.clone();
        holders = other.holders.clone();
        rangeSizes = other.rangeSizes.clone();
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

    /**
     * Returns the number of engines that hold the layer, or 0 if the model has no such layer. An engine may hold more
     * layers than the model has after a change of the configuration.
     */
    int holders(int layer) {
        return layer < holders.length ? holders[layer] : 0;
    }

    /** Returns the smallest number of holders over the layers of the range. */
    int minHolders(LayerRange layers) {
        int fewest = Integer.MAX_VALUE;
        for (int layer = layers.first(); layer < Math.min(layers.end(), capacityRequests.length); layer++) {
            fewest = Math.min(fewest, holders[layer]);
        }
        return fewest;
    }

    /** Returns the smallest capacity over the layers of the range, in requests. */
    double minCapacityRequests(LayerRange layers) {
        double min = Double.POSITIVE_INFINITY;
        for (int layer = layers.first(); layer < Math.min(layers.end(), capacityRequests.length); layer++) {
            min = Math.min(min, capacityRequests[layer]);
        }
        return min;
    }

    /** Returns the sum over the layers of the share of the target capacity that each lacks; 0 if none lacks any. */
    double lackingShare(double targetRequests) {
        return lackingShare(new LayerRange(0, capacityRequests.length), targetRequests);
    }

    /** Returns the same sum over the layers of the range. */
    double lackingShare(LayerRange layers, double targetRequests) {
        double share = 0;
        for (int layer = layers.first(); layer < Math.min(layers.end(), capacityRequests.length); layer++) {
            share += Math.max(0, 1 - capacityRequests[layer] / targetRequests);
        }
        return share;
    }

    /**
     * Returns the range without redundant layers at its ends that exceed the given size, or the same range.
     *
     * @param held range of an engine that was added
     */
    LayerRange withoutExcess(LayerRange held, int size) {
        int excess = held.size() - size;
        int first = held.first();
        int end = held.end();
        while (excess > 0 && holders(first) > 1) {
            first++;
            excess--;
        }
        while (excess > 0 && holders(end - 1) > 1) {
            end--;
            excess--;
        }
        return end - first < held.size() ? new LayerRange(first, end) : held;
    }

    /** Returns the smallest capacity over all layers, in requests. */
    double minCapacityRequests() {
        return Arrays.stream(capacityRequests).min().orElse(0);
    }

    /** Returns the first maximal range of layers with the smallest capacity. */
    LayerRange narrowestRange() {
        double min = minCapacityRequests() + TOLERANCE;
        return LayerRanges.matching(capacityRequests.length, layer -> capacityRequests[layer] <= min)
                .get(0);
    }

    /** Returns the maximal ranges of layers without a holder, in ascending order. */
    List<LayerRange> uncoveredRanges() {
        return LayerRanges.matching(capacityRequests.length, layer -> holders[layer] == 0);
    }

    /**
     * Returns the range of the given size that covers the most layers without a holder. Ties are resolved by the
     * capacity that its layers lack, then by the number of engines whose layers get a second holder, and then by the
     * smallest total capacity.
     *
     * <p>Any engine may fail, so a range that duplicates several small ranges protects more engines than one that
     * duplicates a part of a large range. A layer with less capacity than the others limits every chain, however many
     * engines hold it.
     *
     * @param targetRequests capacity that each layer should have, in requests
     */
    LayerRange mostNeededRange(int size, double targetRequests) {
        int best = 0;
        Need bestNeed = null;
        for (int first = 0; first + size <= capacityRequests.length; first++) {
            Need need = need(first, first + size, targetRequests);
            // A range that starts inside a coverage gap would leave a remainder that may fit no engine.
            boolean splitsGap = need.uncovered > 0 && first > 0 && holders[first] == 0 && holders[first - 1] == 0;
            boolean isAtEnd = first + size == capacityRequests.length;
            if ((!splitsGap || isAtEnd) && (bestNeed == null || need.isGreaterThan(bestNeed))) {
                best = first;
                bestNeed = need;
            }
        }
        return new LayerRange(best, best + size);
    }

    private Need need(int first, int end, double targetRequests) {
        int uncovered = 0;
        double lackingShare = 0;
        double protectedEngines = 0;
        double totalCapacity = 0;
        for (int layer = first; layer < end; layer++) {
            uncovered += holders[layer] == 0 ? 1 : 0;
            lackingShare += Math.max(0, 1 - capacityRequests[layer] / targetRequests);
            protectedEngines += holders[layer] == 1 ? 1.0 / rangeSizes[layer] : 0;
            totalCapacity += capacityRequests[layer];
        }
        return new Need(uncovered, lackingShare, protectedEngines, totalCapacity);
    }

    /** Sums over the layers of a range that decide how much it needs a further holder, the most important first. */
    private record Need(int uncovered, double lackingShare, double protectedEngines, double totalCapacity) {

        boolean isGreaterThan(Need other) {
            if (uncovered != other.uncovered) {
                return uncovered > other.uncovered;
            }
            if (Math.abs(lackingShare - other.lackingShare) >= TOLERANCE) {
                return lackingShare > other.lackingShare;
            }
            if (Math.abs(protectedEngines - other.protectedEngines) >= TOLERANCE) {
                return protectedEngines > other.protectedEngines;
            }
            return totalCapacity < other.totalCapacity;
        }
    }
}

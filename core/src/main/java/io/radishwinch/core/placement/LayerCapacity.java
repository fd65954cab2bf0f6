package io.radishwinch.core.placement;

import io.radishwinch.core.model.LayerRange;
import java.util.Arrays;
import java.util.List;

/** Engines and room for requests at each layer of a model. */
final class LayerCapacity {

    private final double[] room;
    private final int[] holders;

    LayerCapacity(int layerCount) {
        room = new double[layerCount];
        holders = new int[layerCount];
    }

    /** Adds an engine with room for some requests on each of its layers. */
    void add(LayerRange layers, double roomRequests) {
        for (int layer = layers.first(); layer < Math.min(layers.end(), room.length); layer++) {
            room[layer] += roomRequests;
            holders[layer]++;
        }
    }

    /** Removes what {@link #add} added. */
    void remove(LayerRange layers, double roomRequests) {
        for (int layer = layers.first(); layer < Math.min(layers.end(), room.length); layer++) {
            room[layer] -= roomRequests;
            holders[layer]--;
        }
    }

    /** Returns the number of engines that hold a layer. */
    int holders(int layer) {
        return holders[layer];
    }

    /** Returns the smallest number of engines that hold a layer of the range. */
    int fewestHolders(LayerRange layers) {
        int fewest = Integer.MAX_VALUE;
        for (int layer = layers.first(); layer < Math.min(layers.end(), room.length); layer++) {
            fewest = Math.min(fewest, holders[layer]);
        }
        return fewest;
    }

    /** Returns the room at the layer that has least, in requests. */
    double weakest() {
        return Arrays.stream(room).min().orElse(0);
    }

    /** Returns the longest ranges that no engine holds, in order. */
    List<LayerRange> gaps() {
        return LayerGaps.of(room.length, layer -> holders[layer] == 0);
    }

    /**
     * Returns the range of the given size that is needed most: the one that covers most layers without a holder, and
     * among these the one with least room in sum.
     */
    LayerRange neediest(int size) {
        int best = 0;
        int bestMissing = -1;
        double bestRoom = Double.MAX_VALUE;
        for (int first = 0; first + size <= room.length; first++) {
            int missing = 0;
            double sum = 0;
            for (int layer = first; layer < first + size; layer++) {
                missing += holders[layer] == 0 ? 1 : 0;
                sum += room[layer];
            }
            // A range that starts in the middle of a gap would leave a remainder that no engine fits into.
            boolean splitsGap = missing > 0 && first > 0 && holders[first] == 0 && holders[first - 1] == 0;
            boolean isAtEnd = first + size == room.length;
            if (splitsGap && !isAtEnd) {
                continue;
            }
            if (missing > bestMissing || missing == bestMissing && sum < bestRoom) {
                best = first;
                bestMissing = missing;
                bestRoom = sum;
            }
        }
        return new LayerRange(best, best + size);
    }
}

package io.radishwinch.core.chain;

import java.util.Arrays;

/**
 * The cheapest partial chains at each layer boundary, in arrays that are reused between decisions.
 *
 * <p>Several are kept at each boundary because the delay of the next link depends on the endpoint where a partial chain
 * ends.
 */
final class ChainLabels {

    /** Partial chains kept at each boundary. */
    static final int WIDTH = 2;

    double[] costUs = new double[0];
    HeldRange[] entries = new HeldRange[0];
    int[] previous = new int[0];
    int[] counts = new int[0];

    void reset(int firstLayer, int layerCount) {
        int size = (layerCount + 1) * WIDTH;
        if (costUs.length < size) {
            costUs = new double[size];
            entries = new HeldRange[size];
            previous = new int[size];
            counts = new int[layerCount + 1];
        }
        Arrays.fill(counts, 0);
        int start = firstLayer * WIDTH;
        costUs[start] = 0;
        entries[start] = null;
        previous[start] = -1;
        counts[firstLayer] = 1;
    }

    /** Returns the lowest cost of a partial chain that ends at the layer, in us; infinite if there is none. */
    double bestUs(int layer) {
        return counts[layer] == 0 ? Double.POSITIVE_INFINITY : costUs[layer * WIDTH];
    }

    /** Adds a partial chain unless the boundary has enough cheaper ones; one for each last endpoint is kept. */
    void offer(int layer, double cost, HeldRange entry, int previousLabel) {
        int base = layer * WIDTH;
        int count = counts[layer];
        if (count == WIDTH && costUs[base + WIDTH - 1] <= cost) {
            return;
        }
        int same = -1;
        for (int i = 0; i < count; i++) {
            if (entries[base + i] == entry) {
                same = i;
            }
        }
        if (same >= 0 && costUs[base + same] <= cost) {
            return;
        }
        int position = base + (same >= 0 ? same : Math.min(count, WIDTH - 1));
        if (same < 0 && count < WIDTH) {
            counts[layer]++;
        }
        while (position > base && costUs[position - 1] > cost) {
            costUs[position] = costUs[position - 1];
            entries[position] = entries[position - 1];
            previous[position] = previous[position - 1];
            position--;
        }
        costUs[position] = cost;
        entries[position] = entry;
        previous[position] = previousLabel;
    }
}

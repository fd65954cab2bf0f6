package io.radishwinch.core.chain;

import java.util.Arrays;

/**
 * Labels of the cheapest partial chains at each layer boundary, in arrays that are reused between decisions.
 *
 * <p>Each boundary has several labels, because the delay of the next link depends on the last endpoint of a partial
 * chain.
 */
final class ChainLabels {

    /** Maximum number of labels at each boundary. */
    static final int LABELS_PER_BOUNDARY = 2;

    double[] costUs = new double[0];
    HeldRange[] lastRanges = new HeldRange[0];
    int[] previousLabels = new int[0];
    int[] labelCounts = new int[0];

    void reset(int firstLayer, int layerCount) {
        int size = (layerCount + 1) * LABELS_PER_BOUNDARY;
        if (costUs.length < size) {
            costUs = new double[size];
            lastRanges = new HeldRange[size];
            previousLabels = new int[size];
            labelCounts = new int[layerCount + 1];
        }
        Arrays.fill(labelCounts, 0);
        int start = firstLayer * LABELS_PER_BOUNDARY;
        costUs[start] = 0;
        lastRanges[start] = null;
        previousLabels[start] = -1;
        labelCounts[firstLayer] = 1;
    }

    /** Returns the lowest cost of a partial chain that ends at the layer, in us; infinite if there is none. */
    double minCostUs(int layer) {
        return labelCounts[layer] == 0 ? Double.POSITIVE_INFINITY : costUs[layer * LABELS_PER_BOUNDARY];
    }

    /**
     * Adds a partial chain unless the boundary is full of cheaper ones. At most one label is kept for each last range.
     */
    void offer(int layer, double cost, HeldRange entry, int previousLabel) {
        int base = layer * LABELS_PER_BOUNDARY;
        int count = labelCounts[layer];
        if (count == LABELS_PER_BOUNDARY && costUs[base + LABELS_PER_BOUNDARY - 1] <= cost) {
            return;
        }
        int same = -1;
        for (int i = 0; i < count; i++) {
            if (lastRanges[base + i] == entry) {
                same = i;
            }
        }
        if (same >= 0 && costUs[base + same] <= cost) {
            return;
        }
        int position = base + (same >= 0 ? same : Math.min(count, LABELS_PER_BOUNDARY - 1));
        if (same < 0 && count < LABELS_PER_BOUNDARY) {
            labelCounts[layer]++;
        }
        while (position > base && costUs[position - 1] > cost) {
            costUs[position] = costUs[position - 1];
            lastRanges[position] = lastRanges[position - 1];
            previousLabels[position] = previousLabels[position - 1];
            position--;
        }
        costUs[position] = cost;
        lastRanges[position] = entry;
        previousLabels[position] = previousLabel;
    }
}

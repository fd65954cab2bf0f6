package io.radishwinch.core.chain;

import java.util.Arrays;

/**
 * Estimate of the largest token rate of concurrent chains, each of which holds one slot on every stage.
 *
 * <p>A chain that takes T us for a token yields 1/T tokens/us and uses one slot of each of its endpoints, so that the
 * fastest chain of each endpoint, which the maximum flow uses, cannot be had by all at once. This is a fractional
 * packing of chains; the prices of the slots bound it from above. Source: N. Garg, J. Koenemann, "Faster and simpler
 * algorithms for multicommodity flow and other fractional packing problems", SIAM Journal on Computing 37(2), 2007. The
 * chain with the smallest product of price and time is searched for along the lower hull of both sums, so that the
 * result can be about a percent below the exact bound.
 */
final class ChainPacking {

    /** Growth of a price when a chain takes all slots of an endpoint; smaller values are slower and more exact. */
    private static final double STEP = 0.1;

    /** Searches for one chain; each improves the weight of time against price. */
    private static final int SEARCHES = 3;

    /** Gap between the bounds from above and below at which the estimate counts as final. */
    private static final double FINAL_GAP = 0.015;

    /** Chains after which the estimate counts as final in any case. */
    private static final int MAX_CHAINS = 4_000;

    private final int layerCount;
    private final int[] first;
    private final int[] end;
    private final double[] layerUs;
    private final double[] slots;
    private final double[][] linkUs;
    private final boolean[] boundary;
    private final double[] prices;
    private final double[] used;
    private final double[] costs;
    private final int[] previous;
    private double timeWeight = 1e-9;
    private double routed;
    private double upper = Double.MAX_VALUE;
    private int chains;

    /** Creates an estimate for stages that cover every layer; arrays are by stage; links in us. */
    ChainPacking(int layerCount, int[] first, int[] end, double[] layerUs, double[] slots, double[][] linkUs) {
        this.layerCount = layerCount;
        this.first = first;
        this.end = end;
        this.layerUs = layerUs;
        this.slots = slots;
        this.linkUs = linkUs;
        boundary = new boolean[layerCount + 1];
        prices = new double[first.length];
        used = new double[first.length];
        costs = new double[(layerCount + 1) * first.length];
        previous = new int[(layerCount + 1) * first.length];
        for (int i = 0; i < first.length; i++) {
            boundary[first[i]] = true;
            boundary[end[i]] = true;
            prices[i] = 1e-3 / slots[i];
        }
    }

    /** Returns whether further chains would change the estimate by little. */
    boolean isFinal() {
        if (chains >= MAX_CHAINS) {
            return true;
        }
        double mostUsed = Arrays.stream(used).max().orElse(1);
        return chains > 0 && routed / mostUsed >= upper * (1 - FINAL_GAP);
    }

    /** Returns the smallest bound so far in tokens/s, infinite before the first chain. */
    double tokensPerS() {
        return upper == Double.MAX_VALUE ? Double.POSITIVE_INFINITY : upper * 1e6;
    }

    /** Returns the price of a slot of a stage, in us of token time. */
    double priceUs(int stage) {
        return prices[stage] / timeWeight;
    }

    /** Adds chains and raises the prices of the slots that they use. */
    void improve(int count) {
        for (int i = 0; i < count && !isFinal(); i++) {
            addChain();
        }
    }

    private void addChain() {
        double bestProduct = Double.MAX_VALUE;
        double bestUs = 0;
        int[] best = new int[0];
        for (int n = 0; n < SEARCHES; n++) {
            int label = search();
            if (costs[label] == Double.MAX_VALUE) {
                // Stages without memory for a single request are left out, so that layers can be missing.
                upper = 0;
                chains = MAX_CHAINS;
                return;
            }
            double price = 0;
            double us = 0;
            int[] stages = new int[layerCount];
            int length = 0;
            while (label >= 0) {
                int stage = label % first.length;
                int before = previous[label];
                int from = before < 0 ? 0 : before / first.length;
                stages[length++] = stage;
                price += prices[stage];
                us += (label / first.length - from) * layerUs[stage];
                us += before < 0 ? 0 : linkUs[before % first.length][stage];
                label = before;
            }
            if (price * us < bestProduct) {
                bestProduct = price * us;
                bestUs = us;
                best = Arrays.copyOf(stages, length);
            }
            timeWeight = price / us;
        }
        double value = 0;
        for (int i = 0; i < slots.length; i++) {
            value += prices[i] * slots[i];
        }
        upper = Math.min(upper, value / bestProduct);
        double tokensPerUs = Double.MAX_VALUE;
        for (int stage : best) {
            tokensPerUs = Math.min(tokensPerUs, slots[stage] / bestUs);
        }
        routed += tokensPerUs;
        for (int stage : best) {
            double share = tokensPerUs * bestUs / slots[stage];
            used[stage] += share;
            prices[stage] *= 1 + STEP * share;
        }
        chains++;
    }

    /** Returns the end of the chain with the smallest sum of price and weighted time; labels are layer and stage. */
    private int search() {
        int count = first.length;
        Arrays.fill(costs, Double.MAX_VALUE);
        for (int layer = 0; layer < layerCount; layer++) {
            for (int stage = 0; boundary[layer] && stage < count; stage++) {
                if (first[stage] <= layer && layer < end[stage]) {
                    extend(layer, stage);
                }
            }
        }
        int best = layerCount * count;
        for (int label = best; label < costs.length; label++) {
            best = costs[label] < costs[best] ? label : best;
        }
        return best;
    }

    private void extend(int layer, int stage) {
        int count = first.length;
        double start = layer == 0 ? 0 : Double.MAX_VALUE;
        int from = -1;
        for (int label = layer * count; layer > 0 && label < (layer + 1) * count; label++) {
            int before = label - layer * count;
            if (costs[label] < start && before != stage) {
                double cost = costs[label] + timeWeight * linkUs[before][stage];
                if (cost < start) {
                    start = cost;
                    from = label;
                }
            }
        }
        if (start == Double.MAX_VALUE) {
            return;
        }
        for (int stop = layer + 1; stop <= end[stage]; stop++) {
            double cost = start + prices[stage] + (stop - layer) * timeWeight * layerUs[stage];
            int label = stop * count + stage;
            if (boundary[stop] && cost < costs[label]) {
                costs[label] = cost;
                previous[label] = from;
            }
        }
    }
}

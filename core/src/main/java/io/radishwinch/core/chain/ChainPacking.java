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
    private static final double PRICE_STEP = 0.1;

    /** Searches for one chain; each improves the weight of time against price. */
    private static final int SEARCHES_PER_CHAIN = 3;

    /** Gap between the bounds from above and below at which the estimate counts as final. */
    private static final double CONVERGED_GAP = 0.015;

    /** Chains after which the estimate counts as final in any case. */
    private static final int MAX_CHAINS = 4_000;

    private final int layerCount;
    private final int[] firstLayers;
    private final int[] endLayers;
    private final double[] layerTimesUs;
    private final double[] slots;
    private final double[][] linkDelaysUs;
    private final boolean[] isBoundary;
    private final double[] prices;
    private final double[] slotLoads;
    private final double[] costs;
    private final int[] previousLabels;
    private double timeWeight = 1e-9;
    private double routedTokensPerUs;
    private double upperBoundTokensPerUs = Double.MAX_VALUE;
    private int chainCount;

    /** Creates an estimate for stages that cover every layer; arrays are by stage; links in us. */
    ChainPacking(int layerCount, int[] first, int[] end, double[] layerUs, double[] slots, double[][] linkUs) {
        this.layerCount = layerCount;
        this.firstLayers = first;
        this.endLayers = end;
        this.layerTimesUs = layerUs;
        this.slots = slots;
        this.linkDelaysUs = linkUs;
        isBoundary = new boolean[layerCount + 1];
        prices = new double[first.length];
        slotLoads = new double[first.length];
        costs = new double[(layerCount + 1) * first.length];
        previousLabels = new int[(layerCount + 1) * first.length];
        for (int i = 0; i < first.length; i++) {
            isBoundary[first[i]] = true;
            isBoundary[end[i]] = true;
            prices[i] = 1e-3 / slots[i];
        }
    }

    /** Returns whether further chains would change the estimate by little. */
    boolean hasConverged() {
        if (chainCount >= MAX_CHAINS) {
            return true;
        }
        double mostUsed = Arrays.stream(slotLoads).max().orElse(1);
        return chainCount > 0 && routedTokensPerUs / mostUsed >= upperBoundTokensPerUs * (1 - CONVERGED_GAP);
    }

    /** Returns the smallest bound so far in tokens/s, infinite before the first chain. */
    double tokensPerS() {
        return upperBoundTokensPerUs == Double.MAX_VALUE ? Double.POSITIVE_INFINITY : upperBoundTokensPerUs * 1e6;
    }

    /** Returns the price of a slot of a stage, in us of token time. */
    double priceUs(int stage) {
        return prices[stage] / timeWeight;
    }

    /** Adds chains and raises the prices of the slots that they use. */
    void addChains(int count) {
        for (int i = 0; i < count && !hasConverged(); i++) {
            addChain();
        }
    }

    private void addChain() {
        double bestProduct = Double.MAX_VALUE;
        double bestUs = 0;
        int[] best = new int[0];
        for (int n = 0; n < SEARCHES_PER_CHAIN; n++) {
            int label = findCheapestLabel();
            if (costs[label] == Double.MAX_VALUE) {
                // Stages without memory for a single request are left out, so that layers can be missing.
                upperBoundTokensPerUs = 0;
                chainCount = MAX_CHAINS;
                return;
            }
            double price = 0;
            double us = 0;
            int[] stages = new int[layerCount];
            int length = 0;
            while (label >= 0) {
                int stage = label % firstLayers.length;
                int before = previousLabels[label];
                int from = before < 0 ? 0 : before / firstLayers.length;
                stages[length++] = stage;
                price += prices[stage];
                us += (label / firstLayers.length - from) * layerTimesUs[stage];
                us += before < 0 ? 0 : linkDelaysUs[before % firstLayers.length][stage];
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
        upperBoundTokensPerUs = Math.min(upperBoundTokensPerUs, value / bestProduct);
        double tokensPerUs = Double.MAX_VALUE;
        for (int stage : best) {
            tokensPerUs = Math.min(tokensPerUs, slots[stage] / bestUs);
        }
        routedTokensPerUs += tokensPerUs;
        for (int stage : best) {
            double share = tokensPerUs * bestUs / slots[stage];
            slotLoads[stage] += share;
            prices[stage] *= 1 + PRICE_STEP * share;
        }
        chainCount++;
    }

    /** Returns the end of the chain with the smallest sum of price and weighted time; labels are layer and stage. */
    private int findCheapestLabel() {
        int count = firstLayers.length;
        Arrays.fill(costs, Double.MAX_VALUE);
        for (int layer = 0; layer < layerCount; layer++) {
            for (int stage = 0; isBoundary[layer] && stage < count; stage++) {
                if (firstLayers[stage] <= layer && layer < endLayers[stage]) {
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
        int count = firstLayers.length;
        double start = layer == 0 ? 0 : Double.MAX_VALUE;
        int from = -1;
        for (int label = layer * count; layer > 0 && label < (layer + 1) * count; label++) {
            int before = label - layer * count;
            if (costs[label] < start && before != stage) {
                double cost = costs[label] + timeWeight * linkDelaysUs[before][stage];
                if (cost < start) {
                    start = cost;
                    from = label;
                }
            }
        }
        if (start == Double.MAX_VALUE) {
            return;
        }
        for (int stop = layer + 1; stop <= endLayers[stage]; stop++) {
            double cost = start + prices[stage] + (stop - layer) * timeWeight * layerTimesUs[stage];
            int label = stop * count + stage;
            if (isBoundary[stop] && cost < costs[label]) {
                costs[label] = cost;
                previousLabels[label] = from;
            }
        }
    }
}

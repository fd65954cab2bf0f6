package io.radishwinch.core.chain;

import java.util.Arrays;

/**
 * Estimates the highest total token rate of concurrent chains, each of which holds one slot on every stage.
 *
 * <p>A chain that takes T us per token yields 1/T tokens/us and uses one slot of each of its endpoints. The maximum
 * flow assumes the fastest chain for every endpoint, but these chains compete for the same slots. The estimate is a
 * fractional packing of chains, bounded from above by the prices of the slots. Source: N. Garg, J. Koenemann, "Faster
 * and simpler algorithms for multicommodity flow and other fractional packing problems", SIAM Journal on Computing
 * 37(2), 2007. The search for the chain with the smallest product of price and time considers only the lower convex
 * hull of both sums, so the result can be about one percent below the exact bound.
 */
final class ChainPacking {

    /**
     * Relative growth of a price when a chain uses all slots of an endpoint; smaller values converge more slowly and
     * more exactly.
     */
    private static final double PRICE_STEP = 0.1;

    /** Searches for each chain; every search refines the weight of time against price. */
    private static final int SEARCHES_PER_CHAIN = 3;

    /** Relative gap between upper and lower bound at which the estimate has converged. */
    private static final double CONVERGED_GAP = 0.015;

    /** Number of chains after which the estimate is used even if the gap is larger. */
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

    /**
     * Creates an estimate without chains.
     *
     * @param layerCount number of layers of the pool
     * @param firstLayers first layer of each stage
     * @param endLayers layer after the last one of each stage
     * @param layerTimesUs time of one layer for one token on each stage, in us
     * @param slots slots of each stage
     * @param linkDelaysUs delay from each stage to each other stage, in us
     */
    ChainPacking(
            int layerCount,
            int[] firstLayers,
            int[] endLayers,
            double[] layerTimesUs,
            double[] slots,
            double[][] linkDelaysUs) {
        this.layerCount = layerCount;
        this.firstLayers = firstLayers;
        this.endLayers = endLayers;
        this.layerTimesUs = layerTimesUs;
        this.slots = slots;
        this.linkDelaysUs = linkDelaysUs;
        isBoundary = new boolean[layerCount + 1];
        prices = new double[firstLayers.length];
        slotLoads = new double[firstLayers.length];
        costs = new double[(layerCount + 1) * firstLayers.length];
        previousLabels = new int[(layerCount + 1) * firstLayers.length];
        for (int i = 0; i < firstLayers.length; i++) {
            isBoundary[firstLayers[i]] = true;
            isBoundary[endLayers[i]] = true;
            prices[i] = 1e-3 / slots[i];
        }
    }

    /** Returns whether the estimate is within the convergence gap or has reached the maximum number of chains. */
    boolean hasConverged() {
        if (chainCount >= MAX_CHAINS) {
            return true;
        }
        double maxLoad = Arrays.stream(slotLoads).max().orElse(1);
        return chainCount > 0 && routedTokensPerUs / maxLoad >= upperBoundTokensPerUs * (1 - CONVERGED_GAP);
    }

    /** Returns the smallest upper bound so far in tokens/s, infinite before the first chain. */
    double tokensPerS() {
        return upperBoundTokensPerUs == Double.MAX_VALUE ? Double.POSITIVE_INFINITY : upperBoundTokensPerUs * 1e6;
    }

    /** Returns the price of one slot of a stage, in us of token time. */
    double priceUs(int stage) {
        return prices[stage] / timeWeight;
    }

    /** Adds up to {@code count} chains and raises the prices of the slots that they use. */
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
                // Stages without memory for a single request are left out, so some layers can be uncovered.
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

    /**
     * Returns the last label of the chain with the smallest sum of price and weighted time; a label is an index by
     * layer and stage.
     */
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

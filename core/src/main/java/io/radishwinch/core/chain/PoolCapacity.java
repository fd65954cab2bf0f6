package io.radishwinch.core.chain;

import io.radishwinch.core.model.ModelSpec;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes the capacities of the stages and links of a pool for {@link ThroughputBound} and {@link ChainPacking}.
 *
 * <p>An attempt holds its slot on every stage until the response ends. A slot therefore yields at most one token in the
 * time of the fastest chain through its endpoint, and an endpoint yields that rate times its slots. KV cache memory
 * limits the usable slots when the endpoint runs its whole range for requests of mean size.
 */
final class PoolCapacity {

    /** Width of a group of layer times on the natural logarithmic scale, about ten percent. */
    private static final double LAYER_TIME_GROUP_LOG = 0.1;

    private final EndpointTable table;
    private final ModelSpec pool;
    private final long nowMs;
    private final List<HeldRange> usableRanges = new ArrayList<>();
    private final Map<HeldRange, Integer> stageIndexes = new LinkedHashMap<>();
    private double minHopUs = Double.MAX_VALUE;

    PoolCapacity(EndpointTable table, ModelSpec pool, long nowMs) {
        this.nowMs = nowMs;
        this.table = table;
        this.pool = pool;
        PoolIndex index = table.pool(pool.name());
        if (index == null) {
            return;
        }
        for (HeldRange entry : index.heldRanges()) {
            if (entry.row.isUsable() && entry.first < pool.layerCount()) {
                usableRanges.add(entry);
            }
        }
    }

    /** Returns the maximum flow of the pool in tokens/s, 0 if the pool is not covered. */
    double tokensPerS() {
        // Single links limit only small pools; a large pool has many alternative paths.
        boolean isSmall = usableRanges.size() <= ThroughputBound.MAX_STAGES_WITH_PAIRS;
        List<ThroughputBound.LinkCapacity> links = isSmall ? linkCapacities() : List.of();
        return ThroughputBound.tokensPerS(pool.layerCount(), stageCapacities(), links);
    }

    /** Sets the slot price of every endpoint from the packing that {@link #createPacking} returned. */
    void applyPrices(ChainPacking packing) {
        stageIndexes.forEach((entry, stage) -> {
            entry.scarcityPriceUs = packing.priceUs(stage);
            table.refreshCandidates(entry.row);
        });
    }

    /**
     * Returns a packing without chains. In large pools, endpoints with the same range and similar layer times form one
     * stage.
     */
    ChainPacking createPacking() {
        for (HeldRange entry : usableRanges) {
            entry.row.outgoingLinks.all().forEach(link -> minHopUs = Math.min(minHopUs, link.delayUs));
        }
        minHopUs = minHopUs == Double.MAX_VALUE ? 0 : minHopUs;
        Map<List<Integer>, double[]> groups = new LinkedHashMap<>();
        boolean isPerEndpoint = usableRanges.size() <= ThroughputBound.MAX_STAGES_WITH_PAIRS;
        for (int i = 0; i < usableRanges.size(); i++) {
            HeldRange entry = usableRanges.get(i);
            int end = Math.min(entry.end, pool.layerCount());
            double layerUs = entry.row.layerTimeUs();
            int group = isPerEndpoint ? i : (int) Math.round(Math.log(layerUs) / LAYER_TIME_GROUP_LOG);
            double streams = concurrentStreams(entry, end);
            if (streams <= 0) {
                continue;
            }
            double[] sums =
                    groups.computeIfAbsent(List.of(entry.first, end, group), key -> new double[] {0, 0, groups.size()});
            stageIndexes.put(entry, (int) sums[2]);
            sums[0] += streams;
            sums[1] += streams * layerUs;
        }
        int[] firstLayers = new int[groups.size()];
        int[] endLayers = new int[groups.size()];
        double[] layerTimesUs = new double[groups.size()];
        double[] slots = new double[groups.size()];
        int i = 0;
        for (Map.Entry<List<Integer>, double[]> stage : groups.entrySet()) {
            firstLayers[i] = stage.getKey().get(0);
            endLayers[i] = stage.getKey().get(1);
            slots[i] = stage.getValue()[0];
            layerTimesUs[i++] = stage.getValue()[1] / slots[i - 1];
        }
        return new ChainPacking(
                pool.layerCount(),
                firstLayers,
                endLayers,
                layerTimesUs,
                slots,
                linkDelaysUs(firstLayers.length, isPerEndpoint));
    }

    /**
     * Returns the delays between stages in us: the expected delay for single endpoints, the smallest measured delay for
     * groups.
     */
    private double[][] linkDelaysUs(int count, boolean isPerEndpoint) {
        double[][] delaysUs = new double[count][count];
        for (double[] row : delaysUs) {
            Arrays.fill(row, minHopUs);
        }
        if (isPerEndpoint) {
            stageIndexes.forEach((from, i) -> stageIndexes.forEach(
                    (to, j) -> delaysUs[i][j] = table.links().unloadedDelayUs(from.row, to.row, nowMs)));
        }
        return delaysUs;
    }

    private List<ThroughputBound.LinkCapacity> linkCapacities() {
        List<ThroughputBound.LinkCapacity> links = new ArrayList<>();
        for (HeldRange from : usableRanges) {
            for (Link link : from.row.outgoingLinks.all()) {
                for (HeldRange to : link.to.heldRanges) {
                    if (link.capacityTokensPerS > 0 && to.pool.equals(pool.name()) && to.row.isUsable()) {
                        links.add(
                                new ThroughputBound.LinkCapacity(stageId(from), stageId(to), link.capacityTokensPerS));
                    }
                }
            }
        }
        return links;
    }

    private List<ThroughputBound.StageCapacity> stageCapacities() {
        double[] beforeUs = shortestTimesUs(true);
        double[] afterUs = shortestTimesUs(false);
        List<ThroughputBound.StageCapacity> stages = new ArrayList<>();
        for (HeldRange entry : usableRanges) {
            int end = Math.min(entry.end, pool.layerCount());
            double bestUs = Double.MAX_VALUE;
            for (int first = entry.first; first < end; first++) {
                for (int last = first + 1; last <= end; last++) {
                    double us = beforeUs[first] + (last - first) * entry.row.layerTimeUs() + afterUs[last];
                    bestUs = Math.min(bestUs, us);
                }
            }
            if (bestUs < Double.MAX_VALUE) {
                stages.add(new ThroughputBound.StageCapacity(
                        stageId(entry), entry.first, end, concurrentStreams(entry, end) * 1e6 / bestUs));
            }
        }
        return stages;
    }

    private double concurrentStreams(HeldRange entry, int end) {
        double meanTokens = table.pool(pool.name()).meanRequestTokens();
        double bytes = meanTokens * pool.kvBytesPerToken() * (end - entry.first) / pool.layerCount();
        int slots = entry.row.spec().slots();
        return bytes == 0 ? slots : Math.min(slots, entry.row.kvCapacityBytes() / bytes);
    }

    /**
     * Returns the shortest time from layer zero to each boundary, or from each boundary to the last layer, in us.
     * Includes the hop delay at the boundary.
     */
    private double[] shortestTimesUs(boolean isFromStart) {
        int count = pool.layerCount();
        double[] layerUs = new double[count];
        Arrays.fill(layerUs, Double.MAX_VALUE);
        for (HeldRange entry : usableRanges) {
            for (int layer = entry.first; layer < Math.min(entry.end, count); layer++) {
                layerUs[layer] = Math.min(layerUs[layer], entry.row.layerTimeUs());
            }
        }
        double[] us = new double[count + 1];
        for (int i = 1; i <= count; i++) {
            int layer = isFromStart ? i - 1 : count - i;
            int boundary = isFromStart ? i : count - i;
            us[boundary] = us[isFromStart ? i - 1 : count - i + 1] + layerUs[layer];
        }
        for (int boundary = 0; boundary <= count; boundary++) {
            boolean isEdge = boundary == (isFromStart ? 0 : count);
            us[boundary] += isEdge ? 0 : minHopUs;
        }
        return us;
    }

    private static String stageId(HeldRange entry) {
        return entry.row.id() + " " + entry.first;
    }
}

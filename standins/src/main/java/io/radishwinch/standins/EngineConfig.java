package io.radishwinch.standins;

import io.radishwinch.core.model.LayerRange;
import java.util.Map;

/**
 * Fixed properties of an engine stand-in.
 *
 * @param id endpoint identifier
 * @param dataCentre data centre
 * @param port TCP port, or 0 for any
 * @param acceleratorKind kind of accelerator
 * @param layerTimeUs time of one layer for one batch of at most {@code slots} tokens, in us
 * @param slots attempts that run at the same time; further ones wait in a queue of the same length
 * @param model model that the engine holds
 * @param layers layers that it holds
 * @param links links to other engines by endpoint; others have {@link Link#DEFAULT}
 * @param honoursFencing whether it refuses orders with an old fencing number
 * @param orderKey key that orders must show, or an empty string for no check
 * @param cacheBlocks blocks that the prompt-prefix cache holds
 * @param kvTokens tokens that the KV cache holds
 * @param timing delays of reports, cache events and loading
 */
public record EngineConfig(
        String id,
        String dataCentre,
        int port,
        String acceleratorKind,
        double layerTimeUs,
        int slots,
        String model,
        LayerRange layers,
        Map<String, Link> links,
        boolean honoursFencing,
        String orderKey,
        int cacheBlocks,
        int kvTokens,
        Timing timing) {

    /** Copies the links. */
    public EngineConfig {
        links = Map.copyOf(links);
    }

    /** Returns a configuration with 16 slots, no special links, fencing honoured and no order key. */
    public static EngineConfig of(String id, String acceleratorKind, double layerTimeUs, LayerRange layers) {
        return new EngineConfig(
                id,
                "dc1",
                0,
                acceleratorKind,
                layerTimeUs,
                16,
                StandInFleet.MODEL,
                layers,
                Map.of(),
                true,
                "",
                4_096,
                1_000_000,
                Timing.DEFAULT);
    }

    /** Returns a copy with another data centre. */
    public EngineConfig withDataCentre(String newDataCentre) {
        return copy(newDataCentre, slots, links, honoursFencing, orderKey, cacheBlocks, timing);
    }

    /** Returns a copy with another number of slots. */
    public EngineConfig withSlots(int newSlots) {
        return copy(dataCentre, newSlots, links, honoursFencing, orderKey, cacheBlocks, timing);
    }

    /** Returns a copy with other links. */
    public EngineConfig withLinks(Map<String, Link> newLinks) {
        return copy(dataCentre, slots, newLinks, honoursFencing, orderKey, cacheBlocks, timing);
    }

    /** Returns a copy that ignores or honours fencing numbers. */
    public EngineConfig withFencing(boolean newHonoursFencing) {
        return copy(dataCentre, slots, links, newHonoursFencing, orderKey, cacheBlocks, timing);
    }

    /** Returns a copy that demands a key with orders; an empty one demands none. */
    public EngineConfig withOrderKey(String newOrderKey) {
        return copy(dataCentre, slots, links, honoursFencing, newOrderKey, cacheBlocks, timing);
    }

    /** Returns a copy with another size of the prompt-prefix cache, in blocks. */
    public EngineConfig withCacheBlocks(int newCacheBlocks) {
        return copy(dataCentre, slots, links, honoursFencing, orderKey, newCacheBlocks, timing);
    }

    /** Returns a copy with other delays. */
    public EngineConfig withTiming(Timing newTiming) {
        return copy(dataCentre, slots, links, honoursFencing, orderKey, cacheBlocks, newTiming);
    }

    private EngineConfig copy(
            String newDataCentre,
            int newSlots,
            Map<String, Link> newLinks,
            boolean newHonoursFencing,
            String newOrderKey,
            int newCacheBlocks,
            Timing newTiming) {
        return new EngineConfig(
                id,
                newDataCentre,
                port,
                acceleratorKind,
                layerTimeUs,
                newSlots,
                model,
                layers,
                newLinks,
                newHonoursFencing,
                newOrderKey,
                newCacheBlocks,
                kvTokens,
                newTiming);
    }

    /**
     * Link to another engine.
     *
     * @param delayUs one-way delay, in us
     * @param tokensPerS capacity in tokens/s
     */
    public record Link(long delayUs, double tokensPerS) {
        /** Link within a rack. */
        public static final Link DEFAULT = new Link(50, 100_000);
    }

    /**
     * Delays of what the engine tells and does.
     *
     * @param reportIntervalMs age up to which a load report lags, in ms
     * @param cacheEventDelayMs delay of cache events, in ms
     * @param cacheEventLossInterval one of this many cache events is lost; 0 loses none
     * @param loadMsPerLayer time to load one layer, in ms
     */
    public record Timing(
            long reportIntervalMs, long cacheEventDelayMs, int cacheEventLossInterval, long loadMsPerLayer) {
        /** Short delays without gaps. */
        public static final Timing DEFAULT = new Timing(100, 50, 0, 20);
    }
}

package io.radishwinch.standins;

import io.radishwinch.core.model.LayerRange;
import java.util.Map;

/**
 * Fixed properties of an engine stand-in.
 *
 * @param id endpoint identifier
 * @param dataCentre data centre of the engine
 * @param port TCP port, or 0 for an ephemeral port
 * @param acceleratorKind kind of accelerator
 * @param layerTimeUs time of one layer for one batch of at most {@code slots} tokens, in us
 * @param slots maximum number of running attempts, and also of queued attempts
 * @param model model of the layers that the engine holds
 * @param layers layers that the engine holds at its start
 * @param links links to other engines by endpoint; others have {@link Link#DEFAULT}
 * @param honoursFencing whether orders with a stale fencing token are rejected
 * @param orderKey bearer key that orders must carry, or an empty string to accept orders without a key
 * @param cacheBlocks capacity of the prompt-prefix cache, in blocks
 * @param kvTokens capacity of the KV cache, in tokens
 * @param timing delays of load reports, cache events and layer loading
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

    /** Creates a configuration with an immutable copy of the links. */
    public EngineConfig {
        links = Map.copyOf(links);
    }

    /** Returns a configuration with 16 slots, default links, fencing honoured and no order key. */
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

    /** Returns a copy with the given data centre. */
    public EngineConfig withDataCentre(String newDataCentre) {
        return copy(newDataCentre, slots, links, honoursFencing, orderKey, cacheBlocks, timing);
    }

    /** Returns a copy with the given number of slots. */
    public EngineConfig withSlots(int newSlots) {
        return copy(dataCentre, newSlots, links, honoursFencing, orderKey, cacheBlocks, timing);
    }

    /** Returns a copy with the given links. */
    public EngineConfig withLinks(Map<String, Link> newLinks) {
        return copy(dataCentre, slots, newLinks, honoursFencing, orderKey, cacheBlocks, timing);
    }

    /** Returns a copy that honours or ignores fencing tokens. */
    public EngineConfig withFencing(boolean newHonoursFencing) {
        return copy(dataCentre, slots, links, newHonoursFencing, orderKey, cacheBlocks, timing);
    }

    /** Returns a copy that requires the given key with orders; an empty string requires none. */
    public EngineConfig withOrderKey(String newOrderKey) {
        return copy(dataCentre, slots, links, honoursFencing, newOrderKey, cacheBlocks, timing);
    }

    /** Returns a copy with the given capacity of the prompt-prefix cache, in blocks. */
    public EngineConfig withCacheBlocks(int newCacheBlocks) {
        return copy(dataCentre, slots, links, honoursFencing, orderKey, newCacheBlocks, timing);
    }

    /** Returns a copy with the given delays. */
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
     * Simulated network link to another engine.
     *
     * @param delayUs one-way delay, in us
     * @param tokensPerS throughput, in tokens/s
     */
    public record Link(long delayUs, double tokensPerS) {
        /** A link within a rack. */
        public static final Link DEFAULT = new Link(50, 100_000);
    }

    /**
     * Delays of load reports, cache events and layer loading.
     *
     * @param reportIntervalMs interval between updates of the load report, in ms
     * @param cacheEventDelayMs delay until a cache event is visible, in ms
     * @param cacheEventLossInterval number of cache events of which one is lost; 0 loses none
     * @param loadMsPerLayer time to load one layer, in ms
     */
    public record Timing(
            long reportIntervalMs, long cacheEventDelayMs, int cacheEventLossInterval, long loadMsPerLayer) {
        /** Short delays without lost cache events. */
        public static final Timing DEFAULT = new Timing(100, 50, 0, 20);
    }
}

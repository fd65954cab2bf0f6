package io.radishwinch.bench;

import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.LoadReport;
import io.radishwinch.core.model.ModelSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A pseudorandom pool of engines of seven accelerator kinds; the delays and rates of their links vary by a factor of
 * 100.
 */
final class EnginePool {
    static final ModelSpec MODEL = new ModelSpec("m", 40, 1L << 29, 40 * 4_096L, 8_192);

    private static final int[] LAYERS_PER_ENGINE = {20, 10, 10, 8, 8, 5, 4};
    private static final double[] LAYER_TIMES_US = {300, 350, 500, 450, 700, 900, 1_200};
    private static final int[] SLOTS_PER_ENGINE = {32, 24, 24, 16, 16, 12, 8};
    private static final int DATA_CENTRES = 3;
    private static final double LINK_MAX_TO_MIN_RATIO = 100;
    private static final double MIN_LINK_DELAY_US = 20;
    private static final double MAX_LINK_TOKENS_PER_S = 60_000;

    final List<EndpointSpec> specs = new ArrayList<>();
    final List<LayerRange> layerRanges = new ArrayList<>();
    final List<Double> layerTimesUs = new ArrayList<>();
    final List<Long> kvCapacityBytes = new ArrayList<>();
    final List<Event.LinkMeasured> links = new ArrayList<>();
    private final Map<Long, Long> linkDelaysUs = new HashMap<>();

    /**
     * Creates a pool in which every endpoint has measured links to at most {@code linksPerEndpoint} other endpoints.
     */
    EnginePool(int size, long seed, int linksPerEndpoint) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            int kind = i % LAYERS_PER_ENGINE.length;
            int slices = MODEL.layerCount() / LAYERS_PER_ENGINE[kind];
            int first = i / LAYERS_PER_ENGINE.length % slices * LAYERS_PER_ENGINE[kind];
            addEngine(kind, new LayerRange(first, first + LAYERS_PER_ENGINE[kind]), random);
        }
        addLinks(linksPerEndpoint, random);
    }

    /** Creates a pool of endpoints of one kind that hold the given layer ranges and have links to all others. */
    EnginePool(List<LayerRange> layerRanges, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        layerRanges.forEach(range -> addEngine(1, range, random));
        addLinks(layerRanges.size() - 1, random);
    }

    private void addEngine(int kind, LayerRange range, SplittableRandom random) {
        int i = specs.size();
        specs.add(new EndpointSpec(
                String.format("e%04d", i),
                "dc" + i % DATA_CENTRES,
                "127.0.0.1",
                i,
                "k" + kind,
                SLOTS_PER_ENGINE[kind],
                true,
                true));
        layerRanges.add(range);
        layerTimesUs.add(LAYER_TIMES_US[kind] * (0.9 + 0.2 * random.nextDouble()));
        // Memory for 0.7 to 1.7 times the slots at 300 tokens, so that memory limits some endpoints and slots others.
        kvCapacityBytes.add(
                (long) (SLOTS_PER_ENGINE[kind] * 300L * 4_096 * range.size() * (0.7 + random.nextDouble())));
    }

    private void addLinks(int linksPerEndpoint, SplittableRandom random) {
        int size = specs.size();
        for (int i = 0; i < size; i++) {
            for (int n = 0; n < Math.min(size - 1, linksPerEndpoint); n++) {
                int to = linksPerEndpoint >= size - 1 ? (i + 1 + n) % size : random.nextInt(size);
                long delayUs = (long) (MIN_LINK_DELAY_US * Math.pow(LINK_MAX_TO_MIN_RATIO, random.nextDouble()));
                double tokensPerS = MAX_LINK_TOKENS_PER_S / Math.pow(LINK_MAX_TO_MIN_RATIO, random.nextDouble());
                links.add(new Event.LinkMeasured(id(i), id(to), delayUs, tokensPerS));
                linkDelaysUs.put((long) i * size + to, delayUs);
            }
        }
    }

    int size() {
        return specs.size();
    }

    String id(int i) {
        return specs.get(i).id();
    }

    int index(String id) {
        return Integer.parseInt(id.substring(1));
    }

    double linkDelayUs(int from, int to) {
        return linkDelaysUs.getOrDefault((long) from * size() + to, 500L);
    }

    LoadReport loadReport(int i, int running, long usedKvBytes, long nowMs) {
        List<Holding> holdings =
                layerRanges.get(i) == null ? List.of() : List.of(new Holding(MODEL.name(), layerRanges.get(i)));
        return new LoadReport(
                id(i), holdings, running, 0, kvCapacityBytes.get(i) - usedKvBytes, layerTimesUs.get(i), nowMs);
    }
}

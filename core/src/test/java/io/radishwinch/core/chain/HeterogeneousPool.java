package io.radishwinch.core.chain;

import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.LoadReport;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RequestSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Pseudo-random pool of seven accelerator kinds with limited KV cache memory and with link delays that differ by a
 * factor of one hundred.
 */
final class HeterogeneousPool {

    static final ModelSpec MODEL = new ModelSpec("m", 40, 1L << 29, 40 * 4096L, 8192);
    private static final int[] SPANS = {20, 10, 10, 8, 8, 5, 4};
    private static final double[] LAYER_TIMES_US = {300, 350, 500, 450, 700, 900, 1200};
    private static final int[] SLOTS = {32, 24, 24, 16, 16, 12, 8};

    final List<EndpointSpec> specs = new ArrayList<>();
    final List<LayerRange> ranges = new ArrayList<>();
    final List<Double> layerTimesUs = new ArrayList<>();
    final List<Long> kvBytes = new ArrayList<>();
    final List<Event.LinkMeasured> links = new ArrayList<>();

    HeterogeneousPool(int size, long seed, int linksPerEndpoint) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            int kind = i % SPANS.length;
            int rangeCount = MODEL.layerCount() / SPANS[kind];
            int first = i / SPANS.length % rangeCount * SPANS[kind];
            specs.add(new EndpointSpec(
                    String.format("e%04d", i), "dc" + i % 3, "127.0.0.1", i, "k" + kind, SLOTS[kind], true, true));
            ranges.add(new LayerRange(first, first + SPANS[kind]));
            layerTimesUs.add(LAYER_TIMES_US[kind] * (0.9 + 0.2 * random.nextDouble()));
            // Memory for 0.7 to 1.7 times the slots at 300 tokens, so that it limits only some endpoints.
            kvBytes.add((long) (SLOTS[kind] * 300L * 4096 * SPANS[kind] * (0.7 + random.nextDouble())));
        }
        for (int i = 0; i < size; i++) {
            for (int n = 0; n < Math.min(size - 1, linksPerEndpoint); n++) {
                int to = linksPerEndpoint >= size - 1 ? (i + 1 + n) % size : random.nextInt(size);
                long delayUs = (long) (20 * Math.pow(100, random.nextDouble()));
                double tokensPerS = 60_000 / Math.pow(100, random.nextDouble());
                links.add(new Event.LinkMeasured(id(i), id(to), delayUs, tokensPerS));
            }
        }
    }

    int size() {
        return specs.size();
    }

    String id(int i) {
        return specs.get(i).id();
    }

    LoadReport report(int i, int running, long kvUsed, long nowMs) {
        List<Holding> holdings = List.of(new Holding(MODEL.name(), ranges.get(i)));
        return new LoadReport(id(i), holdings, running, 0, kvBytes.get(i) - kvUsed, layerTimesUs.get(i), nowMs);
    }

    TableEndpointDirectory directory(long nowMs) {
        TableEndpointDirectory directory = new TableEndpointDirectory();
        directory.handle(
                new Event.ConfigChanged(new FleetConfig(1, Map.of(), Map.of(MODEL.name(), MODEL), Map.of())), nowMs);
        for (int i = 0; i < size(); i++) {
            directory.handle(new Event.EndpointJoined(specs.get(i)), nowMs);
            directory.handle(new Event.LoadReported(report(i, 0, 0, nowMs)), nowMs);
        }
        links.forEach(link -> directory.handle(link, nowMs));
        return directory;
    }

    static RequestSpec request(long number, int promptTokens, int newTokens, long nowMs) {
        String id = "r" + number;
        return new RequestSpec(
                id, "c", Rank.INTERACTIVE, "m", promptTokens, newTokens, nowMs, nowMs + 60_000, id, List.of(), true);
    }
}

package io.radishwinch.bench;

import io.radishwinch.core.model.EnginePoolSpec;
import java.util.Arrays;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Capacity of each layer of a model at one time, by data centre.
 *
 * @param atMs time of the sample, in ms
 * @param slots mean requests that the live holders of a layer can run at once, by data centre and layer
 * @param requestsPerS mean requests/s that they can take, by data centre and layer
 */
record LayerCapacitySample(long atMs, Map<String, double[]> slots, Map<String, double[]> requestsPerS) {

    /**
     * Samples the engines. The first layer is also limited by the slots and request limits of its holders.
     *
     * @param meanServiceS time for which a mean request occupies a slot, in s
     */
    static LayerCapacitySample take(
            long atMs, Collection<BatchingEngine> engines, EnginePoolSpec pool, double meanServiceS) {
        int layerCount = BatchingPool.MODEL.layerCount();
        Map<String, double[]> slots = new TreeMap<>();
        Map<String, double[]> requestsPerS = new TreeMap<>();
        for (BatchingEngine engine : engines) {
            String dataCentre = engine.spec.dataCentre();
            double[] layerSlots = slots.computeIfAbsent(dataCentre, key -> new double[layerCount]);
            double[] layerRequestsPerS = requestsPerS.computeIfAbsent(dataCentre, key -> new double[layerCount]);
            if (!engine.isAlive || engine.layers == null) {
                continue;
            }
            double capacity =
                    pool.requestCapacity(engine.spec.acceleratorKind(), engine.layers.size(), BatchingPool.MODEL);
            for (int layer = engine.layers.first(); layer < engine.layers.end(); layer++) {
                double usable = layer == 0 ? Math.min(engine.spec.slots(), capacity) : capacity;
                double limitPerS = layer == 0 ? engine.requestLimitPerS() : Double.POSITIVE_INFINITY;
                layerSlots[layer] += usable;
                layerRequestsPerS[layer] += Math.min(limitPerS, usable / meanServiceS);
            }
        }
        return new LayerCapacitySample(atMs, slots, requestsPerS);
    }

    /** Returns the slots of the scarcest layer over all data centres. */
    double minSlots() {
        return min(slots);
    }

    /** Returns the requests/s of the scarcest layer over all data centres. */
    double minRequestsPerS() {
        return min(requestsPerS);
    }

    /**
     * Returns the requests/s that data centres can serve without hops between them: the sum of their scarcest layers.
     */
    double localRequestsPerS() {
        return requestsPerS.values().stream()
                .mapToDouble(layers -> Arrays.stream(layers).min().orElse(0))
                .sum();
    }

    private static double min(Map<String, double[]> byDataCentre) {
        double[] sums = new double[BatchingPool.MODEL.layerCount()];
        for (double[] layers : byDataCentre.values()) {
            for (int layer = 0; layer < sums.length; layer++) {
                sums[layer] += layers[layer];
            }
        }
        return Arrays.stream(sums).min().orElse(0);
    }
}

package io.radishwinch.core.model;

import java.util.Map;

/**
 * Properties of the engines that serve a model, as needed for placement.
 *
 * @param meanRequestTokens mean prompt and generated tokens of a request
 * @param tokensPerEvent tokens in one event of a response stream
 * @param loadMs time to load the weights of the whole model into one engine, in ms
 * @param referenceStepUs time of one decoding step over all layers on the reference accelerator, in us
 * @param crossDataCentreTransferUs time for which the activations of a prompt of mean size occupy the path between two
 *     data centres, in us
 * @param accelerators accelerator properties by kind
 */
public record EnginePoolSpec(
        int meanRequestTokens,
        int tokensPerEvent,
        long loadMs,
        double referenceStepUs,
        double crossDataCentreTransferUs,
        Map<String, AcceleratorSpec> accelerators) {

    /** Copies the map. */
    public EnginePoolSpec {
        accelerators = Map.copyOf(accelerators);
    }

    /** Returns the memory of an accelerator in bytes, or 0 if the kind is unknown. */
    public long memoryBytes(String kind) {
        AcceleratorSpec accelerator = accelerators.get(kind);
        return accelerator == null ? 0 : accelerator.memoryBytes();
    }

    /** Returns the time of one layer for one token on an idle accelerator in us, or 0 if the kind is unknown. */
    public double layerTimeUs(String kind, ModelSpec model) {
        AcceleratorSpec accelerator = accelerators.get(kind);
        return accelerator == null ? 0 : referenceStepUs * accelerator.relativeStepTime() / model.layerCount();
    }

    /**
     * Returns the memory that remains for the KV cache after loading the given number of layers, in bytes; at least 0.
     */
    public long kvBytes(String kind, int layers, ModelSpec model) {
        return Math.max(0, memoryBytes(kind) - layers * model.layerBytes());
    }

    /**
     * Returns the number of requests of mean size whose KV cache fits into the memory that remains after loading the
     * given number of layers.
     */
    public double requestCapacity(String kind, int layers, ModelSpec model) {
        double bytesPerRequest = requestBytesPerLayer(model) * layers;
        return bytesPerRequest == 0 ? 0 : kvBytes(kind, layers, model) / bytesPerRequest;
    }

    /**
     * Returns the maximum number of layers that leaves enough KV cache memory for the given number of requests of mean
     * size.
     */
    public int maxLayersForRequests(String kind, double requests, ModelSpec model) {
        double bytesPerLayer = model.layerBytes() + requests * requestBytesPerLayer(model);
        return (int) Math.min(model.layerCount(), memoryBytes(kind) / bytesPerLayer);
    }

    private double requestBytesPerLayer(ModelSpec model) {
        return (double) meanRequestTokens * model.kvBytesPerToken() / model.layerCount();
    }
}

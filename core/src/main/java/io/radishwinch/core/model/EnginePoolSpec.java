package io.radishwinch.core.model;

import java.util.Map;

/**
 * What placement needs to know of the engines that serve a model.
 *
 * @param meanRequestTokens mean tokens of a request, prompt and answer together
 * @param tokensPerEvent tokens that one event of an answer carries
 * @param loadMs time to load the weights of the whole model into one engine, in ms
 * @param referenceStepUs time of one decoding step over all layers on the reference accelerator, in us
 * @param crossDataCentreTransferUs time that the activations of a usual prompt occupy the path between two data
 *     centres, in us
 * @param accelerators accelerators by kind
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

    /** Returns the memory of an accelerator in bytes, or 0 if its kind is unknown. */
    public long memoryBytes(String kind) {
        AcceleratorSpec accelerator = accelerators.get(kind);
        return accelerator == null ? 0 : accelerator.memoryBytes();
    }

    /** Returns the time of one layer for one token on an idle accelerator in us, or 0 if its kind is unknown. */
    public double layerTimeUs(String kind, ModelSpec model) {
        AcceleratorSpec accelerator = accelerators.get(kind);
        return accelerator == null ? 0 : referenceStepUs * accelerator.relativeStepTime() / model.layerCount();
    }

    /** Returns the KV cache memory that is left beside the weights of some layers, in bytes; not below zero. */
    public long kvBytes(String kind, int layers, ModelSpec model) {
        return Math.max(0, memoryBytes(kind) - layers * model.layerBytes());
    }

    /** Returns the requests of usual size whose KV cache fits beside the weights of some layers. */
    public double requestCapacity(String kind, int layers, ModelSpec model) {
        double bytesPerRequest = requestBytesPerLayer(model) * layers;
        return bytesPerRequest == 0 ? 0 : kvBytes(kind, layers, model) / bytesPerRequest;
    }

    /** Returns the most layers that leave room for a number of requests of usual size. */
    public int maxLayersForRequests(String kind, double requests, ModelSpec model) {
        double bytesPerLayer = model.layerBytes() + requests * requestBytesPerLayer(model);
        return (int) Math.min(model.layerCount(), memoryBytes(kind) / bytesPerLayer);
    }

    private double requestBytesPerLayer(ModelSpec model) {
        return (double) meanRequestTokens * model.kvBytesPerToken() / model.layerCount();
    }
}

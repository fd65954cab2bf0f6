package io.radishwinch.core.model;

/**
 * Properties of a kind of accelerator.
 *
 * @param kind name of the kind
 * @param memoryBytes memory for weights and KV cache, in bytes
 * @param relativeStepTime time of one decoding step as a multiple of that of the reference accelerator
 * @param relativePromptTime time to process a prompt as a multiple of that of the reference accelerator
 */
public record AcceleratorSpec(String kind, long memoryBytes, double relativeStepTime, double relativePromptTime) {}

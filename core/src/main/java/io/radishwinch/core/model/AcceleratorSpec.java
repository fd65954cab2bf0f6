package io.radishwinch.core.model;

/**
 * A kind of accelerator.
 *
 * @param kind name
 * @param memoryBytes memory for weights and KV cache, in bytes
 * @param relativeStepTime time of one decoding step relative to the reference accelerator
 * @param relativePromptTime time to process a prompt relative to the reference accelerator
 */
public record AcceleratorSpec(String kind, long memoryBytes, double relativeStepTime, double relativePromptTime) {}

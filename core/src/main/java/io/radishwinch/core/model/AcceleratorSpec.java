package io.radishwinch.core.model;

/**
 * A kind of accelerator.
 *
 * @param kind name
 * @param memoryBytes memory for weights and KV cache, in bytes
 * @param stepPace time of one decoding step relative to the reference accelerator
 * @param promptPace time to process a prompt relative to the reference accelerator
 */
public record AcceleratorSpec(String kind, long memoryBytes, double stepPace, double promptPace) {}

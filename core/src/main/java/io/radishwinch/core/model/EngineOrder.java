package io.radishwinch.core.model;

/** An order to an engine to change what it holds or does. */
public sealed interface EngineOrder {

    /**
     * Load a range of layers, replacing what the engine holds.
     *
     * @param model model name
     * @param layers layers to load
     */
    record LoadLayers(String model, LayerRange layers) implements EngineOrder {}

    /**
     * Load an adapter next to the model.
     *
     * @param model model name
     * @param adapter adapter name
     */
    record LoadAdapter(String model, String adapter) implements EngineOrder {}

    /**
     * Replace the weights by another version of the same model.
     *
     * @param model model name
     * @param weightsVersion version in the weight store
     */
    record LoadVersion(String model, String weightsVersion) implements EngineOrder {}

    /**
     * Change the engine's role.
     *
     * @param role new role
     */
    record ChangeRole(Role role) implements EngineOrder {}

    /** Role of an engine. */
    enum Role {
        /** Prompt processing and token generation. */
        MIXED,
        /** Prompt processing only. */
        PREFILL,
        /** Token generation only. */
        DECODE
    }
}

package io.radishwinch.core.model;

/** An order to an engine to change what it holds or does. */
public sealed interface EngineOrder {

    /**
     * Load a range of layers, replacing what the engine holds.
     *
     * @param model model name
     * @param layers layers to load
     * @param handover what becomes of the streams that pass through layers given up
     */
    record LoadLayers(String model, LayerRange layers, Handover handover) implements EngineOrder {

        /** Creates an order that lets running streams end first. */
        public LoadLayers(String model, LayerRange layers) {
            this(model, layers, Handover.WAIT);
        }
    }

    /** What becomes of the streams that pass through layers that an engine gives up. */
    enum Handover {
        /** They end first, which may take as long as the longest of them. */
        WAIT,
        /** They are cut at once, so that the new layers serve as soon as they are loaded. */
        CUT
    }

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

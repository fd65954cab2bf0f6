package io.radishwinch.core.model;

/** Order to an engine to change its layers, adapters, weights or role. */
public sealed interface EngineOrder {

    /**
     * Loads a range of layers, which replaces the layers that the engine holds.
     *
     * @param model model name
     * @param layers layers to load
     * @param handover treatment of the streams that use the unloaded layers
     */
    record LoadLayers(String model, LayerRange layers, Handover handover) implements EngineOrder {

        /** Creates an order that waits for running streams to end. */
        public LoadLayers(String model, LayerRange layers) {
            this(model, layers, Handover.WAIT);
        }
    }

    /** Treatment of the streams that use layers which an engine unloads. */
    enum Handover {
        /** The engine waits until the streams end, which takes as long as the longest of them. */
        WAIT,
        /**
         * The engine interrupts the streams immediately, so that the new layers are available as soon as they are
         * loaded.
         */
        CUT
    }

    /**
     * Loads an adapter in addition to the model.
     *
     * @param model model name
     * @param adapter adapter name
     */
    record LoadAdapter(String model, String adapter) implements EngineOrder {}

    /**
     * Replaces the weights by another version of the same model.
     *
     * @param model model name
     * @param weightsVersion version in the weight store
     */
    record LoadVersion(String model, String weightsVersion) implements EngineOrder {}

    /**
     * Changes the role of the engine.
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

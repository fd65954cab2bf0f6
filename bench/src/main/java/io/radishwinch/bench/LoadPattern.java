package io.radishwinch.bench;

import io.radishwinch.core.model.EnginePoolSpec;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/** Disturbance of a pool while requests arrive. */
enum LoadPattern {
    /** No disturbance. */
    CALM {
        @Override
        void apply(BatchingPoolSimulation simulation, double requestsPerS) {}
    },

    /** Three of 39 engines crash at once: those that hold most of the first layers. */
    FIRST_HOLDERS_LOST {
        @Override
        void apply(BatchingPoolSimulation simulation, double requestsPerS) {
            firstHolders(simulation, 3).forEach(engine -> simulation.crash(engine.spec.id(), DOWN_MS));
        }
    },

    /**
     * Six of 39 engines, those that hold most of the first layers, take a fifth of the requests that each holder of the
     * first layer would take if they shared them evenly.
     */
    REQUEST_LIMITS {
        @Override
        void apply(BatchingPoolSimulation simulation, double requestsPerS) {
            long holders = simulation.engines.values().stream()
                    .filter(engine -> heldFirstLayers(engine) > 0)
                    .count();
            double limitPerS = LIMIT_SHARE * requestsPerS / Math.max(1, holders);
            firstHolders(simulation, 6)
                    .forEach(engine -> simulation.limitRequests(engine.spec.id(), limitPerS, LIMITED_MS));
        }
    };

    private static final int REFERENCE_SIZE = 39;
    private static final long DOWN_MS = 5_000;
    private static final long LIMITED_MS = 15_000;
    private static final double LIMIT_SHARE = 0.2;

    /** Share of the layers that count as first. */
    private static final double FIRST_LAYERS_SHARE = 0.1;

    /** Starts the disturbance now, at the given rate of arrivals. */
    abstract void apply(BatchingPoolSimulation simulation, double requestsPerS);

    String figureName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the engines that hold most of the first layers, as many of 39 as given; larger ones first. */
    private static List<BatchingEngine> firstHolders(BatchingPoolSimulation simulation, int ofReferenceSize) {
        EnginePoolSpec pool = simulation.pool.spec();
        int size = simulation.engines.size();
        long count = Math.max(1, Math.round((double) ofReferenceSize * size / REFERENCE_SIZE));
        return simulation.engines.values().stream()
                .filter(engine -> engine.layers != null)
                .sorted(Comparator.comparingInt((BatchingEngine engine) -> -heldFirstLayers(engine))
                        .thenComparing(engine -> -pool.requestCapacity(
                                engine.spec.acceleratorKind(), engine.layers.size(), BatchingPool.MODEL))
                        .thenComparing(engine -> engine.spec.id()))
                .limit(count)
                .toList();
    }

    private static int heldFirstLayers(BatchingEngine engine) {
        int end = (int) (FIRST_LAYERS_SHARE * BatchingPool.MODEL.layerCount());
        return engine.layers == null || engine.layers.first() > 0 ? 0 : Math.min(end, engine.layers.end());
    }
}

package io.radishwinch.standins;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records which layers ran for each token position of each attempt, across all engines of a fleet.
 *
 * <p>Stores for each position the layer that must run next. A range that starts at any other layer is a violation,
 * which detects repeated, skipped and reordered layers. Evicts the oldest of more than 8,192 attempts. Thread-safe.
 */
public final class ExecutionLedger {
    private static final int MAX_ATTEMPTS = 8_192;
    private static final int MAX_VIOLATIONS = 100;

    private final Map<String, AttemptProgress> attempts = new LinkedHashMap<>(256, 0.75f, false) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, AttemptProgress> eldest) {
            return size() > MAX_ATTEMPTS;
        }
    };
    private final List<String> violations = new ArrayList<>();
    private long executions;

    /**
     * Records that an endpoint ran the layers from {@code firstLayer} to {@code endLayer}, exclusive, for a position.
     */
    synchronized void record(String attempt, int position, int firstLayer, int endLayer, String endpoint) {
        executions++;
        AttemptProgress progress = attempts.computeIfAbsent(attempt, key -> new AttemptProgress(position));
        int expected = progress.nextLayer(position);
        if (expected == firstLayer) {
            progress.setNextLayer(position, endLayer);
        } else if (violations.size() < MAX_VIOLATIONS) {
            violations.add(attempt + " position " + position + ": " + endpoint + " ran layers " + firstLayer + " to "
                    + endLayer + ", expected " + expected);
        }
    }

    /** Returns how many layers ran exactly once and in order for a position of an attempt. */
    public synchronized int layersRun(String requestId, int epoch, int position) {
        AttemptProgress progress = attempts.get(attemptKey(requestId, epoch));
        return progress == null ? 0 : progress.nextLayer(position);
    }

    /** Returns descriptions of repeated, skipped and reordered layers, at most 100. */
    public synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number of stage executions of all attempts. */
    public synchronized long executions() {
        return executions;
    }

    static String attemptKey(String requestId, int epoch) {
        return requestId + "/" + epoch;
    }

    /** The next layer of each position, starting at the first position of the attempt. */
    private static final class AttemptProgress {
        private final int firstPosition;
        private short[] nextLayers = new short[16];

        AttemptProgress(int first) {
            this.firstPosition = first;
        }

        int nextLayer(int position) {
            int index = position - firstPosition;
            return index < 0 || index >= nextLayers.length ? 0 : nextLayers[index];
        }

        void setNextLayer(int position, int layer) {
            int index = position - firstPosition;
            if (index < 0) {
                return;
            }
            if (index >= nextLayers.length) {
                nextLayers = Arrays.copyOf(nextLayers, Math.max(index + 1, 2 * nextLayers.length));
            }
            nextLayers[index] = (short) layer;
        }
    }
}

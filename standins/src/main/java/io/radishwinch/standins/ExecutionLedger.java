package io.radishwinch.standins;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records which layers ran for each token position of each attempt, over all engines of a fleet.
 *
 * <p>Holds one number per position: the layer that must run next. A range that starts elsewhere is a violation, so that
 * repeated, skipped and reordered layers are all found. The oldest attempts are dropped beyond a bound.
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

    /** Records that layers ran for one position. */
    synchronized void record(String attempt, int position, int firstLayer, int endLayer, String endpoint) {
        executions++;
        AttemptProgress positions = attempts.computeIfAbsent(attempt, key -> new AttemptProgress(position));
        int expected = positions.nextLayer(position);
        if (expected == firstLayer) {
            positions.setNextLayer(position, endLayer);
        } else if (violations.size() < MAX_VIOLATIONS) {
            violations.add(attempt + " position " + position + ": " + endpoint + " ran layers " + firstLayer + " to "
                    + endLayer + ", expected " + expected);
        }
    }

    /** Returns the number of layers that ran exactly once and in order for a position of an attempt. */
    public synchronized int layersRun(String requestId, int epoch, int position) {
        AttemptProgress positions = attempts.get(attemptKey(requestId, epoch));
        return positions == null ? 0 : positions.nextLayer(position);
    }

    /** Returns descriptions of layers that were repeated, skipped or out of order, at most 100. */
    public synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number of stage executions over all attempts. */
    public synchronized long executions() {
        return executions;
    }

    static String attemptKey(String requestId, int epoch) {
        return requestId + "/" + epoch;
    }

    /** Next layer by position, from the first position of the attempt. */
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

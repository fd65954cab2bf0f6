package io.radishwinch.core.model;

/**
 * Half-open range of model layers.
 *
 * @param first first layer, counted from zero
 * @param end layer after the last one
 */
public record LayerRange(int first, int end) {

    /**
     * Creates a range.
     *
     * @throws IllegalArgumentException if the range is empty or starts below zero
     */
    public LayerRange {
        if (first < 0 || end <= first) {
            throw new IllegalArgumentException("empty or negative layer range [" + first + ", " + end + ")");
        }
    }

    /** Returns the number of layers. */
    public int size() {
        return end - first;
    }

    /** Returns whether this range contains every layer of the other. */
    public boolean contains(LayerRange other) {
        return first <= other.first && other.end <= end;
    }
}

package io.radishwinch.core.chain;

import java.util.Arrays;

/**
 * Array of held ranges sorted by score.
 *
 * <p>An insertion moves at most a few kilobytes, and the planner reads the first entries without allocation.
 */
final class CandidateList {

    private HeldRange[] entries = new HeldRange[8];
    private int size;

    int size() {
        return size;
    }

    HeldRange get(int position) {
        return entries[position];
    }

    /** Returns the number of entries whose score is at most the given one. */
    int countUpTo(double score) {
        int low = 0;
        int high = size;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (entries[middle].score <= score) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    void add(HeldRange entry) {
        int position = -find(entry) - 1;
        if (position < 0) {
            return;
        }
        if (size == entries.length) {
            entries = Arrays.copyOf(entries, size * 2);
        }
        System.arraycopy(entries, position, entries, position + 1, size - position);
        entries[position] = entry;
        size++;
    }

    void remove(HeldRange entry) {
        int position = find(entry);
        if (position < 0) {
            return;
        }
        System.arraycopy(entries, position + 1, entries, position, size - position - 1);
        entries[--size] = null;
    }

    private int find(HeldRange entry) {
        int low = 0;
        int high = size - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            int order = entries[middle].compareTo(entry);
            if (order == 0) {
                return middle;
            }
            if (order < 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return -(low + 1);
    }
}

package io.radishwinch.report;

import java.util.Arrays;

/**
 * Tokens and unserved requests of one caller and rank by slot. The arrays grow with the last slot used. Counts saturate
 * at {@link Integer#MAX_VALUE}, which one slot of the whole fleet at its design size does not reach.
 */
final class SlotSeries {
    private int[] tokens = {};
    private int[] unserved = {};

    boolean isEmpty() {
        return tokens.length == 0;
    }

    /** Returns the index after the last slot with an entry. */
    int endSlot() {
        return tokens.length;
    }

    long tokens(int slot) {
        return slot < tokens.length ? tokens[slot] : 0;
    }

    long unserved(int slot) {
        return slot < unserved.length ? unserved[slot] : 0;
    }

    void add(int slot, long moreTokens, long moreUnserved) {
        if (slot >= tokens.length) {
            tokens = Arrays.copyOf(tokens, slot + 1);
            unserved = Arrays.copyOf(unserved, slot + 1);
        }
        tokens[slot] = sum(tokens[slot], moreTokens);
        unserved[slot] = sum(unserved[slot], moreUnserved);
    }

    void add(SlotSeries other) {
        for (int slot = other.endSlot() - 1; slot >= 0; slot--) {
            if (other.tokens[slot] != 0 || other.unserved[slot] != 0) {
                add(slot, other.tokens[slot], other.unserved[slot]);
            }
        }
    }

    private static int sum(int count, long added) {
        return (int) Math.min(Integer.MAX_VALUE, count + added);
    }
}

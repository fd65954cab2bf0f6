package io.radishwinch.core.chain;

/** Layer range that one endpoint holds, as an entry of the {@link PoolIndex}. */
final class HeldRange {

    final EndpointRow row;
    final String pool;
    final int first;
    final int end;

    /**
     * Sort key: expected cost of one layer in us, including hop delay and slot price divided by the size of the range.
     */
    double score;

    /** Price of a slot in the optimal packing of the pool, in us of token time; 0 until it is computed. */
    double scarcityPriceUs;

    /** Whether the range is in the candidate lists, which contain only ranges with a free slot. */
    boolean isListed;

    HeldRange(EndpointRow row, String pool, int first, int end) {
        this.row = row;
        this.pool = pool;
        this.first = first;
        this.end = end;
    }

    /** Returns the price of one more slot, in us. */
    double slotPriceUs() {
        return row.slotPriceUs() + scarcityPriceUs;
    }

    int size() {
        return end - first;
    }

    /** Orders by score and then by row index, so that a range with an equal score is found on removal. */
    int compareTo(HeldRange other) {
        int byScore = Double.compare(score, other.score);
        return byScore != 0 ? byScore : Integer.compare(row.index(), other.row.index());
    }
}

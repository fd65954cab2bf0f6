package io.radishwinch.core.chain;

/** One holding of one endpoint as an entry of the pool index. */
final class HeldRange {

    final EndpointRow row;
    final String pool;
    final int first;
    final int end;

    /** Sort key: expected cost of one layer in us, with hop and load spread over the whole range. */
    double score;

    /** Price of a slot at the best use of the whole pool, in us of token time; 0 until it has been computed. */
    double scarcityPriceUs;

    /** Whether the entry is in the candidate lists; only entries with a free slot are. */
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

    /** Total order by score, then by row, so that equal scores are found again on removal. */
    int compareTo(HeldRange other) {
        int byScore = Double.compare(score, other.score);
        return byScore != 0 ? byScore : Integer.compare(row.index(), other.row.index());
    }
}

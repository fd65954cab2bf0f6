package io.radishwinch.report;

import java.util.BitSet;

/**
 * Slots of a day for which a router's data is in the summary.
 *
 * @param routerId router
 * @param slots slots in which the router recorded
 * @param recordedUntilMs time up to which its data is complete, in ms since the epoch
 * @param handedOver whether the router wrote its last data in a planned stop or at the end of the day
 */
public record Coverage(String routerId, BitSet slots, long recordedUntilMs, boolean handedOver) {

    /** Copies the slots. */
    public Coverage {
        slots = (BitSet) slots.clone();
    }

    /** Returns a copy of the slots. */
    @Override
    public BitSet slots() {
        return (BitSet) slots.clone();
    }

    Coverage merge(Coverage other) {
        BitSet union = slots();
        union.or(other.slots);
        Coverage later = other.recordedUntilMs >= recordedUntilMs ? other : this;
        return new Coverage(routerId, union, later.recordedUntilMs, later.handedOver);
    }
}

package io.radishwinch.report;

import java.util.BitSet;

/**
 * Slots of a day for which a summary contains the data of a router.
 *
 * @param routerId identifier of the router
 * @param slots slots in which the router recorded data
 * @param recordedUntilMs time up to which its data is complete, in ms since the epoch
 * @param isFinal whether the router wrote its final data at a planned stop or at the end of the day
 */
public record RecordingCoverage(String routerId, BitSet slots, long recordedUntilMs, boolean isFinal) {

    /** Copies the slots. */
    public RecordingCoverage {
        slots = (BitSet) slots.clone();
    }

    /** Returns a copy of the slots. */
    @Override
    public BitSet slots() {
        return (BitSet) slots.clone();
    }

    RecordingCoverage merge(RecordingCoverage other) {
        BitSet union = slots();
        union.or(other.slots);
        RecordingCoverage later = other.recordedUntilMs >= recordedUntilMs ? other : this;
        return new RecordingCoverage(routerId, union, later.recordedUntilMs, later.isFinal);
    }
}

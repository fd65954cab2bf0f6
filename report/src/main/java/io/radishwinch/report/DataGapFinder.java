package io.radishwinch.report;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;

/** Finds the data gaps of a day summary. */
final class DataGapFinder {

    /** Newer data may not have been written yet; equals two report intervals at the default setting. */
    private static final long WRITE_DELAY_MS = 2 * DaySlots.SLOT_MS;

    private DataGapFinder() {}

    /**
     * Returns the data gaps, sorted by start: slots that no router recorded, unrecorded slots between recorded ones of
     * a router, and the slot after the last write of a router that ended without a final summary.
     *
     * @param nowMs time of the report, in ms since the epoch
     */
    static List<DataGap> find(DaySummary summary, long nowMs) {
        DaySlots day = summary.day();
        long knownUntilMs = Math.min(day.endMs(), nowMs - WRITE_DELAY_MS);
        int endSlot = knownUntilMs <= day.startMs() ? 0 : day.slotOf(knownUntilMs - 1) + 1;
        List<DataGap> gaps = new ArrayList<>();
        BitSet slotsOfAnyRouter = new BitSet();
        for (RecordingCoverage coverage : summary.recordingCoverage()) {
            BitSet slots = coverage.slots();
            slotsOfAnyRouter.or(slots);
            int firstSlot = slots.nextSetBit(0);
            if (firstSlot >= 0) {
                addUnrecordedSlots(gaps, day, coverage.routerId(), slots, firstSlot, slots.length());
            }
            boolean isFinalSummaryMissing = !coverage.isFinal() && coverage.recordedUntilMs() < knownUntilMs;
            if (isFinalSummaryMissing) {
                gaps.add(new DataGap(
                        coverage.routerId(),
                        coverage.recordedUntilMs(),
                        Math.min(knownUntilMs, coverage.recordedUntilMs() + DaySlots.SLOT_MS)));
            }
        }
        addUnrecordedSlots(gaps, day, "", slotsOfAnyRouter, 0, endSlot);
        gaps.sort(Comparator.comparingLong(DataGap::fromMs).thenComparing(DataGap::routerId));
        return List.copyOf(gaps);
    }

    private static void addUnrecordedSlots(
            List<DataGap> gaps, DaySlots day, String routerId, BitSet slots, int fromSlot, int toSlot) {
        int gapStart = slots.nextClearBit(fromSlot);
        while (gapStart < toSlot) {
            int nextRecorded = slots.nextSetBit(gapStart);
            int gapEnd = nextRecorded < 0 ? toSlot : Math.min(nextRecorded, toSlot);
            long endMs = Math.min(day.endMs(), day.slotStartMs(gapEnd));
            gaps.add(new DataGap(routerId, day.slotStartMs(gapStart), endMs));
            gapStart = slots.nextClearBit(gapEnd);
        }
    }
}

package io.radishwinch.report;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;

/** Finds the times for which a summary lacks data. */
final class Gaps {

    /** Data younger than this may not have been written yet; two report intervals at the default setting. */
    private static final long WRITE_DELAY_MS = 2 * DaySlots.SLOT_MS;

    private Gaps() {}

    /**
     * Returns the gaps: slots that no router covers, holes in the data of one router, and data lost when a router ended
     * without handing over.
     *
     * @param nowMs time of the report, in ms since the epoch
     */
    static List<Gap> find(DaySummary summary, long nowMs) {
        DaySlots day = summary.day();
        long knownUntilMs = Math.min(day.endMs(), nowMs - WRITE_DELAY_MS);
        int endSlot = knownUntilMs <= day.startMs() ? 0 : day.slotOf(knownUntilMs - 1) + 1;
        List<Gap> gaps = new ArrayList<>();
        BitSet any = new BitSet();
        for (Coverage coverage : summary.coverage()) {
            BitSet slots = coverage.slots();
            any.or(slots);
            int first = slots.nextSetBit(0);
            if (first >= 0) {
                addHoles(gaps, day, coverage.routerId(), slots, first, slots.length());
            }
            boolean lostLast = !coverage.handedOver() && coverage.recordedUntilMs() < knownUntilMs;
            if (lostLast) {
                gaps.add(new Gap(
                        coverage.routerId(),
                        coverage.recordedUntilMs(),
                        Math.min(knownUntilMs, coverage.recordedUntilMs() + DaySlots.SLOT_MS)));
            }
        }
        addHoles(gaps, day, "", any, 0, endSlot);
        gaps.sort(Comparator.comparingLong(Gap::fromMs).thenComparing(Gap::routerId));
        return List.copyOf(gaps);
    }

    private static void addHoles(List<Gap> gaps, DaySlots day, String router, BitSet slots, int from, int to) {
        int hole = slots.nextClearBit(from);
        while (hole < to) {
            int next = slots.nextSetBit(hole);
            int end = next < 0 ? to : Math.min(next, to);
            long endMs = Math.min(day.endMs(), day.slotStartMs(end));
            gaps.add(new Gap(router, day.slotStartMs(hole), endMs));
            hole = slots.nextClearBit(end);
        }
    }
}

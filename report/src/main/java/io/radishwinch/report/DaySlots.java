package io.radishwinch.report;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneId;

/**
 * Divides one calendar day in a time zone into slots of 5 minutes: 288 on most days, 276 or 300 on days with a daylight
 * saving change of one hour.
 *
 * @param date calendar day
 * @param zone time zone of the service owner
 */
public record DaySlots(LocalDate date, ZoneId zone) {

    /** Length of a slot, in ms. */
    public static final long SLOT_MS = 5 * 60 * 1000L;

    /** Returns the day that contains a time in ms since the epoch. */
    public static DaySlots of(long atMs, ZoneId zone) {
        return new DaySlots(Instant.ofEpochMilli(atMs).atZone(zone).toLocalDate(), zone);
    }

    /** Returns the start of the day, in ms since the epoch. */
    public long startMs() {
        return date.atStartOfDay(zone).toInstant().toEpochMilli();
    }

    /** Returns the start of the next day, in ms since the epoch. */
    public long endMs() {
        return date.plusDays(1).atStartOfDay(zone).toInstant().toEpochMilli();
    }

    /** Returns the number of slots. */
    public int slotCount() {
        return (int) ((endMs() - startMs() + SLOT_MS - 1) / SLOT_MS);
    }

    /** Returns the index of the slot of a time; times outside the day map to its first or last slot. */
    public int slotOf(long atMs) {
        return (int) Math.max(0, Math.min(slotCount() - 1L, Math.floorDiv(atMs - startMs(), SLOT_MS)));
    }

    /** Returns the start of a slot, in ms since the epoch. */
    public long slotStartMs(int slot) {
        return startMs() + slot * SLOT_MS;
    }

    /** Returns whether the day contains the time. */
    public boolean contains(long atMs) {
        return atMs >= startMs() && atMs < endMs();
    }
}

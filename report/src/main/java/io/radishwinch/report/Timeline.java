package io.radishwinch.report;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Events of a day with the time at which surges and failures ended. */
final class Timeline {
    private Timeline() {}

    /**
     * One event.
     *
     * @param event event
     * @param endMs end of the surge or failure, in ms since the epoch, or empty if it is not known
     */
    record Entry(FleetEvent event, OptionalLong endMs) {

        /** Returns the text with the duration. */
        String text() {
            String text = ReportFormat.printable(event.text());
            boolean hasDuration = event.kind() == FleetEvent.Kind.FAILURE || event.kind() == FleetEvent.Kind.SURGE;
            if (!hasDuration) {
                return text;
            }
            String end = event.kind() == FleetEvent.Kind.SURGE ? "ended after " : "recovered after ";
            return endMs.isPresent()
                    ? text + "; " + end + ReportFormat.duration(endMs.getAsLong() - event.atMs())
                    : text;
        }
    }

    /** Joins each failure and surge with the first later recovery or end of the same subject. */
    static List<Entry> of(List<FleetEvent> events) {
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < events.size(); i++) {
            entries.add(new Entry(events.get(i), endOf(events, i)));
        }
        return entries;
    }

    private static OptionalLong endOf(List<FleetEvent> events, int index) {
        FleetEvent start = events.get(index);
        FleetEvent.Kind end =
                switch (start.kind()) {
                    case FAILURE -> FleetEvent.Kind.RECOVERY;
                    case SURGE -> FleetEvent.Kind.SURGE_END;
                    default -> null;
                };
        for (int i = index + 1; end != null && i < events.size(); i++) {
            FleetEvent candidate = events.get(i);
            if (candidate.subject().equals(start.subject())) {
                if (candidate.kind() == end) {
                    return OptionalLong.of(candidate.atMs());
                }
                if (candidate.kind() == start.kind()) {
                    return OptionalLong.empty();
                }
            }
        }
        return OptionalLong.empty();
    }
}

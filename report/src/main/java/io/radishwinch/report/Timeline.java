package io.radishwinch.report;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Pairs the surges and failures of a day with the events that ended them. */
final class Timeline {
    private Timeline() {}

    /**
     * An event with its end.
     *
     * @param event event
     * @param endMs end of the surge or failure, in ms since the epoch, or empty if unknown
     */
    record Entry(FleetEvent event, OptionalLong endMs) {

        /** Returns the text of the event, with the duration if the end is known. */
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

    /** Pairs each failure and surge with the next recovery or surge end of the same subject. */
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

package io.radishwinch.soak;

import io.radishwinch.standins.AttemptEvent;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/** Merges what callers, endpoints and routers saw of one request into lines in the order of time. */
public final class Timeline {
    private static final String CALLER = "caller";

    private Timeline() {}

    /**
     * A line of a timeline.
     *
     * @param atMs wall clock, in ms since the epoch
     * @param source caller, endpoint, router or the soak itself
     * @param text what happened
     */
    public record Entry(long atMs, String source, String text) {}

    /**
     * Returns the timeline of a request: its caller, its attempts, the incidents between its start and its end, and
     * further entries, such as those of routers.
     */
    public static List<String> of(CallerRecord request, Observations observations, List<Entry> routerEntries) {
        List<Entry> entries = new ArrayList<>(routerEntries);
        entries.add(new Entry(request.sentAtMs(), CALLER, "sends " + request.name() + " to " + request.router()));
        entries.add(new Entry(request.endedAtMs(), CALLER, text(request)));
        observations
                .eventsOf(request.name())
                .forEach(event -> entries.add(new Entry(event.atMs(), event.endpoint(), text(event))));
        observations.incidents().stream()
                .filter(incident -> incident.atMs() >= request.sentAtMs() && incident.atMs() <= request.endedAtMs())
                .forEach(incident -> entries.add(new Entry(incident.atMs(), "soak", incident.text())));
        entries.sort(Comparator.comparingLong(Entry::atMs));
        return entries.stream()
                .map(entry -> String.format(
                        Locale.ROOT,
                        "%8d ms  %-12s %s",
                        entry.atMs() - request.sentAtMs(),
                        entry.source(),
                        entry.text()))
                .toList();
    }

    static String text(CallerRecord request) {
        CallerRecord.Response response = request.response();
        return request.name() + " ends: " + request.outcome() + ", status " + response.status() + ", verdict "
                + (response.verdict().isEmpty() ? "none" : response.verdict()) + ", "
                + response.events().size() + " of " + request.expectedEvents() + " events, " + request.durationMs()
                + " of " + request.deadlineMs() + " ms";
    }

    static String text(AttemptEvent event) {
        return "attempt " + event.epoch() + " of " + event.requestId() + " "
                + event.kind().name().toLowerCase(Locale.ROOT);
    }

    static String line(long atMs, String source, String text) {
        return Instant.ofEpochMilli(atMs) + " " + source + " " + text;
    }
}

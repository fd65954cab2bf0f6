package io.radishwinch.soak;

import io.radishwinch.standins.AttemptEvent;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Collects what callers and endpoints see, and writes each line to a file at once, so that it outlasts the tool. */
final class SoakRecord implements AutoCloseable {
    private final List<CallerRecord> requests = new ArrayList<>();
    private final Map<String, List<AttemptEvent>> attemptEvents = new HashMap<>();
    private final List<Incident> incidents = new ArrayList<>();
    private final List<RouterRestart> restarts = new ArrayList<>();
    private final PrintWriter file;

    /**
     * Creates a record.
     *
     * @throws IOException if the file cannot be written
     */
    SoakRecord(Path path) throws IOException {
        Writer writer = Files.newBufferedWriter(path);
        file = new PrintWriter(new BufferedWriter(writer), false);
    }

    synchronized void add(CallerRecord request) {
        requests.add(request);
        write(Timeline.line(request.endedAtMs(), "caller", Timeline.text(request)));
    }

    synchronized void add(AttemptEvent event) {
        attemptEvents
                .computeIfAbsent(event.prompt(), prompt -> new ArrayList<>())
                .add(event);
        write(Timeline.line(event.atMs(), event.endpoint(), event.prompt() + " " + Timeline.text(event)));
    }

    synchronized void add(String incident) {
        long nowMs = System.currentTimeMillis();
        incidents.add(new Incident(nowMs, incident));
        write(Timeline.line(nowMs, "soak", incident));
    }

    synchronized void add(RouterRestart restart) {
        restarts.add(restart);
    }

    private void write(String line) {
        file.println(line);
        file.flush();
    }

    synchronized Observations observations() {
        Map<String, List<AttemptEvent>> events = new HashMap<>();
        attemptEvents.forEach((request, list) -> events.put(request, List.copyOf(list)));
        return new Observations(requests, events, incidents, restarts);
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}

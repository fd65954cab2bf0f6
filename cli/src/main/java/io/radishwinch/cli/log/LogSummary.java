package io.radishwinch.cli.log;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/** Counts of a whole day by what became of requests, by router, endpoint and minute. */
public final class LogSummary {

    private static final long MS_PER_MINUTE = 60_000;

    private final Map<String, Long> outcomes = new TreeMap<>();
    private final Map<String, Long> failuresByEndpoint = new TreeMap<>();
    private final Map<String, Long> refusalsByRouter = new TreeMap<>();
    private final Map<Long, Long> refusalsByMinute = new TreeMap<>();
    private final Map<String, Long> lostLines = new TreeMap<>();

    /**
     * Counts the lines of several routers.
     *
     * @throws IOException if a file cannot be read
     */
    public static LogSummary of(LogFiles files) throws IOException {
        LogSummary summary = new LogSummary();
        files.read(summary::count);
        return summary;
    }

    private void count(LogLine line) {
        switch (line.event()) {
            case "answered", "caller-gone" -> increment(outcomes, line.event());
            case "refused", "rejected" -> {
                increment(outcomes, line.event() + " " + line.text("reason") + " " + line.text("verdict"));
                increment(refusalsByRouter, line.file());
                increment(refusalsByMinute, line.atMs() / MS_PER_MINUTE * MS_PER_MINUTE);
            }
            case "attempt-failed" -> increment(failuresByEndpoint, line.text("endpoint") + " " + line.text("reason"));
            case "request-lines-suppressed", "log-lines-dropped" ->
                lostLines.merge(line.event(), line.fields().path("lines").asLong(), Long::sum);
            default -> {
                // Other lines are steps on the way to one of these outcomes.
            }
        }
    }

    private static <K> void increment(Map<K, Long> counts, K key) {
        counts.merge(key, 1L, Long::sum);
    }

    /** Returns requests by outcome, reason and verdict. */
    public Map<String, Long> outcomes() {
        return outcomes;
    }

    /** Returns failed attempts by endpoint and reason. */
    public Map<String, Long> failuresByEndpoint() {
        return failuresByEndpoint;
    }

    /** Returns refused requests by the file of their router. */
    public Map<String, Long> refusalsByRouter() {
        return refusalsByRouter;
    }

    /** Returns refused requests by the start of their minute, in ms. */
    public Map<Long, Long> refusalsByMinute() {
        return refusalsByMinute;
    }

    /** Returns lines that the routers did not write, by the event that says so. */
    public Map<String, Long> lostLines() {
        return lostLines;
    }
}

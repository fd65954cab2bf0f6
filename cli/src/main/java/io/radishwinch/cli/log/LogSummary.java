package io.radishwinch.cli.log;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/** Counts the requests in collected logs by outcome, and their refusals and failures by router, endpoint and minute. */
public final class LogSummary {

    private static final long MS_PER_MINUTE = 60_000;

    private final Map<String, Long> outcomes = new TreeMap<>();
    private final Map<String, Long> failuresByEndpoint = new TreeMap<>();
    private final Map<String, Long> refusalsByRouter = new TreeMap<>();
    private final Map<Long, Long> refusalsByMinute = new TreeMap<>();
    private final Map<String, Long> lostLines = new TreeMap<>();

    /**
     * Counts the requests in the logs of several routers.
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
                // The other events are intermediate steps of a request and are not counted.
            }
        }
    }

    private static <K> void increment(Map<K, Long> counts, K key) {
        counts.merge(key, 1L, Long::sum);
    }

    /** Returns the number of requests by outcome, reason and verdict. */
    public Map<String, Long> outcomes() {
        return outcomes;
    }

    /** Returns the number of failed attempts by endpoint and reason. */
    public Map<String, Long> failuresByEndpoint() {
        return failuresByEndpoint;
    }

    /** Returns the number of refused and rejected requests by log file; each router writes a file of its own. */
    public Map<String, Long> refusalsByRouter() {
        return refusalsByRouter;
    }

    /** Returns the number of refused and rejected requests by the start of their minute, in ms since the epoch. */
    public Map<Long, Long> refusalsByMinute() {
        return refusalsByMinute;
    }

    /** Returns the number of lines that routers suppressed or dropped, by the event that reports it. */
    public Map<String, Long> lostLines() {
        return lostLines;
    }
}

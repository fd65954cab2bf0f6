package io.radishwinch.cli.log;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Audit of collected logs: lines that report an exception, and attempts without an end.
 *
 * @param exceptions lines of exceptions, as {@code source: line}
 * @param unended attempts without an end although their request is over
 * @param undecided attempts whose end may be missing for a reason that the log shows
 */
public record LogAudit(List<String> exceptions, List<Attempt> unended, List<Attempt> undecided) {

    /** Time after the deadline of a request until its last line, at most, in ms. */
    private static final long END_MARGIN_MS = 2_000;

    private static final Pattern EXCEPTION = Pattern.compile(
            "\"level\":\"SEVERE\"|^SEVERE: |Unhandled exception|internal error, |\"reason\":\"internal-error\"");

    /** Copies the lists. */
    public LogAudit {
        exceptions = List.copyOf(exceptions);
        unended = List.copyOf(unended);
        undecided = List.copyOf(undecided);
    }

    /**
     * An attempt of a request.
     *
     * @param source log of the router
     * @param startedAtMs time of its start by the router's clock, in ms
     * @param note what else the log says
     */
    public record Attempt(String source, String requestId, int epoch, long startedAtMs, String note) {
        @Override
        public String toString() {
            return source + "  " + requestId + "  epoch " + epoch + "  at " + startedAtMs + "  " + note;
        }
    }

    /** Returns whether nothing was found; undecided attempts are none. */
    public boolean isClean() {
        return exceptions.isEmpty() && unended.isEmpty();
    }

    /**
     * Audits logs.
     *
     * @throws IOException if a file cannot be read
     */
    public static LogAudit of(LogFiles files) throws IOException {
        Reader reader = new Reader();
        files.read(reader::receive, reader::receiveText);
        reader.processes.values().forEach(process -> process.end(reader));
        return new LogAudit(reader.exceptions, reader.unended, reader.undecided);
    }

    /** Collects the findings of all processes. */
    private static final class Reader {
        private final List<String> exceptions = new ArrayList<>();
        private final List<Attempt> unended = new ArrayList<>();
        private final List<Attempt> undecided = new ArrayList<>();
        private final Map<String, Process> processes = new LinkedHashMap<>();

        void receive(LogLine line) {
            receiveText(line.file(), line.fields().toString());
            Process process = processes.computeIfAbsent(line.file(), Process::new);
            if (process.isFollowedBy(line)) {
                process.end(this);
                process = new Process(line.file());
                processes.put(line.file(), process);
            }
            process.receive(line);
        }

        void receiveText(String source, String text) {
            if (EXCEPTION.matcher(text).find()) {
                exceptions.add(source + ": " + text);
            }
        }
    }

    /** Attempts of one process that have no end so far. */
    private static final class Process {
        private final String source;
        private final Map<String, Map<Integer, Attempt>> openById = new LinkedHashMap<>();
        private final Map<String, Long> deadlineMsById = new HashMap<>();
        private final Set<String> goneIds = new HashSet<>();
        private long lastAtMs = Long.MIN_VALUE;
        private boolean isStarting;
        private boolean isStopped;
        private boolean lacksLines;

        Process(String source) {
            this.source = source;
        }

        /**
         * Returns whether another process has written the line to the same file. Its first line is {@code starting}; a
         * {@code stopping} may come before its {@code started}.
         */
        boolean isFollowedBy(LogLine line) {
            return line.event().equals("starting") || line.event().equals("started") && !isStarting;
        }

        void receive(LogLine line) {
            lastAtMs = Math.max(lastAtMs, line.atMs());
            String id = line.text("id");
            int epoch = line.fields().path("epoch").asInt();
            switch (line.event()) {
                case "request-arrived" -> {
                    goneIds.remove(id);
                    deadlineMsById.put(
                            id, line.atMs() + line.fields().path("leftMs").asLong());
                }
                case "attempt-started" -> start(line, id, epoch);
                case "attempt-failed", "attempt-cancelled", "response-ended" ->
                    openById.getOrDefault(id, new HashMap<>()).remove(epoch);
                case "answered", "refused", "rejected", "relayed" -> openById.remove(id);
                case "response-cut", "caller-gone" -> goneIds.add(id);
                case "request-lines-suppressed", "log-lines-dropped" -> lacksLines = true;
                case "starting" -> isStarting = true;
                case "started" -> isStarting = false;
                case "stopped" -> isStopped = true;
                default -> {
                    // The other events say nothing about the end of an attempt.
                }
            }
        }

        private void start(LogLine line, String id, int epoch) {
            if (!goneIds.contains(id)) {
                // The exchange of a request whose caller has left drops the start.
                openById.computeIfAbsent(id, unused -> new LinkedHashMap<>())
                        .put(epoch, new Attempt(source, id, epoch, line.atMs(), line.text("chain")));
            }
        }

        void end(Reader reader) {
            for (Map.Entry<String, Map<Integer, Attempt>> request : openById.entrySet()) {
                for (Attempt attempt : request.getValue().values()) {
                    String reason = undecidedReason(request.getKey());
                    if (reason.isEmpty()) {
                        reader.unended.add(attempt);
                    } else {
                        reader.undecided.add(new Attempt(
                                source,
                                attempt.requestId(),
                                attempt.epoch(),
                                attempt.startedAtMs(),
                                attempt.note() + "  " + reason));
                    }
                }
            }
            openById.clear();
        }

        private String undecidedReason(String id) {
            if (lacksLines) {
                return "lines of this process were not written";
            }
            boolean mustHaveEnded = isStopped
                    || goneIds.contains(id)
                    || deadlineMsById.getOrDefault(id, Long.MAX_VALUE - END_MARGIN_MS) + END_MARGIN_MS < lastAtMs;
            return mustHaveEnded ? "" : "the log ends before the deadline of the request";
        }
    }
}

package io.radishwinch.cli.log;

import io.radishwinch.config.build.BuildIdentity;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Trace of one request: its log lines, the related state changes of its router, and the cause of its outcome.
 *
 * @param lines lines with the request's identifier, sorted by time
 * @param stateChanges losses of endpoints and similar events that the same router logged shortly before and during the
 *     request, sorted by time
 * @param builds builds of the routers that logged the lines, by log file; {@code unknown} if the file does not say so
 * @param cause cause of the outcome, in one sentence
 * @param evidence line that shows the cause, or empty if there is none
 */
public record RequestTrace(
        List<LogLine> lines,
        List<LogLine> stateChanges,
        Map<String, String> builds,
        String cause,
        Optional<LogLine> evidence) {

    /** Time before the first line of a request in which a state change can explain its outcome, in ms. */
    private static final long LOOKBACK_MS = 5_000;

    private static final Set<String> LOSS_EVENTS = Set.of(
            "endpoint-unreachable",
            "endpoint-leaving",
            "endpoint-restarted",
            "endpoints-unreachable",
            "dependency-lost",
            "order-failed",
            "stopping");

    /** Copies the collections. */
    public RequestTrace {
        builds = Collections.unmodifiableMap(new TreeMap<>(builds));
        lines = List.copyOf(lines);
        stateChanges = List.copyOf(stateChanges);
    }

    /**
     * Reads the trace of a request. Reads all files twice.
     *
     * @return the trace, or empty if no line has the identifier
     * @throws IOException if a file cannot be read
     */
    public static Optional<RequestTrace> of(String requestId, LogFiles files) throws IOException {
        List<LogLine> requestLines = new ArrayList<>();
        files.read(line -> {
            if (line.text("id").equals(requestId)) {
                requestLines.add(line);
            }
        });
        if (requestLines.isEmpty()) {
            return Optional.empty();
        }
        requestLines.sort(Comparator.comparingLong(LogLine::atMs));
        LogLine first = requestLines.get(0);
        LogLine last = requestLines.get(requestLines.size() - 1);
        List<LogLine> stateChanges = new ArrayList<>();
        Map<String, String> builds = new TreeMap<>();
        requestLines.forEach(line -> builds.put(line.file(), BuildIdentity.UNKNOWN.value()));
        files.read(line -> {
            if (line.event().equals("started") && line.atMs() <= last.atMs()) {
                // Lines of a file are in order of time, so that the last one is of the process that served the request.
                builds.computeIfPresent(line.file(), (file, build) -> buildOf(line));
            }
            boolean isInTraceWindow = line.atMs() >= first.atMs() - LOOKBACK_MS && line.atMs() <= last.atMs();
            if (isInTraceWindow && line.file().equals(first.file()) && LOSS_EVENTS.contains(line.event())) {
                stateChanges.add(line);
            }
        });
        stateChanges.sort(Comparator.comparingLong(LogLine::atMs));
        return Optional.of(new CauseFinder(requestLines, stateChanges, builds).findCause());
    }

    private static String buildOf(LogLine started) {
        return started.text("build").isEmpty() ? BuildIdentity.UNKNOWN.value() : started.text("build");
    }

    /** Derives the cause of an outcome from the log lines. */
    private static final class CauseFinder {
        private final List<LogLine> lines;
        private final List<LogLine> stateChanges;
        private final Map<String, String> builds;

        CauseFinder(List<LogLine> lines, List<LogLine> stateChanges, Map<String, String> builds) {
            this.lines = lines;
            this.stateChanges = stateChanges;
            this.builds = builds;
        }

        RequestTrace findCause() {
            LogLine last = lastDecision();
            return switch (last.event()) {
                case "answered" -> explainAnswered(last);
                case "rejected" ->
                    traceWithCause("rejected before admission: " + last.text("detail"), Optional.of(last));
                case "caller-gone" -> explainByFailedAttempt("the caller closed its connection", last);
                case "refused" -> explainRefused(last);
                default -> traceWithCause("the log ends before the request finished", Optional.of(last));
            };
        }

        /** Returns the last line but for the ends of responses, which traffic threads log after the control thread. */
        private LogLine lastDecision() {
            LogLine last = lines.get(0);
            for (LogLine line : lines) {
                last = line.event().equals("response-ended") ? last : line;
            }
            return last;
        }

        private RequestTrace explainAnswered(LogLine last) {
            Optional<LogLine> failure = firstFailedAttempt();
            String times = "completed, first event after " + last.text("firstMs") + " ms, longest pause "
                    + last.text("longestPauseMs") + " ms" + origin(last);
            return failure.isPresent() ? explainByFailedAttempt(times, last) : traceWithCause(times, Optional.empty());
        }

        /** Returns where the response came from, which routers of earlier releases do not log. */
        private static String origin(LogLine answered) {
            return answered.text("connection").isEmpty()
                    ? ""
                    : ", status " + answered.text("status") + " of " + answered.text("endpoint") + " over connection "
                            + answered.text("connection");
        }

        private RequestTrace explainRefused(LogLine last) {
            String outcome = "refused as " + last.text("verdict") + " because of " + last.text("reason");
            if (last.text("reason").equals("draining")) {
                return traceWithCause(outcome + ": the router was stopping", latestStateChange(Set.of("stopping")));
            }
            if (firstFailedAttempt().isPresent()) {
                return explainByFailedAttempt(outcome, last);
            }
            Optional<LogLine> loss = latestStateChange(
                    Set.of("endpoint-unreachable", "endpoint-leaving", "endpoint-restarted", "dependency-lost"));
            return loss.isPresent()
                    ? traceWithCause(
                            outcome + ": " + loss.get().text("subject") + " became unavailable shortly before", loss)
                    : traceWithCause(outcome + ": no endpoint that can run it had free capacity", Optional.of(last));
        }

        /** Explains an outcome by the first failed attempt, and this attempt by the loss of one of its endpoints. */
        private RequestTrace explainByFailedAttempt(String outcome, LogLine last) {
            Optional<LogLine> failure = firstFailedAttempt();
            if (failure.isEmpty()) {
                return traceWithCause(outcome, Optional.of(last));
            }
            Optional<LogLine> loss = latestEndpointLossBefore(failure.get());
            if (loss.isPresent()) {
                String subject = loss.get().text("subject");
                return traceWithCause(
                        outcome + ": an attempt ended because " + subject + " became unavailable: "
                                + loss.get().text("detail"),
                        loss);
            }
            String endpoint = failure.get().text("endpoint");
            return traceWithCause(
                    outcome + ": an attempt ended with " + failure.get().text("reason")
                            + (endpoint.isEmpty() ? "" : " at " + endpoint),
                    failure);
        }

        private Optional<LogLine> firstFailedAttempt() {
            return lines.stream()
                    .filter(line -> line.event().equals("attempt-failed")
                            || line.event().equals("attempt-cancelled"))
                    .findFirst();
        }

        /**
         * Returns the latest event before a failed attempt that made an endpoint of the request's chains unavailable.
         */
        private Optional<LogLine> latestEndpointLossBefore(LogLine failure) {
            Set<String> endpoints = new TreeSet<>();
            lines.stream().filter(line -> line.atMs() <= failure.atMs()).forEach(line -> {
                for (String stage : line.text("chain").split(" ")) {
                    endpoints.add(stage.replaceAll(":[0-9]+-[0-9]+$", ""));
                }
            });
            return stateChanges.stream()
                    .filter(line -> line.atMs() <= failure.atMs() && endpoints.contains(line.text("subject")))
                    .reduce((earlier, later) -> later);
        }

        private Optional<LogLine> latestStateChange(Set<String> events) {
            return stateChanges.stream()
                    .filter(line -> events.contains(line.event()))
                    .reduce((earlier, later) -> later);
        }

        private RequestTrace traceWithCause(String cause, Optional<LogLine> evidence) {
            return new RequestTrace(lines, stateChanges, builds, cause, evidence);
        }
    }
}

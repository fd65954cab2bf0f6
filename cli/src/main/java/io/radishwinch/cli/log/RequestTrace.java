package io.radishwinch.cli.log;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The story of one request: its own lines, and the changes of belief before its end that explain it.
 *
 * @param lines lines that carry the request's identifier, in order of time
 * @param stateChanges changes of what the same router believed shortly before and during the request, in order of time
 * @param cause why it ended as it did, in one sentence
 * @param evidence line that shows the cause, if one does
 */
public record RequestTrace(List<LogLine> lines, List<LogLine> stateChanges, String cause, Optional<LogLine> evidence) {

    /** Time before the arrival from which changes of belief may explain what became of a request, in ms. */
    private static final long LOOKBACK_MS = 5_000;

    private static final Set<String> LOSS_EVENTS = Set.of(
            "endpoint-unreachable",
            "endpoint-leaving",
            "endpoint-restarted",
            "dependency-lost",
            "order-failed",
            "stopping");

    /** Copies the lists. */
    public RequestTrace {
        lines = List.copyOf(lines);
        stateChanges = List.copyOf(stateChanges);
    }

    /**
     * Reads the story of a request.
     *
     * @return the story, or empty if no line carries the identifier
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
        List<LogLine> beliefs = new ArrayList<>();
        files.read(line -> {
            boolean isNear = line.atMs() >= first.atMs() - LOOKBACK_MS && line.atMs() <= last.atMs();
            if (isNear && line.file().equals(first.file()) && LOSS_EVENTS.contains(line.event())) {
                beliefs.add(line);
            }
        });
        beliefs.sort(Comparator.comparingLong(LogLine::atMs));
        return Optional.of(new CauseFinder(requestLines, beliefs).findCause());
    }

    /** Finds the cause of an outcome. */
    private static final class CauseFinder {
        private final List<LogLine> lines;
        private final List<LogLine> stateChanges;

        CauseFinder(List<LogLine> lines, List<LogLine> beliefs) {
            this.lines = lines;
            this.stateChanges = beliefs;
        }

        RequestTrace findCause() {
            LogLine last = lines.get(lines.size() - 1);
            return switch (last.event()) {
                case "answered" -> explainAnswered(last);
                case "rejected" ->
                    traceWithCause("rejected before any decision: " + last.text("detail"), Optional.of(last));
                case "caller-gone" -> explainByFailedAttempt("the caller closed its connection", last);
                case "refused" -> explainRefused(last);
                default -> traceWithCause("the log ends while the request runs", Optional.of(last));
            };
        }

        private RequestTrace explainAnswered(LogLine last) {
            Optional<LogLine> failure = firstFailedAttempt();
            String times = "answered whole, first event after " + last.text("firstMs") + " ms, longest pause "
                    + last.text("longestPauseMs") + " ms";
            return failure.isPresent() ? explainByFailedAttempt(times, last) : traceWithCause(times, Optional.empty());
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
                    ? traceWithCause(outcome + ": " + loss.get().text("subject") + " was lost shortly before", loss)
                    : traceWithCause(outcome + ": all endpoints that could run it were full", Optional.of(last));
        }

        /** Explains an outcome by the first attempt that failed, and that by what was known of its endpoints. */
        private RequestTrace explainByFailedAttempt(String outcome, LogLine last) {
            Optional<LogLine> failure = firstFailedAttempt();
            if (failure.isEmpty()) {
                return traceWithCause(outcome, Optional.of(last));
            }
            Optional<LogLine> loss = latestEndpointLossBefore(failure.get());
            if (loss.isPresent()) {
                String subject = loss.get().text("subject");
                return traceWithCause(
                        outcome + ": an attempt ended because " + subject + " was lost: "
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

        /** Returns the latest loss of an endpoint of the chains that had been started by then. */
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
            return new RequestTrace(lines, stateChanges, cause, evidence);
        }
    }
}

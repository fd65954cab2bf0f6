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
 * @param beliefs changes of what the same router believed shortly before and during the request, in order of time
 * @param cause why it ended as it did, in one sentence
 * @param evidence line that shows the cause, if one does
 */
public record RequestTrace(List<LogLine> lines, List<LogLine> beliefs, String cause, Optional<LogLine> evidence) {

    /** Time before the arrival from which changes of belief may explain what became of a request, in ms. */
    private static final long LOOK_BACK_MS = 5_000;

    private static final Set<String> LOSSES = Set.of(
            "endpoint-unreachable",
            "endpoint-leaving",
            "endpoint-restarted",
            "dependency-lost",
            "order-failed",
            "stopping");

    /** Copies the lists. */
    public RequestTrace {
        lines = List.copyOf(lines);
        beliefs = List.copyOf(beliefs);
    }

    /**
     * Reads the story of a request.
     *
     * @return the story, or empty if no line carries the identifier
     * @throws IOException if a file cannot be read
     */
    public static Optional<RequestTrace> of(String requestId, LogFiles files) throws IOException {
        List<LogLine> own = new ArrayList<>();
        files.read(line -> {
            if (line.text("id").equals(requestId)) {
                own.add(line);
            }
        });
        if (own.isEmpty()) {
            return Optional.empty();
        }
        own.sort(Comparator.comparingLong(LogLine::atMs));
        LogLine first = own.get(0);
        LogLine last = own.get(own.size() - 1);
        List<LogLine> beliefs = new ArrayList<>();
        files.read(line -> {
            boolean isNear = line.atMs() >= first.atMs() - LOOK_BACK_MS && line.atMs() <= last.atMs();
            if (isNear && line.file().equals(first.file()) && LOSSES.contains(line.event())) {
                beliefs.add(line);
            }
        });
        beliefs.sort(Comparator.comparingLong(LogLine::atMs));
        return Optional.of(new Explanation(own, beliefs).explain());
    }

    /** Finds the cause of an outcome. */
    private static final class Explanation {
        private final List<LogLine> lines;
        private final List<LogLine> beliefs;

        Explanation(List<LogLine> lines, List<LogLine> beliefs) {
            this.lines = lines;
            this.beliefs = beliefs;
        }

        RequestTrace explain() {
            LogLine last = lines.get(lines.size() - 1);
            return switch (last.event()) {
                case "answered" -> answered(last);
                case "rejected" -> found("rejected before any decision: " + last.text("detail"), Optional.of(last));
                case "caller-gone" -> afterFailure("the caller closed its connection", last);
                case "refused" -> refused(last);
                default -> found("the log ends while the request runs", Optional.of(last));
            };
        }

        private RequestTrace answered(LogLine last) {
            Optional<LogLine> failure = firstFailure();
            String times = "answered whole, first event after " + last.text("firstMs") + " ms, longest pause "
                    + last.text("longestPauseMs") + " ms";
            return failure.isPresent() ? afterFailure(times, last) : found(times, Optional.empty());
        }

        private RequestTrace refused(LogLine last) {
            String outcome = "refused as " + last.text("verdict") + " because of " + last.text("reason");
            if (last.text("reason").equals("draining")) {
                return found(outcome + ": the router was stopping", latest(Set.of("stopping")));
            }
            if (firstFailure().isPresent()) {
                return afterFailure(outcome, last);
            }
            Optional<LogLine> loss =
                    latest(Set.of("endpoint-unreachable", "endpoint-leaving", "endpoint-restarted", "dependency-lost"));
            return loss.isPresent()
                    ? found(outcome + ": " + loss.get().text("subject") + " was lost shortly before", loss)
                    : found(outcome + ": all endpoints that could run it were full", Optional.of(last));
        }

        /** Explains an outcome by the first attempt that failed, and that by what was known of its endpoints. */
        private RequestTrace afterFailure(String outcome, LogLine last) {
            Optional<LogLine> failure = firstFailure();
            if (failure.isEmpty()) {
                return found(outcome, Optional.of(last));
            }
            Optional<LogLine> loss = lossBefore(failure.get());
            if (loss.isPresent()) {
                String subject = loss.get().text("subject");
                return found(
                        outcome + ": an attempt ended because " + subject + " was lost: "
                                + loss.get().text("detail"),
                        loss);
            }
            String endpoint = failure.get().text("endpoint");
            return found(
                    outcome + ": an attempt ended with " + failure.get().text("reason")
                            + (endpoint.isEmpty() ? "" : " at " + endpoint),
                    failure);
        }

        private Optional<LogLine> firstFailure() {
            return lines.stream()
                    .filter(line -> line.event().equals("attempt-failed")
                            || line.event().equals("attempt-cancelled"))
                    .findFirst();
        }

        /** Returns the latest loss of an endpoint of the chains that had been started by then. */
        private Optional<LogLine> lossBefore(LogLine failure) {
            Set<String> endpoints = new TreeSet<>();
            lines.stream().filter(line -> line.atMs() <= failure.atMs()).forEach(line -> {
                for (String stage : line.text("chain").split(" ")) {
                    endpoints.add(stage.replaceAll(":[0-9]+-[0-9]+$", ""));
                }
            });
            return beliefs.stream()
                    .filter(line -> line.atMs() <= failure.atMs() && endpoints.contains(line.text("subject")))
                    .reduce((earlier, later) -> later);
        }

        private Optional<LogLine> latest(Set<String> events) {
            return beliefs.stream()
                    .filter(line -> events.contains(line.event()))
                    .reduce((earlier, later) -> later);
        }

        private RequestTrace found(String cause, Optional<LogLine> evidence) {
            return new RequestTrace(lines, beliefs, cause, evidence);
        }
    }
}

package io.radishwinch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.radishwinch.cli.log.LogAudit;
import io.radishwinch.cli.log.LogFiles;
import io.radishwinch.cli.log.LogLine;
import io.radishwinch.cli.log.LogSummary;
import io.radishwinch.cli.log.RequestTrace;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Commands that analyze collected router logs. */
final class LogCommands {

    /** Largest number of endpoints in a summary, those with the most failures first. */
    private static final int MAX_ENDPOINTS = 20;

    private LogCommands() {}

    @Parameters(commandDescription = "Trace one request through collected logs and show why it ended as it did")
    static final class Trace extends Command {
        @Parameter(description = "FILE... ID", required = true)
        private List<String> arguments = new ArrayList<>();

        @Override
        ExitCode run(Session session) {
            if (arguments.size() < 2) {
                throw new CliException(ExitCode.USAGE, "expected at least one log file and a request ID", "");
            }
            String requestId = arguments.get(arguments.size() - 1);
            LogFiles files = files(session, arguments.subList(0, arguments.size() - 1));
            Optional<RequestTrace> trace = readOrFail(() -> RequestTrace.of(requestId, files));
            noteUnstructuredLines(session, files);
            if (trace.isEmpty()) {
                throw new CliException(ExitCode.FAILED, "no log line has the request ID " + requestId, "");
            }
            print(session, trace.get());
            return ExitCode.OK;
        }

        private static void print(Session session, RequestTrace trace) {
            long startMs = trace.lines().get(0).atMs();
            List<LogLine> all = new ArrayList<>(trace.lines());
            trace.evidence().filter(line -> !all.contains(line)).ifPresent(all::add);
            all.sort(Comparator.comparingLong(LogLine::atMs));
            for (LogLine line : all) {
                session.printLine(
                        "%8d ms  %s  %s  %s", line.atMs() - startMs, line.file(), line.event(), line.details());
            }
            session.printLine("cause: %s", trace.cause());
            trace.builds().forEach((file, build) -> session.printLine("build: %s  %s", file, build));
            session.printJson(Map.of(
                    "cause",
                    trace.cause(),
                    "builds",
                    trace.builds(),
                    "lines",
                    trace.lines().stream().map(LogLine::fields).toList(),
                    "evidence",
                    trace.evidence().map(LogLine::fields).stream().toList()));
        }
    }

    @Parameters(commandDescription = "Count the outcomes of requests in collected logs")
    static final class Summary extends Command {
        @Parameter(description = "FILE...", required = true)
        private List<String> arguments = new ArrayList<>();

        @Override
        ExitCode run(Session session) {
            LogFiles files = files(session, arguments);
            LogSummary summary = readOrFail(() -> LogSummary.of(files));
            noteUnstructuredLines(session, files);
            section(session, "requests", summary.outcomes());
            section(session, "refused by router", summary.refusalsByRouter());
            session.printLine("refused by minute");
            summary.refusalsByMinute()
                    .forEach((ms, count) -> session.printLine("  %6d  %s", count, Session.formatTime(ms)));
            session.printLine("failed attempts by endpoint, highest count first");
            summary.failuresByEndpoint().entrySet().stream()
                    .sorted(Map.Entry.<String, Long>comparingByValue()
                            .reversed()
                            .thenComparing(Map.Entry.comparingByKey()))
                    .limit(MAX_ENDPOINTS)
                    .forEach(entry -> session.printLine("  %6d  %s", entry.getValue(), entry.getKey()));
            section(session, "lines that were not written", summary.lostLines());
            session.printJson(Map.of(
                    "outcomes", summary.outcomes(),
                    "refusalsByRouter", summary.refusalsByRouter(),
                    "refusalsByMinute", summary.refusalsByMinute(),
                    "failuresByEndpoint", summary.failuresByEndpoint(),
                    "lostLines", summary.lostLines()));
            return ExitCode.OK;
        }

        private static void section(Session session, String title, Map<String, Long> counts) {
            session.printLine("%s", title);
            counts.forEach((name, count) -> session.printLine("  %6d  %s", count, name));
        }
    }

    @Parameters(commandDescription = "Check collected logs for exceptions and for attempts without an end")
    static final class Audit extends Command {
        @Parameter(description = "FILE...", required = true)
        private List<String> arguments = new ArrayList<>();

        @Override
        ExitCode run(Session session) {
            LogFiles files = files(session, arguments);
            LogAudit audit = readOrFail(() -> LogAudit.of(files));
            noteUnstructuredLines(session, files);
            section(session, "exceptions", audit.exceptions());
            section(session, "attempts without an end", audit.unended());
            section(session, "undecided", audit.undecided());
            session.printJson(Map.of(
                    "exceptions", audit.exceptions(), "unended", audit.unended(), "undecided", audit.undecided()));
            return audit.isClean() ? ExitCode.OK : ExitCode.FAILED;
        }

        private static void section(Session session, String title, List<?> findings) {
            session.printLine("%s: %d", title, findings.size());
            findings.forEach(finding -> session.printLine("  %s", finding));
        }
    }

    private static LogFiles files(Session session, List<String> names) {
        return new LogFiles(names.stream().map(session.environment()::resolve).toList());
    }

    private static void noteUnstructuredLines(Session session, LogFiles files) {
        if (files.unstructuredLineCount() > 0) {
            session.printNote(files.unstructuredLineCount() + " unstructured lines were skipped");
        }
    }

    private static <T> T readOrFail(IoSupplier<T> supplier) {
        try {
            return supplier.get();
        } catch (IOException e) {
            throw new CliException(ExitCode.FAILED, "cannot read the logs: " + TextFiles.failureReason(e), "");
        }
    }

    /** Supplies a result and may fail with an I/O error. */
    @FunctionalInterface
    private interface IoSupplier<T> {
        T get() throws IOException;
    }
}

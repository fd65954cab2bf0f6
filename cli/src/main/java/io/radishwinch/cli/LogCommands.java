package io.radishwinch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
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

/** Commands that read collected logs of routers. */
final class LogCommands {

    /** Endpoints listed in a summary, those with most failures first. */
    private static final int MAX_ENDPOINTS = 20;

    private LogCommands() {}

    @Parameters(commandDescription = "Show from the logs what became of one request, and why")
    static final class Trace extends Command {
        @Parameter(description = "FILE... ID", required = true)
        private List<String> arguments = new ArrayList<>();

        @Override
        ExitCode run(Session session) {
            if (arguments.size() < 2) {
                throw new CliException(ExitCode.USAGE, "a file and the identifier of a request are needed", "");
            }
            String requestId = arguments.get(arguments.size() - 1);
            LogFiles files = files(session, arguments.subList(0, arguments.size() - 1));
            Optional<RequestTrace> trace = read(() -> RequestTrace.of(requestId, files));
            noteUnreadable(session, files);
            if (trace.isEmpty()) {
                throw new CliException(ExitCode.FAILED, "no line carries the identifier " + requestId, "");
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
                session.line("%8d ms  %s  %s  %s", line.atMs() - startMs, line.file(), line.event(), line.details());
            }
            session.line("cause: %s", trace.cause());
            session.json(Map.of(
                    "cause",
                    trace.cause(),
                    "lines",
                    trace.lines().stream().map(LogLine::fields).toList(),
                    "evidence",
                    trace.evidence().map(LogLine::fields).stream().toList()));
        }
    }

    @Parameters(commandDescription = "Count what became of the requests of collected logs")
    static final class Summary extends Command {
        @Parameter(description = "FILE...", required = true)
        private List<String> arguments = new ArrayList<>();

        @Override
        ExitCode run(Session session) {
            LogFiles files = files(session, arguments);
            LogSummary summary = read(() -> LogSummary.of(files));
            noteUnreadable(session, files);
            section(session, "requests", summary.outcomes());
            section(session, "refused by router", summary.refusalsByRouter());
            session.line("refused by minute");
            summary.refusalsByMinute().forEach((ms, count) -> session.line("  %6d  %s", count, Session.time(ms)));
            session.line("failed attempts by endpoint, the most first");
            summary.failuresByEndpoint().entrySet().stream()
                    .sorted(Map.Entry.<String, Long>comparingByValue()
                            .reversed()
                            .thenComparing(Map.Entry.comparingByKey()))
                    .limit(MAX_ENDPOINTS)
                    .forEach(entry -> session.line("  %6d  %s", entry.getValue(), entry.getKey()));
            section(session, "lines that were not written", summary.lostLines());
            session.json(Map.of(
                    "outcomes", summary.outcomes(),
                    "refusalsByRouter", summary.refusalsByRouter(),
                    "refusalsByMinute", summary.refusalsByMinute(),
                    "failuresByEndpoint", summary.failuresByEndpoint(),
                    "lostLines", summary.lostLines()));
            return ExitCode.OK;
        }

        private static void section(Session session, String title, Map<String, Long> counts) {
            session.line("%s", title);
            counts.forEach((name, count) -> session.line("  %6d  %s", count, name));
        }
    }

    private static LogFiles files(Session session, List<String> names) {
        return new LogFiles(names.stream().map(session.environment()::resolve).toList());
    }

    private static void noteUnreadable(Session session, LogFiles files) {
        if (files.unreadableLines() > 0) {
            session.note(files.unreadableLines() + " lines are not structured and were passed over");
        }
    }

    private static <T> T read(Reading<T> reading) {
        try {
            return reading.read();
        } catch (IOException e) {
            throw new CliException(ExitCode.FAILED, "cannot read the logs: " + TextFiles.reason(e), "");
        }
    }

    /** Reads files. */
    @FunctionalInterface
    private interface Reading<T> {
        T read() throws IOException;
    }
}

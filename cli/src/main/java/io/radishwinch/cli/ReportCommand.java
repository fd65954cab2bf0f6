package io.radishwinch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import io.radishwinch.config.contract.ConfigObjectReader;
import io.radishwinch.core.model.Contract;
import io.radishwinch.report.DaySummaryCodec;
import io.radishwinch.report.EveningReport;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Writes the evening report. */
@Parameters(commandDescription = "Write the report of a day")
final class ReportCommand extends Command {
    @Parameter(names = "--day", description = "Day as YYYY-MM-DD; by default today in the time zone of this machine.")
    private String day = "";

    @Parameter(names = "--out", description = "File for the page; by default radishwinch-report-DAY.html.")
    private String out = "";

    @Parameter(names = "--text", description = "Print text instead of writing a page.")
    private boolean isTextOutput;

    @Override
    ExitCode run(Session session) {
        LocalDate date = date(session);
        JsonNode body = session.client().get("/days/" + date).bodyOrThrow();
        EveningReport report;
        try {
            report = EveningReport.of(
                    session.settings().deployment(),
                    DaySummaryCodec.decode(body.path("summary").toString().getBytes(StandardCharsets.UTF_8)),
                    contracts(session),
                    body.path("nowMs").asLong());
        } catch (IOException e) {
            throw new CliException(
                    ExitCode.FAILED,
                    "cannot decode the summary from the router: " + e.getMessage(),
                    "use the tool of the same release as the routers");
        }
        if (isTextOutput) {
            session.printLine("%s", report.text());
        }
        if (!isTextOutput || !out.isEmpty()) {
            write(session, date, report);
        }
        session.printJson(Map.of("day", date.toString(), "wentWell", report.wentWell(), "verdict", report.verdict()));
        return ExitCode.OK;
    }

    private LocalDate date(Session session) {
        try {
            return day.isEmpty() ? LocalDate.now(session.environment().clock()) : LocalDate.parse(day);
        } catch (DateTimeException e) {
            throw new CliException(ExitCode.USAGE, "invalid day: " + day, "expected YYYY-MM-DD");
        }
    }

    private void write(Session session, LocalDate date, EveningReport report) {
        String file = out.isEmpty() ? "radishwinch-report-" + date + ".html" : out;
        try {
            Files.writeString(session.environment().resolve(file), report.html());
        } catch (IOException e) {
            throw new CliException(ExitCode.FAILED, "cannot write " + file + ": " + TextFiles.failureReason(e), "");
        }
        if (!isTextOutput) {
            session.printLine("%s", report.verdict());
        }
        session.printLine("written to %s", file);
    }

    /** Returns the contracts in effect, without those that this release cannot parse. */
    private static List<Contract> contracts(Session session) {
        List<Contract> contracts = new ArrayList<>();
        for (JsonNode object :
                session.client().get("/contracts?text=true").bodyOrThrow().path("objects")) {
            ConfigObjectReader.readContract(
                            object.path("name").asText(), object.path("text").asText())
                    .forEach(contracts::add);
        }
        return contracts;
    }
}

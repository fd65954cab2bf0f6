package io.radishwinch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.radishwinch.config.ConfigError;
import io.radishwinch.soak.SoakRun;
import io.radishwinch.soak.scenario.Scenario;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Plays a scenario with real routers and checks the promises to callers. */
@Parameters(commandDescription = "Play a scenario with routers on loopback and check the promises to callers")
final class SoakCommand extends Command {
    private static final Pattern SEEDS = Pattern.compile("(\\d{1,15})(?:-(\\d{1,15}))?");
    private static final int MAX_SEEDS = 1_000;
    private static final int MAX_LENGTH_S = 86_400;

    private final Player player;

    @Parameter(description = "FILE", required = true)
    private String file;

    @Parameter(names = "--seed", description = "Seed, or a range such as 1-20.")
    private String seeds = "1";

    @Parameter(names = "--length", description = "Time for which callers begin requests, in s.")
    private int lengthS = 20;

    @Parameter(names = "--logs", description = "Directory for logs; by default a new one for temporary files.")
    private String logs = "";

    SoakCommand() {
        this((scenario, seed, lengthMs, directory) -> new SoakRun(scenario, seed, lengthMs, directory).play());
    }

    SoakCommand(Player player) {
        this.player = player;
    }

    /** Plays a scenario with one seed. */
    @FunctionalInterface
    interface Player {
        SoakRun.Result play(Scenario scenario, long seed, long lengthMs, Path directory)
                throws IOException, InterruptedException;
    }

    @Override
    ExitCode run(Session session) {
        Either<List<ConfigError>, Scenario> scenario =
                Scenario.read(file, TextFiles.read(session.environment().resolve(file), file));
        if (scenario.isLeft()) {
            session.printErrors(scenario.getLeft());
            throw new CliException(ExitCode.INVALID, file + " contains an invalid scenario", "fix the errors above");
        }
        List<Long> chosen = readSeeds();
        if (lengthS < 1 || lengthS > MAX_LENGTH_S) {
            throw new CliException(
                    ExitCode.USAGE, "--length must be from 1 to " + MAX_LENGTH_S + " s, found " + lengthS, "");
        }
        try {
            Path directory = logs.isEmpty()
                    ? Files.createTempDirectory("radishwinch-soak")
                    : session.environment().resolve(logs);
            session.printLine("logs: %s", directory.toAbsolutePath());
            return play(session, scenario.get(), chosen, directory);
        } catch (IOException e) {
            throw new CliException(ExitCode.FAILED, TextFiles.failureReason(e), "");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(ExitCode.FAILED, "interrupted", "");
        }
    }

    private ExitCode play(Session session, Scenario scenario, List<Long> chosen, Path directory)
            throws IOException, InterruptedException {
        List<Map<String, Object>> results = new ArrayList<>();
        boolean isBroken = false;
        for (long seed : chosen) {
            SoakRun.Result result = player.play(scenario, seed, 1_000L * lengthS, directory.resolve("seed-" + seed));
            session.printLine(
                    "seed %d: %s; %d silences, changes and kills; broken promises: %d",
                    seed,
                    result.outcomes(),
                    result.incidents(),
                    result.findings().size());
            print(session, seed, result.findings());
            if (!result.routerErrors().isEmpty()) {
                session.printLine(
                        "errors in the logs of the routers: %d",
                        result.routerErrors().size());
                result.routerErrors().forEach(line -> session.printLine("  %s", line));
            }
            isBroken |= !result.findings().isEmpty() || !result.routerErrors().isEmpty();
            Map<String, Object> json = new LinkedHashMap<>();
            json.put("seed", seed);
            json.put("outcomes", result.outcomes());
            json.put("incidents", result.incidents());
            json.put(
                    "brokenPromises",
                    result.findings().stream().map(SoakCommand::toJson).toList());
            json.put("routerErrors", result.routerErrors());
            results.add(json);
        }
        session.printJson(Map.of("logs", directory.toString(), "seeds", results));
        return isBroken ? ExitCode.FAILED : ExitCode.OK;
    }

    private static Map<String, Object> toJson(SoakRun.Finding finding) {
        return Map.of(
                "promise", finding.violation().promise(),
                "request", finding.violation().request().name(),
                "detail", finding.violation().detail(),
                "timeline", finding.timeline());
    }

    /** Prints all broken promises, and the timeline of the first request of each. */
    private void print(Session session, long seed, List<SoakRun.Finding> findings) {
        Set<String> promises = new HashSet<>();
        for (SoakRun.Finding finding : findings) {
            if (promises.add(finding.violation().promise())) {
                session.printLine("broken: %s", finding.violation().promise());
            }
            session.printLine(
                    "  %s: %s",
                    finding.violation().request().name(), finding.violation().detail());
        }
        promises.clear();
        for (SoakRun.Finding finding : findings) {
            if (promises.add(finding.violation().promise())) {
                session.printLine(
                        "timeline of %s", finding.violation().request().name());
                finding.timeline().forEach(line -> session.printLine("  %s", line));
            }
        }
        if (!findings.isEmpty()) {
            session.printLine("play again: radishwinch soak %s --seed %d --length %d", file, seed, lengthS);
        }
    }

    private List<Long> readSeeds() {
        Matcher range = SEEDS.matcher(seeds);
        if (range.matches()) {
            long first = Long.parseLong(range.group(1));
            long last = range.group(2) == null ? first : Long.parseLong(range.group(2));
            if (last >= first && last - first < MAX_SEEDS) {
                List<Long> chosen = new ArrayList<>();
                for (long seed = first; seed <= last; seed++) {
                    chosen.add(seed);
                }
                return chosen;
            }
        }
        throw new CliException(
                ExitCode.USAGE,
                "--seed must be a number or a range of at most " + MAX_SEEDS + " seeds such as 1-20, found '" + seeds
                        + "'",
                "");
    }
}

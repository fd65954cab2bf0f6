package io.radishwinch.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.beust.jcommander.JCommander;
import io.radishwinch.soak.CallerRecord;
import io.radishwinch.soak.SoakRun;
import io.radishwinch.soak.check.AnswerCheck;
import io.radishwinch.soak.check.Violation;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a soak that starts something on bad arguments, or that hides a broken promise. */
class SoakCommandTest {
    private static final CallerRecord BROKEN = new CallerRecord(
            "chat-2-1",
            "chat",
            "chat",
            "router-1",
            "r-1",
            0,
            600,
            20_000,
            40,
            new CallerRecord.Response(CallerRecord.End.BROKEN_OFF, 200, "", "", List.of()));

    @TempDir
    Path directory;

    private final List<Long> played = new ArrayList<>();
    private List<String> routerErrors = List.of();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    @BeforeEach
    void writeScenario() throws Exception {
        Files.copy(Path.of("../examples/soak/streams.yaml"), directory.resolve("streams.yaml"));
    }

    @Test
    void eachSeedHasALineAndTheExitCodeIsZeroIfNoPromiseIsBroken() {
        assertThat(run("streams.yaml --seed 3-4 --logs out")).isEqualTo(ExitCode.OK);
        assertThat(played).containsExactly(3L, 4L);
        assertThat(text())
                .contains(
                        "seed 3: {complete=58}; 43 silences, changes and kills; broken promises: 0",
                        "seed 4: {complete=58}; 43 silences, changes and kills; broken promises: 0")
                .doesNotContain("play again");
    }

    @Test
    void aBrokenPromiseIsPrintedWithItsRequestItsTimelineAndTheCommandToPlayItAgain() {
        assertThat(run("streams.yaml --seed 1-3 --length 7 --logs out")).isEqualTo(ExitCode.FAILED);
        assertThat(played).containsExactly(1L, 2L, 3L);
        assertThat(text())
                .contains(
                        "logs: " + directory.resolve("out"),
                        "seed 2: {broken-off=1}; 43 silences, changes and kills; broken promises: 1",
                        "broken: " + new AnswerCheck().promise(),
                        "  chat-2-1: broken off",
                        "timeline of chat-2-1\n  0 ms caller sends",
                        "play again: radishwinch soak streams.yaml --seed 2 --length 7");
    }

    /** Guards against exceptions of routers that nobody sees because their callers are served all the same. */
    @Test
    void anErrorInTheLogOfARouterIsPrintedAndFailsTheSoak() {
        routerErrors = List.of("router-1: SEVERE: internal error, observer chat-3-1");
        assertThat(run("streams.yaml --seed 3 --logs out")).isEqualTo(ExitCode.FAILED);
        assertThat(text())
                .contains(
                        "errors in the logs of the routers: 1\n  router-1: SEVERE: internal error, observer chat-3-1");
    }

    @Test
    void nothingIsPlayedOnABadScenario() throws Exception {
        Files.writeString(directory.resolve("bad.yaml"), "schema: soak/v1\nrouters: {count: none}\n");
        assertThatThrownBy(() -> run("bad.yaml --logs out"))
                .isInstanceOfSatisfying(
                        CliException.class, e -> assertThat(e.exitCode()).isEqualTo(ExitCode.INVALID));
        assertThat(text()).contains("bad.yaml:2: $.routers.count: expected a number of routers, found 'none'");
        assertThat(played).isEmpty();
        assertThat(directory.resolve("out")).doesNotExist();
    }

    @Test
    void nothingIsPlayedWithSeedsOrALengthThatAreNone() {
        for (String arguments : new String[] {"--seed x", "--seed 5-4", "--seed 1-1001", "--length 0"}) {
            assertThatThrownBy(() -> run("streams.yaml " + arguments))
                    .isInstanceOfSatisfying(
                            CliException.class, e -> assertThat(e.exitCode()).isEqualTo(ExitCode.USAGE))
                    .hasMessageContaining(arguments.split(" ")[0]);
        }
        assertThat(played).isEmpty();
    }

    private ExitCode run(String arguments) {
        SoakCommand command = new SoakCommand((scenario, seed, lengthMs, logs) -> {
            played.add(seed);
            return seed == 2
                    ? new SoakRun.Result(Map.of("broken-off", 1), 43, List.of(finding()), List.of())
                    : new SoakRun.Result(Map.of("complete", 58), 43, List.of(), routerErrors);
        });
        JCommander.newBuilder().addObject(command).build().parse(arguments.split(" "));
        Environment environment = new Environment(Map.of(), directory, directory, Clock.systemUTC(), new Random(1));
        PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
        try (Session session = new Session(command.common, environment, stream, stream)) {
            return command.run(session);
        }
    }

    private static SoakRun.Finding finding() {
        Violation violation = new Violation(new AnswerCheck().promise(), BROKEN, "broken off");
        return new SoakRun.Finding(violation, List.of("0 ms caller sends"));
    }

    private String text() {
        return output.toString(StandardCharsets.UTF_8);
    }
}

package io.radishwinch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against faults that the logs of a run show and nobody sees, such as an attempt that never ends. */
class LogAuditTest {
    private static final String STARTED = line("started", "", 1_000, "\"router\":\"r\"");
    private static final String REQUEST =
            line("request-arrived", "a", 2_000, "\"leftMs\":5000") + line("attempt-started", "a", 2_001, "\"epoch\":1");
    private static final String LATER = line("lease-taken", "", 60_000, "\"subject\":\"l\"");

    @TempDir
    Path directory;

    private Transcript session;

    @BeforeEach
    void open() throws Exception {
        session = new Transcript(directory);
    }

    @AfterEach
    void close() throws Exception {
        session.close();
    }

    private static String line(String event, String id, long atMs, String fields) {
        return "{\"time\":\"t\",\"event\":\"" + event + "\",\"id\":\"" + id + "\"," + fields + ",\"atMs\":" + atMs
                + "}\n";
    }

    private ExitCode audit(String log) throws Exception {
        session.write("a.log", log);
        return session.run("audit a.log");
    }

    @Test
    void anAttemptWithoutAnEndAfterItsDeadlineIsFound() throws Exception {
        assertThat(audit(STARTED + REQUEST + LATER)).isEqualTo(ExitCode.FAILED);
        assertThat(session.text())
                .contains("attempts without an end: 1\n  a.log  a  epoch 1  at 2001")
                .contains("undecided: 0");
    }

    @Test
    void anAttemptWhoseCallerLeavesNeedsAnEndOfItsOwn() throws Exception {
        String gone = line("response-cut", "a", 2_500, "\"reason\":\"caller-disconnected\"")
                + line("caller-gone", "a", 2_501, "\"x\":1");
        assertThat(audit(STARTED + REQUEST + gone)).isEqualTo(ExitCode.FAILED);
        String end = line("response-ended", "a", 2_500, "\"cause\":\"cancelled\",\"epoch\":1");
        assertThat(audit(STARTED + REQUEST + end + gone)).isEqualTo(ExitCode.OK);
    }

    @ParameterizedTest
    @ValueSource(strings = {"attempt-failed", "attempt-cancelled", "response-ended", "answered", "refused", "relayed"})
    void anAttemptWithAnEndIsNotFound(String end) throws Exception {
        assertThat(audit(STARTED + REQUEST + line(end, "a", 3_000, "\"epoch\":1") + LATER))
                .isEqualTo(ExitCode.OK);
    }

    @Test
    void theEndOfAnotherEpochIsNone() throws Exception {
        assertThat(audit(STARTED + REQUEST + line("attempt-failed", "a", 3_000, "\"epoch\":2") + LATER))
                .isEqualTo(ExitCode.FAILED);
    }

    @Test
    void anAttemptIsUndecidedIfItsProcessIsKilledOrLinesAreMissing() throws Exception {
        assertThat(audit(STARTED + REQUEST + line("started", "", 2_800, "\"router\":\"r\"") + LATER))
                .isEqualTo(ExitCode.OK);
        assertThat(audit(STARTED + REQUEST + line("request-lines-suppressed", "", 2_800, "\"lines\":3") + LATER))
                .isEqualTo(ExitCode.OK);
        assertThat(session.text())
                .contains("the log ends before the deadline of the request")
                .contains("lines of this process were not written");
    }

    /**
     * Guards against attempts of a killed process that count as unended because the next one is stopped at its start.
     */
    @Test
    void aLineOfTheNextProcessBeforeItHasStartedIsNoneOfTheKilledOne() throws Exception {
        String next = line("starting", "", 2_800, "\"router\":\"r\"")
                + line("stopping", "", 90_000, "\"router\":\"r\"")
                + line("started", "", 90_100, "\"router\":\"r\"");
        assertThat(audit(STARTED + REQUEST + next)).isEqualTo(ExitCode.OK);
        assertThat(session.text()).contains("undecided: 1");
        assertThat(audit(STARTED + REQUEST + next + LATER)).isEqualTo(ExitCode.OK);
    }

    @Test
    void aStoppedProcessLeavesNoAttempt() throws Exception {
        assertThat(audit(STARTED + REQUEST + line("stopped", "", 2_800, "\"router\":\"r\"")))
                .isEqualTo(ExitCode.FAILED);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"time\":\"t\",\"level\":\"SEVERE\",\"logger\":\"x\",\"message\":\"m\"}",
                "SEVERE: Unhandled exception",
                "{\"level\":\"INFO\",\"message\":\"internal error, exchange a\"}",
                "{\"event\":\"refused\",\"id\":\"b\",\"reason\":\"internal-error\",\"atMs\":5}"
            })
    void aLineOnAnExceptionIsFound(String exception) throws Exception {
        assertThat(audit(STARTED + exception + "\n")).isEqualTo(ExitCode.FAILED);
        assertThat(session.text()).contains("exceptions: 1\n  a.log: " + exception);
    }

    /** Guards against attempts that seem to have no end because the line of it is in two chunks. */
    @Test
    void chunksOfCapturedOutputAreJoinedByProcess() throws Exception {
        String end = line("answered", "a", 3_000, "\"status\":200");
        String captured = "built in 25.3 s\n -14.2203 front-zone-1 " + STARTED + REQUEST
                + "   8.6072 front-zone-2 " + STARTED + REQUEST
                + "   8.6073 front-zone-1 " + end.substring(0, 40)
                + "   8.6074 front-zone-2 " + LATER + end.substring(0, 31)
                + " 118.6075 front-zone-1 " + end.substring(40) + LATER
                + " 118.6076 front-zone-2 " + end.substring(31);
        assertThat(audit(captured)).isEqualTo(ExitCode.OK);
        assertThat(session.text()).contains("attempts without an end: 0").contains("undecided: 0");
        assertThat(audit(captured.replace("118.6076 front-zone-2 " + end.substring(31), "118.6076 front-zone-2 \n")))
                .isEqualTo(ExitCode.FAILED);
        assertThat(session.text()).contains("  a.log/front-zone-2  a  epoch 1  at 2001");
    }
}

package io.radishwinch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a wrong or missing cause for a request whose lines are in the logs, and against wrong counts. */
class LogCommandsTest {
    private static final String FIRST_ROUTER =
            """
            {"time":"t","level":"INFO","event":"started","router":"router-1","build":"8f12ff2a0c1e","atMs":1000}
            {"event":"request-arrived","id":"cut","caller":"clinic","rank":"interactive","pool":"m","leftMs":9000,"config":3,"atMs":5000}
            {"event":"attempt-started","id":"cut","epoch":1,"chain":"i-1@7:0-4 i-2@7:4-8","from":0,"atMs":5001}
            {"event":"endpoint-unreachable","subject":"i-9@7","detail":"no report","atMs":5500}
            {"event":"endpoint-unreachable","subject":"i-2@7","detail":"streams of i-1@7 wait for it","atMs":6000}
            {"event":"attempt-cancelled","id":"cut","epoch":1,"reason":"stage-died","atMs":6001}
            {"event":"refused","id":"cut","reason":"retry-budget-exhausted","verdict":"may-have-run","retryAfterMs":0,"atMs":6400}
            {"event":"request-arrived","id":"late","caller":"clinic","rank":"batch","pool":"m","leftMs":9000,"config":3,"atMs":7000}
            {"event":"refused","id":"late","reason":"no-capacity","verdict":"not-run","retryAfterMs":3000,"atMs":7500}
            {"event":"request-arrived","id":"charge","caller":"clinic","rank":"account-action","pool":"service:pay","leftMs":800,"config":3,"atMs":30000}
            {"event":"attempt-started","id":"charge","epoch":1,"chain":"i-5@7:0-1","from":0,"atMs":30001}
            {"event":"attempt-failed","id":"charge","epoch":1,"endpoint":"i-5@7","reason":"stage-died","verdict":"may-have-run","delivered":0,"atMs":30100}
            {"event":"refused","id":"charge","reason":"stage-died","verdict":"may-have-run","retryAfterMs":0,"atMs":30101}
            not a structured line
            {"event":"request-lines-suppressed","lines":12,"atMs":31000}
            """;
    private static final String SECOND_ROUTER =
            """
            2026-12-04 host-2 {"event":"stopping","router":"router-2","atMs":4000}
            2026-12-04 host-2 {"event":"request-arrived","id":"drained","caller":"clinic","pool":"m","leftMs":9000,"config":3,"atMs":7000}
            2026-12-04 host-2 {"event":"refused","id":"drained","reason":"draining","verdict":"not-run","retryAfterMs":10,"atMs":7001}
            2026-12-04 host-2 {"event":"rejected","id":"unknown","caller":"","reason":"unknown-caller","detail":"the key is unknown","atMs":7100}
            2026-12-04 host-2 {"event":"request-arrived","id":"fine","caller":"clinic","pool":"m","leftMs":9000,"config":3,"atMs":8000}
            2026-12-04 host-2 {"event":"attempt-started","id":"fine","epoch":1,"chain":"i-1@7:0-8","from":0,"atMs":8001}
            2026-12-04 host-2 {"event":"answered","id":"fine","status":200,"endpoint":"i-1@7","connection":"17/3 identified","attempts":1,"firstMs":60,"longestPauseMs":40,"events":12,"arrivedAtMs":8000,"atMs":8900}
            """;

    @TempDir
    Path directory;

    private Transcript session;

    @BeforeEach
    void open() throws Exception {
        session = new Transcript(directory);
        session.write("a.log", FIRST_ROUTER);
        session.write("b.log", SECOND_ROUTER);
    }

    @AfterEach
    void close() throws Exception {
        session.close();
    }

    @Test
    void traceFindsTheCauseOfEachKindOfFailure() throws Exception {
        for (String id : new String[] {"cut", "late", "charge", "drained", "unknown", "fine", "nowhere"}) {
            session.run("trace a.log b.log " + id);
        }
        session.run("trace a.log");
        session.run("trace missing.log cut");
        session.run("trace b.log unknown --output json");
        Approvals.verify(session.text());
    }

    @Test
    void summaryCountsByOutcomeRouterMinuteAndEndpoint() throws Exception {
        session.run("logs summary a.log b.log");
        Approvals.verify(session.text());
    }

    /** Guards against an outcome that is read from a line that broke off at the end of a log file. */
    @Test
    void aLineThatBrokeOffIsSkippedAndNoted() throws Exception {
        String whole = SECOND_ROUTER.strip();
        session.write("c.log", whole.substring(0, whole.length() - 1));
        session.run("logs summary c.log");
        assertThat(session.text()).contains("1 unstructured lines were skipped").doesNotContain("answered");
    }

    /**
     * Guards against a trace of a response whose origin an earlier release did not log that names an empty endpoint.
     */
    @Test
    void traceOfAnEarlierReleaseNamesNoOrigin() throws Exception {
        session.write(
                "c.log",
                "{\"event\":\"retried\",\"caller\":\"clinic\",\"reason\":\"stage-died\",\"atMs\":7990}\n"
                        + "{\"event\":\"answered\",\"id\":\"old\",\"attempts\":1,\"firstMs\":60,\"longestPauseMs\":40,\"atMs\":8900}\n");
        session.run("trace c.log old");
        assertThat(session.text()).contains("completed, first event after 60 ms, longest pause 40 ms\n");
    }

    /** Guards against a trace that misses the outcome because the end of a cancelled response is logged after it. */
    @Test
    void traceFindsTheOutcomeBeforeTheEndOfACancelledResponse() throws Exception {
        session.write(
                "c.log",
                SECOND_ROUTER
                        + "{\"event\":\"response-ended\",\"id\":\"drained\",\"epoch\":1,\"cause\":\"cancelled\",\"atMs\":7002}\n");
        session.run("trace c.log drained");
        assertThat(session.text()).contains("refused as not-run because of draining");
    }
}

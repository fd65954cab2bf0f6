package io.radishwinch.server;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.standins.EngineStandIn;
import io.radishwinch.standins.StandInFleet;
import io.vertx.core.Future;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes of what callers receive, in normal operation and after failures; compares with golden files.
 */
class CallerSessionTest {
    private static final String CHARGES = "/services/" + StandInFleet.BILLING + "/charges";

    private static TestDeployment deployment;
    private RecordedSession session;

    @BeforeAll
    static void start() throws Exception {
        deployment = new TestDeployment(2);
    }

    @AfterAll
    static void stop() throws Exception {
        deployment.close();
    }

    @BeforeEach
    void open() {
        session = new RecordedSession(deployment.routers.get(0).callerPort());
    }

    @AfterEach
    void assertEveryLayerRanOncePerToken() {
        assertThat(deployment.fleet.ledger().violations()).isEmpty();
    }

    @Test
    void completionIsReturnedAsOneResponse() throws Exception {
        session.post("/v1/completions", RecordedSession.completion("good evening", 8, false));
        session.post(
                "/v1/chat/completions",
                "{\"model\":\"" + TestDeployment.MODEL
                        + "\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}],\"max_completion_tokens\":4}");
        Approvals.verify(session);
    }

    @Test
    void completionIsStreamed() throws Exception {
        session.post("/v1/completions", RecordedSession.completion("good evening", 4, true));
        session.post(
                "/v1/chat/completions",
                "{\"model\":\"" + TestDeployment.MODEL + "\",\"messages\":[{\"role\":\"user\",\"content\":"
                        + "[{\"type\":\"text\",\"text\":\"hello\"}]}],\"max_tokens\":3,\"stream\":true,"
                        + "\"stream_options\":{\"include_usage\":true}}");
        Approvals.verify(session);
    }

    @Test
    void streamIsCompleteAfterAStageDies() throws Exception {
        RecordedSession uninterrupted =
                new RecordedSession(deployment.routers.get(0).callerPort());
        uninterrupted.post("/v1/completions", RecordedSession.completion("a long night", 60, true));
        EngineStandIn[] crashed = {null};
        session.post("/v1/completions", RecordedSession.completion("a long night", 60, true), events -> {
            if (events >= 10 && crashed[0] == null) {
                crashed[0] = crash(runningEngine());
            }
        });
        assertThat(crashed[0]).as("a stage crashed while it ran").isNotNull();
        crashed[0].restart();
        assertThat(session).hasToString(uninterrupted.toString());
        Approvals.verify(session);
    }

    private static Optional<EngineStandIn> runningEngine() {
        return deployment.fleet.engines().stream()
                .filter(engine -> engine.runningAttempts() > 0)
                .findFirst();
    }

    private static EngineStandIn crash(Optional<EngineStandIn> engine) {
        engine.ifPresent(EngineStandIn::crash);
        return engine.orElse(null);
    }

    @Test
    void refusalsCarryReasonAndNotRunVerdict() throws Exception {
        session.post("/v1/completions", "{\"model\":");
        session.post("/v1/completions", "{\"model\":\"other\",\"prompt\":\"x\"}");
        session.post("/v1/completions", "{\"model\":\"" + TestDeployment.MODEL + "\",\"prompt\":\"x\",\"n\":2}");
        session.post("/v1/completions", RecordedSession.completion("x", 1, false), "X-Radishwinch-Rank: batch");
        session.post("/v1/completions", RecordedSession.completion("x", 1, false), "X-Radishwinch-Rank: fast");
        session.post("/v1/completions", RecordedSession.completion("x", 1, false), "X-Radishwinch-Deadline-Ms: soon");
        session.post("/v1/completions", RecordedSession.completion("x".repeat(70_000), 1, false));
        session.post("/v1/completions", RecordedSession.completion("x", 1, false), "X-Filler: " + "y".repeat(20_000));
        session.post("/v1/nothing", "{}");
        session.post(CHARGES, "{\"cents\":1}");
        session.post("/services/none/x", "{}");
        session.note("missing key, unknown key, invalid UTF-8, incomplete body");
        session.raw(bytes("POST /v1/completions HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"), n -> {});
        session.raw(
                bytes(
                        "GET /v1/models HTTP/1.1\r\nHost: r\r\nConnection: close\r\nAuthorization: Bearer nobody\r\n\r\n"),
                n -> {});
        session.raw(rawPost("Content-Length: 3\r\n", new byte[] {'"', (byte) 0xff, '"'}), n -> {});
        session.raw(rawPost("Content-Length: 100\r\n", new byte[] {'{'}), n -> {});
        Approvals.verify(session);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] rawPost(String header, byte[] body) {
        return bytes("POST /v1/completions HTTP/1.1\r\nHost: r\r\nConnection: close\r\nAuthorization: Bearer "
                + TestDeployment.KEY + "\r\n" + header + "\r\n" + new String(body, StandardCharsets.ISO_8859_1));
    }

    /**
     * Guards against a stream to a caller of HTTP/1.0, whose end is the end of its connection, also if it broke off.
     */
    @Test
    void streamToACallerOfHttp10IsRefused() throws Exception {
        byte[] body = bytes(RecordedSession.completion("good evening", 4, true));
        String request =
                new String(rawPost("Content-Length: " + body.length + "\r\n", body), StandardCharsets.ISO_8859_1);
        String response = session.raw(bytes(request.replace("HTTP/1.1", "HTTP/1.0")), n -> {});
        assertThat(response).contains(" 400 ").contains("HTTP/1.1").contains("\"verdict\":\"not-run\"");
    }

    @Test
    void nonRepeatableCallRunsOnceAndItsResponseIsReplayed() throws Exception {
        session.post(CHARGES, "{\"cents\":1900}", "Idempotency-Key: renewal-1");
        session.note("same key with the same body, then with a different body");
        session.post(CHARGES, "{\"cents\":1900}", "Idempotency-Key: renewal-1");
        session.post(CHARGES, "{\"cents\":2000}", "Idempotency-Key: renewal-1");
        session.note("executions: " + executions("renewal-1"));
        Approvals.verify(session);
    }

    @Test
    void nonRepeatableCallIsNotRetriedAfterAnAmbiguousFailure() throws Exception {
        deployment.fleet.service(StandInFleet.BILLING).dropResponses(1);
        session.post(CHARGES, "{\"cents\":500}", "Idempotency-Key: refund-1");
        session.note("the caller retries through the other router");
        RecordedSession otherRouter =
                new RecordedSession(deployment.routers.get(1).callerPort());
        otherRouter.post(CHARGES, "{\"cents\":500}", "Idempotency-Key: refund-1");
        session.note("executions: " + executions("refund-1"));
        Approvals.verify(session.toString() + otherRouter);
    }

    private static int executions(String key) {
        return deployment.fleet.service(StandInFleet.BILLING).executions(key);
    }

    @Test
    void onlyNonRepeatableCallsAreRefusedWithoutThePlatform() throws Exception {
        deployment.fleet.platform().setDown(true);
        try {
            session.post(CHARGES, "{\"cents\":7}", "Idempotency-Key: while-down");
            session.post("/v1/completions", RecordedSession.completion("good evening", 3, false));
        } finally {
            deployment.fleet.platform().setDown(false);
        }
        assertThat(executions("while-down")).isZero();
        Approvals.verify(session);
    }

    @Test
    void disconnectCancelsDownstreamWork() throws Exception {
        long cancelledBefore = cancelled();
        try (Socket socket = new Socket("127.0.0.1", deployment.routers.get(0).callerPort())) {
            byte[] body = bytes(RecordedSession.completion("read half of it", 2000, true));
            socket.getOutputStream().write(rawPost("Content-Length: " + body.length + "\r\n", body));
            assertThat(socket.getInputStream().readNBytes(2000)).hasSize(2000);
        }
        TestDeployment.waitUntil(() -> cancelled() > cancelledBefore);
        TestDeployment.waitUntil(() -> runningEngine().isEmpty());
    }

    private static long cancelled() {
        return deployment.fleet.engines().stream()
                .mapToLong(EngineStandIn::cancelledAttempts)
                .sum();
    }

    @Test
    void plannedStopInterruptsNoRunningStream() throws Exception {
        RouterProcess leaving = deployment.startRouter("router-leaving");
        RecordedSession stream = new RecordedSession(leaving.callerPort());
        TestDeployment.waitUntil(
                () -> stream.statusOf("/v1/completions", RecordedSession.completion("warm-up", 1, false)) == 200);
        @SuppressWarnings({"unchecked", "rawtypes"})
        Future<Void>[] drained = new Future[] {null};
        String response =
                stream.post("/v1/completions", RecordedSession.completion("last words", 200, true), events -> {
                    if (events >= 5 && drained[0] == null) {
                        drained[0] = leaving.drain();
                        assertRefusedWhileDraining(leaving);
                    }
                });
        assertThat(response).contains("data: [DONE]");
        TestDeployment.await(drained[0]);
    }

    private void assertRefusedWhileDraining(RouterProcess leaving) {
        try {
            RecordedSession lateSession = new RecordedSession(leaving.callerPort());
            String response = lateSession.post("/v1/completions", RecordedSession.completion("too late", 1, false));
            assertThat(response).contains("\"reason\":\"draining\"").contains("\"verdict\":\"not-run\"");
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}

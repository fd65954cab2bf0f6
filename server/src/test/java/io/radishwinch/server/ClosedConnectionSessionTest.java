package io.radishwinch.server;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.standins.EngineStandIn;
import io.radishwinch.standins.PlatformStandIn;
import io.radishwinch.standins.StandInFleet;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against callers who get neither an answer nor a refusal when endpoints close connections in use. */
class ClosedConnectionSessionTest {
    private static final String CHARGES = "/services/" + StandInFleet.BILLING + "/charges";
    private static final int REQUESTS = 16;
    private static final int CALLS = 2;

    private static final List<AttemptCloser> CLOSERS = new ArrayList<>();
    private static TestDeployment deployment;
    private static RecordedSession session;

    @BeforeAll
    static void start() throws Exception {
        deployment = new TestDeployment(1);
        session = new RecordedSession(deployment.routers.get(0).callerPort());
        closeConnectionsOfAttempts();
    }

    @AfterAll
    static void stop() throws Exception {
        deployment.close();
        for (AttemptCloser closer : CLOSERS) {
            closer.close();
        }
    }

    private static void closeConnectionsOfAttempts() throws Exception {
        for (EngineStandIn engine : deployment.fleet.engines()) {
            AttemptCloser closer = new AttemptCloser(engine.port());
            CLOSERS.add(closer);
            PlatformStandIn.Vm vm = StandInFleet.vm(engine);
            deployment
                    .fleet
                    .platform()
                    .putVm(new PlatformStandIn.Vm(
                            vm.id(), vm.dataCentre(), vm.host(), closer.port(), vm.role(), vm.service(), false));
        }
        TestDeployment.waitUntil(() -> CLOSERS.stream().allMatch(closer -> closer.acceptedConnections.get() > 0));
    }

    private static boolean isAnswered(String response) {
        return response.startsWith("HTTP/1.1 200 ")
                && (!response.contains("text/event-stream") || response.contains("data: [DONE]"));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void everyCompletionEndsWithAnAnswerOrAnErrorWithReasonAndVerdict(boolean isStreaming) throws Exception {
        int answers = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String response = session.post("/v1/completions", RecordedSession.completion("p" + i, 2, isStreaming));
            if (isAnswered(response)) {
                answers++;
            } else {
                assertThat(response).contains("\"reason\":\"").contains("\"verdict\":\"");
            }
        }
        assertThat(answers).isPositive();
        assertThat(CLOSERS.stream()
                        .mapToInt(closer -> closer.closedConnections.get())
                        .sum())
                .isPositive();
        assertNoInternalErrors();
    }

    private static void assertNoInternalErrors() {
        InternalErrors errors = deployment.routers.get(0).errors();
        for (InternalErrors.Part part : InternalErrors.Part.values()) {
            assertThat(errors.count(part)).as("errors of %s", part).isZero();
        }
    }

    /** Guards also against a grant that stays open, with which the caller's key is in progress for ever. */
    @Test
    void everyNonRepeatableCallEndsAndItsOutcomeIsRecorded() throws Exception {
        for (int i = 0; i < CALLS; i++) {
            deployment.fleet.service(StandInFleet.BILLING).dropCalls(1);
            String key = "Idempotency-Key: dropped-" + i;
            String response = session.post(CHARGES, "{\"cents\":1}", key);
            assertThat(response).contains("\"reason\":\"stage-died\"").contains("\"verdict\":\"may-have-run\"");
            assertThat(session.post(CHARGES, "{\"cents\":1}", key)).contains("\"reason\":\"outcome-unknown\"");
        }
        assertNoInternalErrors();
    }
}

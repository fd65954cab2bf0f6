package io.radishwinch.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.engine.EndpointAddress;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against attempts that never end because their endpoint closes the connection to which they are written. */
class ClosedConnectionTest {
    private static final int ATTEMPTS = 100;
    private static final int CALLS = 10;
    private static final long WAIT_S = 20;

    private static ExchangeContext at(ClosingEndpoint endpoint, ExchangeContext shared) {
        return new ExchangeContext(
                shared.vertx(),
                shared.context(),
                shared.control(),
                shared.engineClient(),
                shared.serviceClient(),
                id -> new EndpointAddress(id, "127.0.0.1", endpoint.port()),
                shared.journal(),
                shared.bodyMemory(),
                shared.listener(),
                shared.pendingWrites(),
                shared.writeTimeoutMs());
    }

    private static ExchangeFixture model(ClosingEndpoint endpoint, boolean isStreaming) throws Exception {
        CompletionRequest completion = new CompletionRequest(false, "m", "p", 8, isStreaming, false);
        return new ExchangeFixture((shared, request) ->
                new ModelExchange(at(endpoint, shared), ExchangeFixture.request("m", true), completion, request, 0));
    }

    private static ExchangeFixture service(ClosingEndpoint endpoint, boolean isRepeatable) throws Exception {
        return new ExchangeFixture((shared, request) -> new ServiceExchange(
                at(endpoint, shared),
                ExchangeFixture.request("service:s", isRepeatable),
                new ServiceExchange.Call(
                        HttpMethod.GET, "/", request.headers(), Buffer.buffer(), "key", new byte[] {1}),
                request));
    }

    private static void assertEveryAttemptEnds(ExchangeFixture fixture) throws Exception {
        fixture.call("HTTP/1.0");
        for (int epoch = 1; epoch <= ATTEMPTS; epoch++) {
            fixture.decideStart(epoch);
            Event.AttemptFailed failed = fixture.await(Event.AttemptFailed.class);
            assertThat(failed.epoch()).isEqualTo(epoch);
            assertThat(failed.reason()).isIn(Reason.STAGE_DIED, Reason.ENDPOINT_REFUSED);
        }
        fixture.decide(refusal());
        assertThat(fixture.readAll()).contains("\"reason\":\"stage-died\"").contains("\"verdict\":\"may-have-run\"");
        assertThat(fixture.exchangeErrors()).isZero();
    }

    private static Action.Refuse refusal() {
        return new Action.Refuse(ExchangeFixture.REQUEST_ID, Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, 0);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void everyAttemptAtAnEngineThatClosesKeptConnectionsEnds(boolean isStreaming) throws Exception {
        try (ClosingEndpoint endpoint = new ClosingEndpoint();
                ExchangeFixture fixture = model(endpoint, isStreaming)) {
            assertEveryAttemptEnds(fixture);
        }
    }

    @Test
    void everyAttemptAtAServiceThatClosesConnectionsEnds() throws Exception {
        try (ClosingEndpoint endpoint = new ClosingEndpoint();
                ExchangeFixture fixture = service(endpoint, true)) {
            assertEveryAttemptEnds(fixture);
        }
    }

    /** Guards also against a grant that stays open, with which the caller's key cannot be used again. */
    @Test
    void everyNonRepeatableCallEndsWithAnOutcomeOfItsGrant() throws Exception {
        try (ClosingEndpoint endpoint = new ClosingEndpoint()) {
            for (int i = 0; i < CALLS; i++) {
                try (ExchangeFixture fixture = service(endpoint, false)) {
                    fixture.call("HTTP/1.0");
                    fixture.decideStart(1);
                    ExchangeFixture.next(fixture.grants).complete(true);
                    Event.AttemptFailed failed = fixture.await(Event.AttemptFailed.class);
                    assertThat(failed.reason()).isEqualTo(Reason.STAGE_DIED);
                    CompletableFuture<Boolean> recording = fixture.recordings.poll(WAIT_S, TimeUnit.SECONDS);
                    assertThat(recording)
                            .as("record of a call that %s", failed.verdict())
                            .isNotNull();
                    recording.complete(true);
                    fixture.decide(refusal());
                    assertThat(fixture.readAll()).contains("stage-died").contains("may-have-run");
                }
            }
        }
    }
}

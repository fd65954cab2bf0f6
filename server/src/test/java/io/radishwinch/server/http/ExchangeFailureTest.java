package io.radishwinch.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.journal.Journal;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.engine.ServiceClient;
import io.radishwinch.server.logguard.ExpectsInternalErrors;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.net.Socket;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against callers who get neither an answer nor a refusal because a handler of their exchange throws. */
class ExchangeFailureTest {
    private static final String ENGINE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String ACCEPTED = "\"type\":\"accepted\",\"endpoint\":\"e\"";
    private static final String FIRST_TOKEN =
            "\"type\":\"token\",\"seq\":0,\"text\":\"t\",\"layers\":[[0,1]],\"stageUs\":[1]";
    private static final String SMALL_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsmall";
    private static final String LARGE = "x".repeat(StoredResponse.MAX_BODY_BYTES + 1);
    private static final String LARGE_HEAD = "HTTP/1.1 200 OK\r\nContent-Length: " + (LARGE.length() + 4) + "\r\n\r\n";

    private static ExchangeFixture streamWhoseCallerFails(String failingMethod) throws Exception {
        CompletionRequest completion = new CompletionRequest(false, "m", "p", 8, true, false);
        return new ExchangeFixture((shared, request) -> new ModelExchange(
                shared, ExchangeFixture.request("m", true), completion, FailingResponse.of(request, failingMethod), 0));
    }

    private static ExchangeFixture serviceWhoseCallerFails(String failingMethod, boolean isRepeatable)
            throws Exception {
        return service(shared -> shared, failingMethod, isRepeatable);
    }

    private static ExchangeFixture service(
            UnaryOperator<ExchangeContext> change, String failingMethod, boolean isRepeatable) throws Exception {
        return new ExchangeFixture((shared, request) -> new ServiceExchange(
                change.apply(shared),
                ExchangeFixture.request("service:s", isRepeatable),
                new ServiceExchange.Call(
                        HttpMethod.GET, "/", request.headers(), Buffer.buffer(), "key", new byte[] {1}),
                FailingResponse.of(request, failingMethod)));
    }

    private static UnaryOperator<ExchangeContext> withServiceClient(ServiceClient client) {
        return shared -> new ExchangeContext(
                shared.vertx(),
                shared.context(),
                shared.control(),
                shared.engineClient(),
                client,
                shared.endpoints(),
                shared.journal(),
                shared.bodyMemory(),
                shared.listener(),
                shared.pendingWrites(),
                shared.writeTimeoutMs());
    }

    private static UnaryOperator<ExchangeContext> withJournal(Journal journal) {
        return shared -> new ExchangeContext(
                shared.vertx(),
                shared.context(),
                shared.control(),
                shared.engineClient(),
                shared.serviceClient(),
                shared.endpoints(),
                new JournalAccess(shared.control(), journal),
                shared.bodyMemory(),
                shared.listener(),
                shared.pendingWrites(),
                shared.writeTimeoutMs());
    }

    private static String line(String fields) {
        String line = "{\"request\":\"" + ExchangeFixture.REQUEST_ID + "\",\"epoch\":1," + fields + "}\n";
        return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
    }

    private static void assertEndedAsInternalError(ExchangeFixture fixture) throws Exception {
        assertThat(fixture.readAll())
                .startsWith("HTTP/1.0 500 ")
                .contains("\"reason\":\"internal-error\"")
                .contains("\"verdict\":\"may-have-run\"");
        assertThat(ExchangeFixture.next(fixture.outcomes)).map(Refusal::reason).contains(Reason.INTERNAL_ERROR);
        fixture.await(Event.CallerDisconnected.class);
        assertThat(fixture.exchangeErrors()).isOne();
    }

    /** Guards against a stream that never ends because the handler of one of its tokens throws. */
    @Test
    @ExpectsInternalErrors
    void aStreamWhoseTokenCannotBeForwardedEndsWithAnError() throws Exception {
        try (ExchangeFixture fixture = streamWhoseCallerFails("write")) {
            fixture.call("HTTP/1.0");
            Socket engine = fixture.startAttempt(1);
            ExchangeFixture.write(engine, ENGINE_HEAD + line(ACCEPTED) + line(FIRST_TOKEN));
            assertEndedAsInternalError(fixture);
            engine.close();
        }
    }

    /** Guards against a stream that stays open after the handler that breaks it off has thrown. */
    @Test
    @ExpectsInternalErrors
    void aRefusedStreamWhoseResetFailsEndsNevertheless() throws Exception {
        try (ExchangeFixture fixture = streamWhoseCallerFails("reset")) {
            Socket caller = fixture.call("HTTP/1.1");
            Socket engine = fixture.startAttempt(1);
            ExchangeFixture.write(engine, ENGINE_HEAD + line(ACCEPTED) + line(FIRST_TOKEN));
            assertThat(ExchangeFixture.readHead(caller)).startsWith("HTTP/1.1 200");
            fixture.decide(
                    new Action.Refuse(ExchangeFixture.REQUEST_ID, Reason.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN, 0));
            assertThat(fixture.readAll()).contains("deadline-exceeded").doesNotEndWith(ExchangeFixture.LAST_CHUNK);
            assertThat(fixture.exchangeErrors()).isOne();
            engine.close();
        }
    }

    /** Guards against an error in place of a response that has the headers of the response. */
    @Test
    @ExpectsInternalErrors
    void aSmallResponseThatCannotBeSentEndsAsAnError() throws Exception {
        try (ExchangeFixture fixture = serviceWhoseCallerFails("end", true)) {
            fixture.call("HTTP/1.0");
            Socket service = fixture.startAttempt(1);
            ExchangeFixture.write(service, SMALL_RESPONSE.replace("\r\n\r\n", "\r\nX-Answer: yes\r\n\r\n"));
            fixture.await(Event.AttemptFinished.class);
            fixture.decide(new Action.Complete(ExchangeFixture.REQUEST_ID));
            assertThat(fixture.readAll())
                    .startsWith("HTTP/1.0 500 ")
                    .contains("internal-error")
                    .doesNotContain("X-Answer");
            assertThat(fixture.exchangeErrors()).isOne();
        }
    }

    /** Guards against a large response, or the callback of its recorded outcome, whose handler throws. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    @ExpectsInternalErrors
    void aLargeResponseThatCannotBeForwardedEndsAsAnError(boolean isRepeatable) throws Exception {
        try (ExchangeFixture fixture = serviceWhoseCallerFails("write", isRepeatable)) {
            fixture.call("HTTP/1.1");
            fixture.decideStart(1);
            if (!isRepeatable) {
                ExchangeFixture.next(fixture.grants).complete(true);
            }
            Socket service = fixture.acceptAttempt();
            ExchangeFixture.write(service, LARGE_HEAD + LARGE);
            if (!isRepeatable) {
                ExchangeFixture.next(fixture.recordings).complete(true);
            }
            assertThat(ExchangeFixture.next(fixture.outcomes))
                    .map(Refusal::reason)
                    .contains(Reason.INTERNAL_ERROR);
            assertThat(fixture.await(Event.AttemptFailed.class).reason()).isEqualTo(Reason.INTERNAL_ERROR);
            assertThat(fixture.recordings).as("second records of the outcome").isEmpty();
            assertThat(fixture.exchangeErrors()).isOne();
            service.close();
        }
    }

    /** Guards against a call that waits to its deadline, with its grant, because reading its response throws. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    @ExpectsInternalErrors
    void aResponseThatCannotBeReadEndsTheCallAndItsGrant(boolean isRepeatable) throws Exception {
        ServiceClient client = call -> new ServiceClient.Exchange() {
            @Override
            public Future<ServiceClient.Response> response() {
                return Future.succeededFuture(
                        new ServiceClient.Response(200, MultiMap.caseInsensitiveMultiMap(), null));
            }

            @Override
            public void cancel() {}
        };
        try (ExchangeFixture fixture = service(withServiceClient(client), "", isRepeatable)) {
            fixture.call("HTTP/1.0");
            fixture.decideStart(1);
            if (!isRepeatable) {
                ExchangeFixture.next(fixture.grants).complete(true);
                ExchangeFixture.next(fixture.recordings).complete(true);
            }
            assertEndedAsInternalError(fixture);
            assertThat(fixture.await(Event.AttemptFailed.class).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }
    }

    /** Guards against a grant that stays open, so that the key cannot be used again, although nothing was sent. */
    @Test
    @ExpectsInternalErrors
    void aGrantedCallThatCannotBeSentReturnsItsGrant() throws Exception {
        ServiceClient client = call -> {
            throw new IllegalStateException("no call to " + call.endpoint());
        };
        try (ExchangeFixture fixture = service(withServiceClient(client), "", false)) {
            fixture.call("HTTP/1.0");
            fixture.decideStart(1);
            ExchangeFixture.next(fixture.grants).complete(true);
            assertEndedAsInternalError(fixture);
            assertThat(ExchangeFixture.next(fixture.abandonedGrants).idempotencyKey())
                    .isEqualTo("key");
            assertThat(fixture.recordings).isEmpty();
        }
    }

    /** Guards against a call that waits to its deadline because a call of the journal throws. */
    @Test
    @ExpectsInternalErrors
    void aCallWhoseGrantCannotBeRequestedIsRefusedAsNotRun() throws Exception {
        try (ExchangeFixture fixture = service(withJournal(new FailingJournal(false)), "", false)) {
            fixture.call("HTTP/1.0");
            fixture.decideStart(1);
            assertThat(fixture.readAll())
                    .startsWith("HTTP/1.0 503 ")
                    .contains("platform-unavailable")
                    .contains("\"verdict\":\"not-run\"");
        }
    }

    /** Guards against a response that is never delivered because a call of the journal throws. */
    @Test
    @ExpectsInternalErrors
    void aResponseWhoseOutcomeCannotBeRecordedIsDelivered() throws Exception {
        try (ExchangeFixture fixture = service(withJournal(new FailingJournal(true)), "", false)) {
            fixture.call("HTTP/1.0");
            Socket service = fixture.startAttempt(1);
            ExchangeFixture.write(service, SMALL_RESPONSE);
            fixture.await(Event.AttemptFinished.class);
            fixture.decide(new Action.Complete(ExchangeFixture.REQUEST_ID));
            assertThat(fixture.readAll()).startsWith("HTTP/1.0 200 ").endsWith("small");
        }
    }

    /** Journal whose calls throw, except for the first if it grants. */
    private record FailingJournal(boolean isGranting) implements Journal {

        @Override
        public Uni<Decision> begin(String caller, String idempotencyKey, byte[] fingerprint) {
            if (isGranting) {
                return Uni.createFrom().item(new Decision.Granted(caller, idempotencyKey, fingerprint, "n"));
            }
            throw new IllegalStateException("no grant of " + idempotencyKey);
        }

        @Override
        public Uni<Boolean> complete(Decision.Granted grant, byte[] outcome) {
            throw new IllegalStateException("no record of " + grant);
        }

        @Override
        public Uni<Boolean> abandon(Decision.Granted grant) {
            throw new IllegalStateException("no release of " + grant);
        }
    }
}

package io.radishwinch.server.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests streams of an engine that responds with given bytes. */
class HttpEngineStreamTest {
    private static final String ACCEPTED = "{\"type\":\"accepted\",\"request\":\"r\",\"epoch\":3,\"endpoint\":\"e\"}\n";
    private static final String PADDING = "x".repeat(1_000);
    private static Vertx vertx;
    private static HttpServer server;
    private static HttpEngineClient client;
    private static final AtomicReference<Handler<HttpServerRequest>> SCRIPT = new AtomicReference<>();

    @BeforeAll
    static void startEngine() {
        vertx = Vertx.vertx();
        server = vertx.createHttpServer()
                .requestHandler(request -> SCRIPT.get().handle(request))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join();
        client = client(15_000);
    }

    private static HttpEngineClient client(long silenceTimeoutMs) {
        return new HttpEngineClient(
                vertx, ClientOptions.defaults().withIdleTimeoutMs(silenceTimeoutMs), System::currentTimeMillis, "");
    }

    @AfterAll
    static void stopEngine() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Guards against delivering duplicate tokens, or tokens of another request or an earlier epoch. */
    @Test
    void mismatchedAndDuplicateTokensAreDiscarded() {
        List<EngineEvent> events = respondWith(ACCEPTED
                + token("other", 3, 0, "[[0,4]]")
                + token("r", 2, 0, "[[0,4]]")
                + token("r", 3, 0, "[[0,4]]")
                + token("r", 3, 0, "[[0,4]]")
                + token("r", 3, 1, "[[0,4]]")
                + "\n{\"type\":\"done\",\"request\":\"r\",\"epoch\":3,\"tokens\":2}\n");
        assertThat(Attempts.texts(events)).containsExactly(" t0", " t1");
        assertThat(Attempts.last(events)).isInstanceOf(EngineEvent.Done.class);
    }

    /** Guards against a response with missing tokens. */
    @Test
    void missingTokenEndsTheStream() {
        assertFailed(respondWith(ACCEPTED + token("r", 3, 1, "[[0,4]]")), Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
        assertFailed(
                respondWith(ACCEPTED + "{\"type\":\"done\",\"request\":\"r\",\"epoch\":3,\"tokens\":2}\n"),
                Reason.STAGE_DIED,
                Verdict.MAY_HAVE_RUN);
    }

    /** Guards against an empty or shortened response from an attempt that never ran. */
    @Test
    void doneOfAnAttemptThatWasNotAcceptedEndsTheStream() {
        assertFailed(
                respondWith("{\"type\":\"done\",\"request\":\"r\",\"epoch\":3,\"tokens\":0}\n"),
                Reason.STAGE_DIED,
                Verdict.MAY_HAVE_RUN);
    }

    /** Guards against a token whose layers did not all run, or did not run as planned. */
    @Test
    void tokenWithLayersOutsideTheChainEndsTheStream() {
        assertFailed(respondWith(ACCEPTED + token("r", 3, 0, "[[0,3]]")), Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
        assertFailed(
                respondWith(ACCEPTED + token("r", 3, 0, "[[0,4],[0,4]]")), Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
    }

    /** Guards against unbounded memory use for a line without end. */
    @Test
    void oversizedOrMalformedLineEndsTheStream() {
        assertFailed(respondWith(ACCEPTED + "x".repeat(70_000)), Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
        assertFailed(respondWith(ACCEPTED + "{\"type\":\"token\"}\n"), Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
        assertFailed(respondWith("HTTP\n"), Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
        assertThat(client.counters().malformedLines()).isGreaterThanOrEqualTo(3);
    }

    /** Guards against the verdict not-run for work that may have run, and vice versa. */
    @Test
    void everyFailureTypeHasItsVerdict() {
        assertFailed(respondWith(""), Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
        assertFailed(respondWith(ACCEPTED), Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
        assertFailed(runScript(request -> request.connection().close()), Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
        assertFailed(
                runScript(request -> request.response().setStatusCode(500).end()),
                Reason.ENDPOINT_REFUSED,
                Verdict.MAY_HAVE_RUN);
        assertFailed(
                runScript(request -> request.response()
                        .setStatusCode(503)
                        .putHeader("X-Not-Run", "true")
                        .end()),
                Reason.ENDPOINT_REFUSED,
                Verdict.NOT_RUN);
        assertFailed(
                respondWith(
                        "{\"type\":\"error\",\"request\":\"r\",\"epoch\":3,\"endpoint\":\"e\",\"verdict\":\"not-run\"}\n"),
                Reason.ENDPOINT_REFUSED,
                Verdict.NOT_RUN);
        SCRIPT.set(request -> {});
        assertFailed(Attempts.run(client(1_500), attempt(30_000, 8)), Reason.ENDPOINT_TIMEOUT, Verdict.MAY_HAVE_RUN);
    }

    /** Guards against a request that continues after its deadline. */
    @Test
    void expiredDeadlineEndsTheStream() {
        Handler<HttpServerRequest> withoutTokens = request -> {
            request.response().setChunked(true).write(ACCEPTED);
            vertx.setPeriodic(100, id -> request.response().write("\n").onFailure(cause -> vertx.cancelTimer(id)));
        };
        assertFailed(runScript(withoutTokens, 1_500), Reason.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN);
        assertFailed(runScript(withoutTokens, 0), Reason.DEADLINE_UNREACHABLE, Verdict.NOT_RUN);
    }

    /** Guards against unbounded buffering for a slow reader. */
    @Test
    void engineStopsSendingToAPausedStream() throws InterruptedException {
        int tokens = 40_000;
        AtomicInteger sent = new AtomicInteger();
        SCRIPT.set(request -> {
            request.response().setChunked(true).write(ACCEPTED);
            send(request.response(), sent, tokens);
        });
        AtomicInteger received = new AtomicInteger();
        CountDownLatch first = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        EngineStream stream = client.open(attempt(30_000, tokens), event -> {
            if (event instanceof EngineEvent.Token) {
                received.incrementAndGet();
                first.countDown();
            } else if (event instanceof EngineEvent.Done) {
                ended.countDown();
            }
        });
        assertThat(first.await(20, TimeUnit.SECONDS)).isTrue();
        stream.pause();
        // Within this time a stream that does not pause receives all tokens, which ends the loop.
        for (int i = 0; i < 25 && sent.get() < tokens; i++) {
            Thread.sleep(100);
        }
        assertThat(sent.get()).isLessThan(tokens);
        stream.resume();
        assertThat(ended.await(20, TimeUnit.SECONDS)).isTrue();
        assertThat(received.get()).isEqualTo(tokens);
    }

    private static void send(HttpServerResponse response, AtomicInteger sent, int tokens) {
        while (!response.writeQueueFull() && sent.get() < tokens) {
            response.write(token("r", 3, sent.getAndIncrement(), "[[0,4]]", PADDING));
        }
        if (sent.get() == tokens) {
            response.end("{\"type\":\"done\",\"request\":\"r\",\"epoch\":3,\"tokens\":" + tokens + "}\n");
        } else {
            response.drainHandler(ignored -> send(response, sent, tokens));
        }
    }

    private static void assertFailed(List<EngineEvent> events, Reason reason, Verdict verdict) {
        assertThat(Attempts.last(events)).isInstanceOfSatisfying(EngineEvent.Failed.class, failed -> {
            assertThat(failed.endpointId()).isEqualTo("e");
            assertThat(failed.reason()).isEqualTo(reason);
            assertThat(failed.verdict()).isEqualTo(verdict);
        });
    }

    private static String token(String request, int epoch, int sequence, String layers) {
        return token(request, epoch, sequence, layers, "");
    }

    private static String token(String request, int epoch, int sequence, String layers, String padding) {
        return "{\"type\":\"token\",\"request\":\"" + request + "\",\"epoch\":" + epoch + ",\"seq\":" + sequence
                + ",\"padding\":\"" + padding + "\",\"text\":\" t" + sequence + "\",\"layers\":" + layers
                + ",\"stageUs\":[5]}\n";
    }

    private static List<EngineEvent> respondWith(String body) {
        return runScript(request -> request.response().end(Buffer.buffer(body)));
    }

    private static List<EngineEvent> runScript(Handler<HttpServerRequest> script) {
        return runScript(script, 30_000);
    }

    private static List<EngineEvent> runScript(Handler<HttpServerRequest> script, long remainingMs) {
        SCRIPT.set(script);
        return Attempts.run(client, attempt(remainingMs, 8));
    }

    private static AttemptRequest attempt(long remainingMs, int tokens) {
        EndpointAddress engine = new EndpointAddress("e", "127.0.0.1", server.actualPort());
        return new AttemptRequest(
                "r",
                3,
                "m",
                List.of(new AttemptRequest.StageTarget(engine, new LayerRange(0, 4), List.of())),
                "p",
                1,
                List.of(),
                List.of(),
                tokens,
                0,
                System.currentTimeMillis() + remainingMs);
    }
}

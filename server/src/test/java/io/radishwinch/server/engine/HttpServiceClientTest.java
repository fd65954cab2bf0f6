package io.radishwinch.server.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.standins.ServiceStandIn;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Collector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests calls to a plain-service stand-in over loopback sockets. */
class HttpServiceClientTest {
    private static final int MAX_RESPONSE_BYTES = 8 << 20;
    private Vertx vertx;
    private ServiceStandIn service;
    private HttpServiceClient client;

    @BeforeEach
    void startService() {
        vertx = Vertx.vertx();
        service = ServiceStandIn.start(vertx, "billing-1", "billing", 0, 8);
        client = new HttpServiceClient(
                vertx, ClientOptions.defaults().withMaxServiceBodyBytes(MAX_RESPONSE_BYTES), System::currentTimeMillis);
    }

    @AfterEach
    void stopService() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Guards against a non-repeatable call that is run twice because a failure has the wrong verdict. */
    @Test
    void everyFailureTypeHasItsVerdict() {
        assertThat(charge("paid", 20_000).toString()).contains("\"executions\":1");
        service.refuseCalls(1);
        assertFailed(() -> charge("refused", 20_000), Reason.ENDPOINT_REFUSED, Verdict.NOT_RUN);
        service.dropResponses(1);
        assertFailed(() -> charge("lost", 20_000), Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
        service.dropCalls(1);
        assertFailed(() -> charge("failed", 20_000), Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
        service.setCallDelayMs(20_000);
        assertFailed(() -> charge("late", 1_500), Reason.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN);
        assertFailed(() -> charge("too late", 0), Reason.DEADLINE_UNREACHABLE, Verdict.NOT_RUN);
        service.crash();
        assertFailed(() -> charge("unreachable", 20_000), Reason.STAGE_DIED, Verdict.NOT_RUN);
        assertThat(service.executions()).containsOnly(Map.entry("paid", 1), Map.entry("lost", 1));
    }

    /**
     * Guards against the verdict may-have-run for a call after a restart of its service, when a pooled connection is
     * stale.
     */
    @Test
    void callOverANewConnectionToAStoppedServiceDidNotRun() {
        for (int i = 0; i < 50; i++) {
            assertThat(body(call("before " + i, 20_000)).toString()).contains("\"executions\":1");
            service.crash();
            assertFailed(() -> body(call("gone", 20_000)), Reason.STAGE_DIED, Verdict.NOT_RUN);
            service.restart();
        }
    }

    /** Guards against lost or reordered bytes if both sides apply back-pressure. */
    @Test
    void largeBodyPassesThroughInBothDirections() {
        byte[] bytes = new byte[5 << 20];
        new Random(20261204).nextBytes(bytes);
        assertThat(echo(bytes, bytes.length).getBytes()).isEqualTo(bytes);
    }

    /** Guards against unbounded memory and time for bodies without end. */
    @Test
    void oversizedBodiesAreRejected() {
        byte[] bytes = new byte[MAX_RESPONSE_BYTES + 1];
        assertFailed(() -> echo(bytes, 1 << 20), Reason.BODY_TOO_LARGE, Verdict.MAY_HAVE_RUN);
        assertFailed(() -> echo(bytes, bytes.length), Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
    }

    /** Guards against hop-by-hop headers of the caller's connection that would break the connection to the service. */
    @Test
    void hopByHopHeadersAreRemoved() {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap()
                .add("Connection", "close, X-Private")
                .add("X-Private", "1")
                .add("Transfer-Encoding", "chunked")
                .add("Idempotency-Key", "k");
        assertThat(HttpServiceExchange.endToEndHeaders(headers).names()).containsExactly("Idempotency-Key");
    }

    private Buffer charge(String key, long remainingMs) {
        return body(call(key, remainingMs));
    }

    private ServiceClient.Call call(String key, long remainingMs) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap().add("Idempotency-Key", key);
        return new ServiceClient.Call(
                address(),
                HttpMethod.POST,
                "/charges",
                headers,
                new ServiceClient.Body.Buffered(Buffer.buffer("{}")),
                System.currentTimeMillis() + remainingMs);
    }

    /** Sends the bytes to a relay, which streams them to the service through the client. */
    private Buffer echo(byte[] bytes, long maxBytes) {
        CompletableFuture<Buffer> response = new CompletableFuture<>();
        HttpServer relay = join(vertx.createHttpServer()
                .requestHandler(request -> {
                    request.pause();
                    collect(new ServiceClient.Call(
                                    address(),
                                    HttpMethod.POST,
                                    "/echo",
                                    MultiMap.caseInsensitiveMultiMap(),
                                    new ServiceClient.Body.Streamed(request, maxBytes),
                                    System.currentTimeMillis() + 20_000))
                            .onSuccess(response::complete)
                            .onFailure(response::completeExceptionally);
                })
                .listen(0, "127.0.0.1"));
        HttpClient caller = vertx.createHttpClient();
        caller.request(HttpMethod.POST, relay.actualPort(), "127.0.0.1", "/")
                .onSuccess(request -> request.send(Buffer.buffer(bytes)));
        Buffer received = response.join();
        caller.close();
        return received;
    }

    private Buffer body(ServiceClient.Call call) {
        return join(collect(call));
    }

    private Future<Buffer> collect(ServiceClient.Call call) {
        return client.call(call).response().compose(response -> {
            Future<Buffer> body =
                    response.body().collect(Collector.of(Buffer::buffer, Buffer::appendBuffer, Buffer::appendBuffer));
            response.body().resume();
            return body;
        });
    }

    private EndpointAddress address() {
        return new EndpointAddress("billing-1", "127.0.0.1", service.port());
    }

    private static <T> T join(Future<T> future) {
        return future.toCompletionStage().toCompletableFuture().join();
    }

    private static void assertFailed(Runnable call, Reason reason, Verdict verdict) {
        EndpointException failure = null;
        try {
            call.run();
        } catch (CompletionException e) {
            failure = (EndpointException) e.getCause();
        }
        assertThat(failure).isNotNull();
        assertThat(failure.reason()).isEqualTo(reason);
        assertThat(failure.verdict()).isEqualTo(verdict);
        assertThat(failure.endpointId()).isEqualTo("billing-1");
    }
}

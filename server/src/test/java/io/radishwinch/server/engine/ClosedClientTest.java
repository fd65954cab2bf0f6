package io.radishwinch.server.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against calls that wait to a timeout, or to their deadline, because the client throws when it sends them. */
class ClosedClientTest {
    private static final EndpointAddress ENDPOINT = new EndpointAddress("e", "127.0.0.1", 1);
    private static final Duration WAIT = Duration.ofSeconds(20);
    private static final long TIMEOUT_MS = TimeUnit.HOURS.toMillis(1);
    private static final ClientOptions OPTIONS =
            ClientOptions.defaults().withIdleTimeoutMs(TIMEOUT_MS).withCallTimeoutMs(TIMEOUT_MS);

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private HttpEngineClient closedEngineClient() {
        HttpEngineClient client = new HttpEngineClient(vertx, OPTIONS, System::currentTimeMillis, "");
        client.close().toCompletionStage().toCompletableFuture().join();
        return client;
    }

    @Test
    void anAttemptOfAClosedClientFailsAsNotRun() {
        AttemptRequest attempt = new AttemptRequest(
                "r",
                1,
                "m",
                List.of(new AttemptRequest.StageTarget(ENDPOINT, new LayerRange(0, 1), List.of())),
                "p",
                1,
                List.of(),
                List.of(),
                1,
                0,
                System.currentTimeMillis() + TIMEOUT_MS);
        List<EngineEvent> events =
                closedEngineClient().stream(attempt).collect().asList().await().atMost(WAIT);
        assertThat(events).singleElement().isInstanceOfSatisfying(EngineEvent.Failed.class, failed -> {
            assertThat(failed.reason()).isEqualTo(Reason.STAGE_DIED);
            assertThat(failed.verdict()).isEqualTo(Verdict.NOT_RUN);
        });
    }

    @Test
    void aReportOfAClosedClientFailsAsNotRun() {
        assertThatThrownBy(
                        () -> closedEngineClient().fetchLoad(ENDPOINT).await().atMost(WAIT))
                .isInstanceOfSatisfying(EndpointException.class, failure -> assertThat(failure.verdict())
                        .isEqualTo(Verdict.NOT_RUN));
    }

    @Test
    void aServiceCallOfAClosedClientFailsAsNotRun() {
        HttpServiceClient client = new HttpServiceClient(vertx, OPTIONS, System::currentTimeMillis);
        client.close().toCompletionStage().toCompletableFuture().join();
        ServiceClient.Call call = new ServiceClient.Call(
                ENDPOINT,
                HttpMethod.GET,
                "/",
                MultiMap.caseInsensitiveMultiMap(),
                new ServiceClient.Body.Buffered(Buffer.buffer()),
                System.currentTimeMillis() + TIMEOUT_MS);
        assertThatThrownBy(() -> client.call(call)
                        .response()
                        .toCompletionStage()
                        .toCompletableFuture()
                        .orTimeout(WAIT.toSeconds(), TimeUnit.SECONDS)
                        .join())
                .isInstanceOf(CompletionException.class)
                .cause()
                .isInstanceOfSatisfying(EndpointException.class, failure -> assertThat(failure.verdict())
                        .isEqualTo(Verdict.NOT_RUN));
    }

    @Test
    void aCallOfAClosedClientFailsAsNotRun() throws Exception {
        HttpClientAgent client = HttpExchange.newUnpooledClient(vertx, OPTIONS);
        client.close().toCompletionStage().toCompletableFuture().join();
        Throwable failure = HttpExchange.send(
                        vertx,
                        client,
                        ENDPOINT,
                        HttpMethod.GET,
                        "/",
                        MultiMap.caseInsensitiveMultiMap(),
                        null,
                        TIMEOUT_MS,
                        1,
                        HttpExchange.Attribution.NONE)
                .toCompletionStage()
                .handle((response, error) -> error)
                .toCompletableFuture()
                .get(WAIT.toSeconds(), TimeUnit.SECONDS);
        assertThat(failure).hasMessageContaining("Client is closed");
        assertThat(((EndpointException) failure).verdict()).isEqualTo(Verdict.NOT_RUN);
    }
}

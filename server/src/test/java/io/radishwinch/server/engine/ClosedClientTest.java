package io.radishwinch.server.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.model.Verdict;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpMethod;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ClosedClientTest {
    private static final int WAIT_S = 20;

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Guards against an exception that leaves the handler, so that the call ends only with its timeout. */
    @Test
    void aCallOfAClosedClientFailsAtOnceAsNotRun() throws Exception {
        HttpClientAgent client = HttpExchange.newUnpooledClient(vertx, ClientOptions.defaults());
        client.close().toCompletionStage().toCompletableFuture().get(WAIT_S, TimeUnit.SECONDS);
        Throwable failure = HttpExchange.send(
                        vertx,
                        client,
                        new EndpointAddress("e", "127.0.0.1", 1),
                        HttpMethod.GET,
                        "/",
                        MultiMap.caseInsensitiveMultiMap(),
                        null,
                        TimeUnit.HOURS.toMillis(1),
                        1,
                        HttpExchange.Attribution.NONE)
                .toCompletionStage()
                .handle((response, error) -> error)
                .toCompletableFuture()
                .get(WAIT_S, TimeUnit.SECONDS);
        assertThat(failure).hasMessageContaining("Client is closed");
        assertThat(((EndpointException) failure).verdict()).isEqualTo(Verdict.NOT_RUN);
    }
}

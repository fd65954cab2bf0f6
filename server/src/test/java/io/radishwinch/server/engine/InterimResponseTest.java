package io.radishwinch.server.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.server.platform.HttpPlatformClient;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against interim responses that are taken for the response, so that what an endpoint has done counts as not
 * done.
 */
class InterimResponseTest {
    private static final Vertx VERTX = Vertx.vertx();
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    @AfterAll
    static void stop() {
        VERTX.close().toCompletionStage().toCompletableFuture().join();
    }

    private static RepeatingEndpoint endpoint(String interim, String body) throws IOException {
        return new RepeatingEndpoint(List.of(interim + "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body));
    }

    private static String interim(int status) {
        return "HTTP/1.1 " + status + " Wait\r\n\r\n";
    }

    private static Future<ServiceClient.Response> call(RepeatingEndpoint service) {
        return new HttpServiceClient(VERTX, ClientOptions.defaults(), System::currentTimeMillis)
                .call(new ServiceClient.Call(
                        new EndpointAddress("e", "127.0.0.1", service.port()),
                        HttpMethod.GET,
                        "/",
                        MultiMap.caseInsensitiveMultiMap(),
                        new ServiceClient.Body.Buffered(Buffer.buffer()),
                        System.currentTimeMillis() + TIMEOUT.toMillis()))
                .response();
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 102, 103, 104, 199})
    void theResponseOfAServiceFollowsAnInterimOne(int status) throws Exception {
        try (RepeatingEndpoint service = endpoint(interim(status) + interim(status), "{}")) {
            assertThat(call(service)
                            .toCompletionStage()
                            .toCompletableFuture()
                            .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS)
                            .status())
                    .isEqualTo(200);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 102, 103, 104, 199})
    void anOrderAndAWriteSucceedAfterAnInterimResponse(int status) throws Exception {
        HttpEngineClient engines = new HttpEngineClient(VERTX, ClientOptions.defaults(), System::currentTimeMillis, "");
        EngineOrder order = new EngineOrder.LoadLayers("m", new LayerRange(0, 4), EngineOrder.Handover.WAIT);
        try (RepeatingEndpoint engine = endpoint(interim(status), "{\"accepted\":true,\"fencing\":1}");
                RepeatingEndpoint platform = endpoint(interim(status), "{\"version\":8}")) {
            EndpointAddress address = new EndpointAddress("e", "127.0.0.1", engine.port());
            engines.sendOrder(address, 1, order).await().atMost(TIMEOUT);
            new HttpPlatformClient(VERTX, "127.0.0.1", platform.port(), ClientOptions.defaults())
                    .put("a", 7, new byte[1], "n")
                    .await()
                    .atMost(TIMEOUT);
        }
    }

    @Test
    void interimResponsesWithoutEndFailTheCall() throws Exception {
        try (RepeatingEndpoint service = endpoint(interim(102).repeat(1_000), "{}")) {
            assertThatThrownBy(() -> call(service)
                            .toCompletionStage()
                            .toCompletableFuture()
                            .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                    .hasCauseInstanceOf(EndpointException.class);
        }
    }
}

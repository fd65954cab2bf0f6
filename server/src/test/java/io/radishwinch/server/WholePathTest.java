package io.radishwinch.server;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.config.contract.KeyHash;
import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import io.radishwinch.standins.StandInFleet;
import io.vertx.core.Vertx;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards the whole path from a caller over HTTP through a router to staged engines and back. */
class WholePathTest {
    private static final String KEY = "test-key";

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = HttpClient.newHttpClient();
    private StandInFleet fleet;
    private RouterProcess router;

    @BeforeEach
    void start() throws Exception {
        fleet = StandInFleet.start(vertx);
        fleet.platform()
                .putObject(
                        "config/models/" + StandInFleet.MODEL,
                        ("schema: model/v1\nname: " + StandInFleet.MODEL + "\nlayerCount: 24\n")
                                .getBytes(StandardCharsets.UTF_8));
        fleet.platform()
                .putObject(
                        "config/contracts/app",
                        ("schema: contract/v1\ncaller: app\nkeyHashes: ['sha256:" + KeyHash.of(KEY) + "']\n")
                                .getBytes(StandardCharsets.UTF_8));
        router = new RouterProcess(RouterSettings.defaults()
                .with(SettingKey.CALLER_PORT, 0)
                .with(SettingKey.PEER_PORT, 0)
                .with(SettingKey.PLATFORM_PORT, fleet.platform().port()));
        router.start().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        for (int i = 0;
                i < 200
                        && post("{\"model\":\"" + StandInFleet.MODEL + "\",\"prompt\":\"hello\",\"max_tokens\":2}")
                                        .statusCode()
                                != 200;
                i++) {
            Thread.sleep(50);
        }
    }

    @AfterEach
    void stop() throws Exception {
        router.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        fleet.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private HttpResponse<String> post(String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + router.callerPort() + "/v1/completions"))
                .header("Authorization", "Bearer " + KEY)
                .POST(HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void aWholeAnswerHasAsManyTokensAsAskedFor() throws Exception {
        HttpResponse<String> response =
                post("{\"model\":\"" + StandInFleet.MODEL + "\",\"prompt\":\"hello\",\"max_tokens\":20}");
        System.out.println(response.body());
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).contains("\"completion_tokens\":20");
    }

    @Test
    void aStreamEndsWithDone() throws Exception {
        HttpResponse<String> response = post(
                "{\"model\":\"" + StandInFleet.MODEL + "\",\"prompt\":\"hello\",\"max_tokens\":5,\"stream\":true}");
        System.out.println(response.body());
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
    }
}

package io.radishwinch.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.platform.PlatformClient.PutResult;
import io.radishwinch.server.engine.ClientOptions;
import io.radishwinch.server.engine.RepeatingEndpoint;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a late second copy of a response of the platform that is taken for the response to the next call. */
class PlatformCopyTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Guards against a write that counts as done although the platform refused it. */
    @Test
    void aCopyOfTheResponseToAWriteIsNotTheResponseToTheNextWrite() throws IOException {
        try (RepeatingEndpoint platform = new RepeatingEndpoint("200 {\"version\":8}", "412 {\"current\":null}")) {
            HttpPlatformClient client = client(platform);
            client.put("a", 7, new byte[1], "n1").await().atMost(TIMEOUT);
            assertThat(client.put("b", 7, new byte[1], "n2").await().atMost(TIMEOUT))
                    .isInstanceOf(PutResult.Conflict.class);
        }
    }

    /** Guards against objects that seem deleted because a listing of another prefix is taken for theirs. */
    @Test
    void aCopyOfAListingIsNotTheListingOfAnotherPrefix() throws IOException {
        String listing = "200 {\"objects\":[],\"more\":false,\"storeVersion\":";
        try (RepeatingEndpoint platform = new RepeatingEndpoint(listing + "8}", listing + "9}")) {
            HttpPlatformClient client = client(platform);
            client.list("config/", "", 500).await().atMost(TIMEOUT);
            assertThat(client.list("journal/", "", 500).await().atMost(TIMEOUT).storeVersion())
                    .isEqualTo(9);
        }
    }

    private HttpPlatformClient client(RepeatingEndpoint platform) {
        return new HttpPlatformClient(vertx, "127.0.0.1", platform.port(), ClientOptions.defaults());
    }
}

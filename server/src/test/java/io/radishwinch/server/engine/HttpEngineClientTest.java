package io.radishwinch.server.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.standins.StandInFleet;
import io.radishwinch.standins.Vocabulary;
import io.vertx.core.Vertx;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Streams against engine stand-ins over loopback sockets. */
class HttpEngineClientTest {
    private static Vertx vertx;
    private static StandInFleet fleet;
    private static HttpEngineClient client;

    @BeforeAll
    static void startFleet() {
        vertx = Vertx.vertx();
        fleet = StandInFleet.start(vertx);
        client = new HttpEngineClient(vertx, ClientOptions.defaults(), System::currentTimeMillis, "");
    }

    @AfterAll
    static void stopFleet() {
        fleet.close();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Guards against lost, repeated or foreign tokens and against layers that run twice or not at all. */
    @Test
    void anAnswerIsCompleteAndEachLayerRunsOncePerToken() {
        AttemptRequest attempt = Attempts.over(fleet.engine("large-1"), fleet.engine("large-2"), "whole", 1, 40);
        List<EngineEvent> events = Attempts.run(client, attempt);

        assertThat(events.get(0)).isEqualTo(new EngineEvent.Accepted());
        assertThat(Attempts.last(events)).isEqualTo(new EngineEvent.Done(40, "length"));
        assertThat(String.join("", Attempts.texts(events))).isEqualTo(Vocabulary.answer(attempt.prompt(), 40));
        for (int position = 0; position < 40; position++) {
            assertThat(fleet.ledger().layersRun("whole", 1, position)).isEqualTo(StandInFleet.MODEL_LAYERS);
        }
        assertThat(fleet.ledger().violations()).isEmpty();
    }
}

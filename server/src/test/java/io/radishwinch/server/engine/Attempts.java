package io.radishwinch.server.engine;

import io.radishwinch.core.model.LayerRange;
import io.radishwinch.standins.EngineStandIn;
import io.radishwinch.standins.StandInFleet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Creates and runs attempts at stand-in engines. */
final class Attempts {
    private static final long DEADLINE_MS = 60_000;

    private Attempts() {}

    static AttemptRequest over(
            EngineStandIn firstEngine, EngineStandIn lastEngine, String requestId, int epoch, int tokens) {
        return new AttemptRequest(
                requestId,
                epoch,
                StandInFleet.MODEL,
                List.of(stage(firstEngine, 0, 12), stage(lastEngine, 12, 24)),
                "a prompt of " + requestId,
                4,
                List.of(),
                List.of(),
                tokens,
                0,
                System.currentTimeMillis() + DEADLINE_MS);
    }

    static AttemptRequest.StageTarget stage(EngineStandIn engine, int first, int end) {
        return new AttemptRequest.StageTarget(address(engine), new LayerRange(first, end), List.of());
    }

    static EndpointAddress address(EngineStandIn engine) {
        return new EndpointAddress(engine.id(), "127.0.0.1", engine.port());
    }

    static AttemptRequest resumed(AttemptRequest attempt, List<String> delivered) {
        return new AttemptRequest(
                attempt.requestId(),
                attempt.epoch() + 1,
                attempt.model(),
                attempt.stages(),
                attempt.prompt(),
                attempt.promptTokens(),
                attempt.prefixHashes(),
                delivered,
                attempt.maxNewTokens(),
                attempt.priority(),
                attempt.deadlineMs());
    }

    static List<EngineEvent> run(EngineClient client, AttemptRequest attempt) {
        return client.stream(attempt).collect().asList().await().atMost(Duration.ofSeconds(30));
    }

    static List<String> texts(List<EngineEvent> events) {
        List<String> texts = new ArrayList<>();
        for (EngineEvent event : events) {
            if (event instanceof EngineEvent.Token token) {
                texts.add(token.text());
            }
        }
        return texts;
    }

    static EngineEvent last(List<EngineEvent> events) {
        return events.get(events.size() - 1);
    }
}

package io.radishwinch.soak.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.config.ConfigError;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against scenarios that play something else than their file says, and against errors without path and bounds.
 */
class ScenarioTest {
    private static final String VALID =
            """
            schema: soak/v1
            routers: {count: 2, attempts: 2, restarts: {kinds: [in-turn, together], intervalMs: 900}}
            pool: {endpoints: 3, layers: 4, slots: 32, eventIntervalMs: 60, refusedShare: 0.05,
              silences: {shortestMs: 900, longestMs: 1300, intervalMs: 4000}}
            classes:
              - {name: chat, accounts: 640, keys: 2, callers: 12, pauseMs: 40, deadlineMs: 20000, events: 40}
              - {name: summary, requestsPerS: 0.5, deadlineMs: 20000, events: 80}
            changes: {kinds: [limits, model], intervalMs: 400}
            """;

    @Test
    void everyFieldOfAScenarioIsRead() {
        Scenario scenario = Scenario.read("a.yaml", VALID).get();
        assertThat(scenario.routers())
                .isEqualTo(new Scenario.Routers(
                        2, 2, new Scenario.Restarts(List.of(RestartKind.IN_TURN, RestartKind.TOGETHER), 900)));
        assertThat(scenario.pool())
                .isEqualTo(new Scenario.Pool(3, 4, 32, 60, 0.05, new Scenario.Silences(900, 1_300, 4_000)));
        assertThat(scenario.classes())
                .containsExactly(
                        new Scenario.RequestClass("chat", 640, 2, 12, 0, 40, 20_000, 40),
                        new Scenario.RequestClass("summary", 1, 1, 0, 0.5, 0, 20_000, 80));
        assertThat(scenario.changes())
                .isEqualTo(new Scenario.Changes(List.of(ChangeKind.LIMITS, ChangeKind.MODEL), 400));
    }

    @ParameterizedTest
    @ValueSource(strings = {"streams.yaml", "restarts.yaml"})
    void theExamplesAreValid(String example) throws IOException {
        assertThat(errors(Files.readString(Path.of("../examples/soak", example))))
                .isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "soak/v1|soak/v2|a.yaml:1: $.schema: expected soak/v1, found 'soak/v2'",
                "count: 2, |''|a.yaml:2: $.routers.count: the field is missing",
                "attempts: 2|attempts: 0|a.yaml:2: $.routers.attempts: must be from 1 to 100 attempts, found 0",
                "layers: 4|layer: 4|a.yaml:3: $.pool.layer: unknown field (did you mean layers?)",
                "refusedShare: 0.05|refusedShare: 5|a.yaml:3: $.pool.refusedShare: must be from 0 to 1 attempts/attempt, found 5",
                "longestMs: 1300|longestMs: 800|a.yaml:4: $.pool.silences.longestMs: must be at least shortestMs (900 ms), found 800",
                "callers: 12|callers: 12, requestsPerS: 1|a.yaml:6: $.classes[0].callers: expected either callers or requestsPerS, found both",
                "callers: 12, |''|a.yaml:6: $.classes[0].callers: expected either callers or requestsPerS, found neither",
                "summary|chat|a.yaml:7: $.classes[1].name: a second class has the name 'chat'",
                "events: 80|events: many|a.yaml:7: $.classes[1].events: expected a number of events, found 'many'",
                "limits, |bounds, |a.yaml:8: $.changes.kinds: expected one of bystander, limits, timeout, model, account, key, found 'bounds'",
                "in-turn|in-order|a.yaml:2: $.routers.restarts.kinds: expected one of in-turn, together, found 'in-order'",
                "kinds: [in-turn, together], |''|a.yaml:2: $.routers.restarts.kinds: the field is missing",
                "accounts: 640|accounts: 0|a.yaml:6: $.classes[0].accounts: must be from 1 to 1300 accounts, found 0",
                "accounts: 640|accounts: 650|a.yaml:5: $.classes: expected at most 1300 keys of all accounts, found 1301"
            })
    void anErrorNamesItsPathWhatWasFoundAndWhatWasExpected(String text, String replacement, String error) {
        assertThat(errors(VALID.replace(text, replacement))).contains(error);
    }

    private static List<String> errors(String text) {
        return Scenario.read("a.yaml", text)
                .fold(errors -> errors.stream().map(ConfigError::toString).toList(), scenario -> List.of());
    }
}

package io.radishwinch.soak;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.soak.scenario.Scenario;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a soak that cannot start its routers, sends nothing, or reports broken promises of a calm deployment.
 *
 * <p>Nothing is silent or refuses in it, so that its verdict depends on no moment.
 */
class SoakRunTest {
    private static final String CALM =
            """
            schema: soak/v1
            routers: {count: 1, attempts: 2}
            pool: {endpoints: 2, layers: 4, slots: 8, eventIntervalMs: 20}
            classes:
              - {name: chat, callers: 2, pauseMs: 10, deadlineMs: 20000, events: 10}
              - {name: summary, requestsPerS: 4, deadlineMs: 20000, events: 10}
            changes: {kinds: [bystander, limits, timeout, model], intervalMs: 300}
            """;

    @TempDir
    Path directory;

    @Test
    void aCalmDeploymentKeepsEveryPromiseAndItsRecordIsKept() throws Exception {
        Scenario scenario = Scenario.read("calm.yaml", CALM).get();
        SoakRun.Result result = new SoakRun(scenario, 1, 2_000, directory).play();
        assertThat(result.findings()).isEmpty();
        assertThat(result.routerErrors()).isEmpty();
        assertThat(result.outcomes()).containsOnlyKeys("complete");
        assertThat(result.incidents()).isPositive();
        assertThat(Files.readString(directory.resolve("record.log")))
                .contains("engine-1", "chat-1-1 ends: complete", "configuration changed: bystander", "completed");
        assertThat(Files.readString(directory.resolve("router-1.log"))).contains("started; callers on port");
    }

    /** Guards against routers that do not use the attempts of their settings. */
    @Test
    void aRequestThatIsRefusedEverywhereHasTheAttemptsOfTheScenario() throws Exception {
        Scenario scenario = Scenario.read(
                        "refused.yaml", CALM.replace("eventIntervalMs: 20", "eventIntervalMs: 20, refusedShare: 1"))
                .get();
        SoakRun.Result result = new SoakRun(scenario, 1, 1_000, directory).play();
        assertThat(result.findings()).isEmpty();
        assertThat(result.routerErrors()).isEmpty();
        assertThat(Files.readString(directory.resolve("record.log")))
                .contains("attempt 2 of", "refused")
                .doesNotContain("attempt 3 of");
    }
}

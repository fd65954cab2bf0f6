package io.radishwinch.core.impl;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.chain.CostChainPlanner;
import io.radishwinch.core.chain.EndpointTable;
import io.radishwinch.core.chain.TableEndpointDirectory;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.health.HealthSettings;
import io.radishwinch.core.impl.CoreSimulation.Outcome;
import io.radishwinch.core.impl.CoreSimulation.Trace;
import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.LoadReport;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests to endpoints that have asked for a pause, and against callers that wait for them in vain. */
class EndpointPauseTest {
    private static final int ENDPOINTS = 10;
    private static final long PAUSE_AT_MS = 1_000;
    private static final long PAUSE_MS = 3_000;
    private static final long PAUSE_END_MS = PAUSE_AT_MS + PAUSE_MS;
    private static final long LAST_ARRIVAL_MS = 8_000;
    private static final long REFUSAL_MS = 5;

    /** Time after a pause in which an endpoint gets only a few requests. */
    private static final long RAMP_MS = 500;

    private static final long RAMP_REQUESTS = 5;

    private final CoreSimulation simulation = simulation();

    private static CoreSimulation simulation() {
        EndpointTable table = new EndpointTable();
        TableEndpointDirectory directory = new TableEndpointDirectory(table, HealthSettings.defaults(), null);
        TableDecisionCore core =
                TableDecisionCore.create(CoreSettings.defaults(), directory, new CostChainPlanner(table, 1));
        return new CoreSimulation(new FakeDirectory(1, 0, 0), core).contract("a");
    }

    private void addEndpoints(int count) {
        for (int n = 0; n < count; n++) {
            String id = "e" + n;
            simulation.handle(new Event.EndpointJoined(new EndpointSpec(id, "dc", "", 0, "k", 100, true, true)));
            List<Holding> holdings = List.of(new Holding(CoreSimulation.MODEL, new LayerRange(0, 8)));
            simulation.handle(new Event.LoadReported(new LoadReport(id, holdings, 0, 0, 1L << 40, 500, 0)));
        }
    }

    /** Lets endpoints refuse what reaches them within their pause, and ask for the rest of it, as drowning ones do. */
    private void pause(Set<String> pausing) {
        simulation.endpointBehaviour = start -> {
            String id = firstEndpointId(start);
            boolean isPausing = simulation.nowMs >= PAUSE_AT_MS && simulation.nowMs < PAUSE_END_MS;
            return pausing.contains(id) && isPausing ? refuses(start, id) : simulation.finishes(start);
        };
    }

    private Outcome refuses(Action.StartAttempt start, String endpointId) {
        simulation.at(simulation.nowMs + REFUSAL_MS, new Event.EndpointPaused(endpointId, PAUSE_END_MS));
        return CoreSimulation.fails(start, REFUSAL_MS, Reason.ENDPOINT_REFUSED, Verdict.NOT_RUN, 0);
    }

    private void arriveEvery(long intervalMs, long timeoutMs) {
        for (long atMs = 0; atMs < LAST_ARRIVAL_MS; atMs += intervalMs) {
            simulation.arrive(simulation.request("r" + atMs, "a", Rank.INTERACTIVE, atMs, 4, timeoutMs));
        }
    }

    private static String firstEndpointId(Action.StartAttempt start) {
        return start.chain().firstStage().endpointId();
    }

    private long startsAt(String endpointId, long fromMs, long toMs) {
        return simulation.starts(fromMs, toMs, start -> firstEndpointId(start).equals(endpointId));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, ENDPOINTS})
    void aPausedEndpointGetsNothingBeforeTheEndOfItsPauseAndLittleAfterIt(int pausedCount) {
        addEndpoints(ENDPOINTS);
        Set<String> pausing = Set.copyOf(java.util.stream.IntStream.range(0, pausedCount)
                .mapToObj(n -> "e" + n)
                .toList());
        pause(pausing);
        arriveEvery(10, 20_000);
        simulation.run(LAST_ARRIVAL_MS + 2_000);
        assertThat(pausing).allSatisfy(id -> {
            long firstRefusalMs = PAUSE_AT_MS;
            while (startsAt(id, PAUSE_AT_MS, firstRefusalMs + 1) == 0) {
                firstRefusalMs++;
            }
            assertThat(startsAt(id, firstRefusalMs + REFUSAL_MS + 1, PAUSE_END_MS))
                    .isZero();
            assertThat(startsAt(id, PAUSE_END_MS, PAUSE_END_MS + RAMP_MS)).isLessThanOrEqualTo(RAMP_REQUESTS);
            assertThat(startsAt(id, PAUSE_END_MS + RAMP_MS, LAST_ARRIVAL_MS)).isPositive();
        });
        if (pausedCount < ENDPOINTS) {
            assertThat(simulation.traces.values()).allMatch(Trace::isServed);
        }
    }

    /** Guards against requests that wait until their deadline although it was known that no endpoint takes them. */
    @Test
    void aRequestThatOnlyPausedEndpointsCouldServeInTimeIsRefusedAtOnceWithTheEndOfThePause() {
        addEndpoints(2);
        pause(Set.of("e0", "e1"));
        arriveEvery(50, 1_000);
        simulation.run(LAST_ARRIVAL_MS + 2_000);
        long arrivedAtMs = PAUSE_AT_MS + 500;
        Trace refused = simulation.trace("r" + arrivedAtMs);
        assertThat(refused.endedAtMs).isEqualTo(arrivedAtMs);
        assertThat(refused.refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(refused.refusal().retryAfterMs()).isBetween(PAUSE_END_MS - arrivedAtMs, PAUSE_MS);
        assertThat(simulation.trace("r" + (PAUSE_END_MS - 200)).isServed()).isTrue();
        assertThat(simulation.trace("r" + (LAST_ARRIVAL_MS - 50)).isServed()).isTrue();
    }

    /** Guards against requests that were already waiting when the last endpoint paused. */
    @Test
    void aRequestThatWaitsWhenTheLastEndpointPausesIsRefusedSoonAfter() {
        addEndpoints(1);
        pause(Set.of("e0"));
        simulation.arrive(simulation.request("first", "a", Rank.INTERACTIVE, PAUSE_AT_MS, 4, 1_000));
        simulation.run(LAST_ARRIVAL_MS);
        Trace first = simulation.trace("first");
        assertThat(first.starts).hasSize(1);
        assertThat(first.endedAtMs).isLessThanOrEqualTo(PAUSE_AT_MS + 2 * CoreSimulation.TICK_MS);
        assertThat(first.refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
    }
}

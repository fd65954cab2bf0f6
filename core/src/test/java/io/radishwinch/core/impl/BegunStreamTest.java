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
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.core.quarantine.QuarantineSettings;
import io.radishwinch.core.queue.QueueSettings;
import io.radishwinch.core.retry.RetrySettings;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Guards against streams that are broken off before their deadline after the caller has received events. */
class BegunStreamTest {
    private static final long TIMEOUT_MS = 20_000;
    private static final int TOKENS = 100;
    private static final long BROKEN_AFTER_MS = 100;

    /** Settings under which no crash quarantine and no retry budget ends a request. */
    private static CoreSettings settings() {
        return CoreSettings.defaults()
                .withRetry(RetrySettings.defaults().withBudget(1, 1, 1_000, Integer.MAX_VALUE))
                .withQuarantine(QuarantineSettings.defaults()
                        .withRestartDelays(0, 0)
                        .withoutObservation()
                        .withMaxCrashes(1_000));
    }

    private static CoreSimulation simulation(int endpoints, int slots, CoreSettings settings) {
        return CoreSimulation.of(new FakeDirectory(1, endpoints, slots), settings)
                .contract("a")
                .contract("b");
    }

    private static RequestSpec stream(String id, int maxEndpoints, long arrivedAtMs, int tokens) {
        return CoreSimulation.stream(
                id, maxEndpoints, tokens, arrivedAtMs, arrivedAtMs + TIMEOUT_MS, Long.MAX_VALUE, List.of());
    }

    /** Breaks off the first attempts of a stream after some tokens each. */
    private static Outcome breaksOff(CoreSimulation simulation, Action.StartAttempt start, int brokenAttempts) {
        int delivered = start.resumeFromToken() + (int) (BROKEN_AFTER_MS / CoreSimulation.TOKEN_MS);
        return start.epoch() <= brokenAttempts
                ? CoreSimulation.fails(start, BROKEN_AFTER_MS, Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, delivered)
                : simulation.finishes(start);
    }

    private static Set<String> firstEndpointIds(Trace trace) {
        return trace.starts.stream()
                .map(start -> start.chain().firstStage().endpointId())
                .collect(Collectors.toSet());
    }

    /** Failure: two runs at one endpoint counted as two endpoints, and the stream was broken off at 1.2 s of 20 s. */
    @Test
    void twoRunsAtOneEndpointCountAsOneEndpoint() {
        CoreSimulation simulation = simulation(1, 4, settings());
        simulation.endpointBehaviour = start -> breaksOff(simulation, start, 2);
        simulation.arrive(stream("r", 2, 0, TOKENS));
        simulation.run(TIMEOUT_MS);
        assertThat(simulation.trace("r").end).isInstanceOf(Action.Complete.class);
    }

    /** Failure: the stream was broken off at 0.4 s, although an endpoint that had run it could run it again. */
    @Test
    void aStreamThatHasReachedItsLastEndpointIsResumedByOneThatHasRunIt() {
        CoreSimulation simulation = simulation(3, 4, settings());
        simulation.endpointBehaviour = start -> breaksOff(simulation, start, 3);
        simulation.arrive(stream("r", 2, 0, TOKENS));
        simulation.run(TIMEOUT_MS);
        assertThat(simulation.trace("r").end).isInstanceOf(Action.Complete.class);
        assertThat(firstEndpointIds(simulation.trace("r"))).hasSize(2);
    }

    /** Failure: an endpoint that is only silent did not count, so that a third one could run the stream. */
    @Test
    void aSilentEndpointCountsAsOneThatHasRunTheStream() {
        CoreSimulation simulation = simulation(3, 4, settings());
        simulation.endpointBehaviour = start -> breaksOff(simulation, start, 2);
        simulation.arrive(stream("r", 2, 0, TOKENS));
        simulation.run(50);
        String first = simulation.trace("r").starts.get(0).chain().firstStage().endpointId();
        simulation.at(110, Event.EndpointRemoved.suspected(first));
        simulation.at(
                1_110, new Event.EndpointJoined(new EndpointSpec(first, "dc", "host", 1, "card", 4, false, false)));
        simulation.run(TIMEOUT_MS);
        assertThat(simulation.trace("r").end).isInstanceOf(Action.Complete.class);
        assertThat(firstEndpointIds(simulation.trace("r"))).hasSizeLessThanOrEqualTo(2);
    }

    /** Failure: an endpoint whose entry had expired counted as ended, and a second one ran the stream. */
    @Test
    void anEndpointThatIsNoLongerListedCountsUntilItHasEnded() {
        CoreSimulation simulation = simulation(2, 4, settings());
        simulation.endpointBehaviour = start -> breaksOff(simulation, start, 1);
        simulation.arrive(stream("r", 1, 0, TOKENS));
        simulation.run(50);
        String first = simulation.trace("r").starts.get(0).chain().firstStage().endpointId();
        simulation.at(110, Event.EndpointRemoved.unlisted(first));
        simulation.run(2_000);
        assertThat(firstEndpointIds(simulation.trace("r"))).containsExactly(first);
        simulation.at(2_000, new Event.EndpointRemoved(first, false));
        simulation.run(TIMEOUT_MS);
        assertThat(simulation.trace("r").isServed()).isTrue();
    }

    @Test
    void anEndpointThatHasEndedMakesRoomForAnother() {
        CoreSimulation simulation = simulation(2, 4, settings());
        simulation.endpointBehaviour = start -> breaksOff(simulation, start, 1);
        simulation.arrive(stream("r", 1, 0, TOKENS));
        simulation.run(50);
        String first = simulation.trace("r").starts.get(0).chain().firstStage().endpointId();
        simulation.at(110, new Event.EndpointRemoved(first, false));
        simulation.run(TIMEOUT_MS);
        assertThat(simulation.trace("r").end).isInstanceOf(Action.Complete.class);
        assertThat(firstEndpointIds(simulation.trace("r"))).hasSize(2);
    }

    /** Failure: a layer in the middle was served by no endpoint other than those that had run the whole stream. */
    @Test
    void onlyTheFirstStageIsLimitedToTheEndpointsThatHaveRunTheStream() {
        EndpointTable table = new EndpointTable();
        TableEndpointDirectory directory = new TableEndpointDirectory(table, HealthSettings.defaults(), null);
        TableDecisionCore core = TableDecisionCore.create(settings(), directory, new CostChainPlanner(table, 1));
        CoreSimulation simulation = new CoreSimulation(new FakeDirectory(1, 0, 0), core).contract("a");
        // More first stages than a search considers by cost.
        for (int n = 0; n < 30; n++) {
            addEndpoint(simulation, "first-" + n, new LayerRange(0, 4));
        }
        addEndpoint(simulation, "second-0", new LayerRange(4, 8));
        addEndpoint(simulation, "second-1", new LayerRange(4, 8));
        simulation.endpointBehaviour = start -> {
            String secondId = start.chain().stages().get(1).endpointId();
            return start.epoch() > 3
                    ? simulation.finishes(start)
                    : new Outcome(
                            BROKEN_AFTER_MS,
                            new Event.AttemptFailed(
                                    start.requestId(),
                                    start.epoch(),
                                    secondId,
                                    Reason.STAGE_DIED,
                                    Verdict.MAY_HAVE_RUN,
                                    start.resumeFromToken() + 10));
        };
        simulation.arrive(stream("r", 1, 0, TOKENS));
        simulation.run(TIMEOUT_MS);
        Trace trace = simulation.trace("r");
        assertThat(trace.end).isInstanceOf(Action.Complete.class);
        assertThat(firstEndpointIds(trace)).hasSize(1);
        assertThat(trace.starts.stream()
                        .map(start -> start.chain().stages().get(1).endpointId())
                        .collect(Collectors.toSet()))
                .containsExactlyInAnyOrder("second-0", "second-1");
    }

    private static void addEndpoint(CoreSimulation simulation, String id, LayerRange layers) {
        simulation.handle(new Event.EndpointJoined(new EndpointSpec(id, "dc", "", 0, "k", 100, true, true)));
        List<Holding> holdings = List.of(new Holding(CoreSimulation.MODEL, layers));
        simulation.handle(new Event.LoadReported(new LoadReport(id, holdings, 0, 0, 1L << 40, 500, 0)));
    }

    /** Failure: the stream was broken off after the attempts that are allowed to a request without a response. */
    @Test
    void aStreamIsResumedMoreOftenThanARequestWithoutAResponse() {
        int failures = 2 * settings().retry().maxAttempts();
        CoreSimulation simulation = simulation(3, 4, settings());
        simulation.endpointBehaviour = start -> breaksOff(simulation, start, failures);
        simulation.arrive(stream("r", Integer.MAX_VALUE, 0, 2 * TOKENS));
        simulation.run(TIMEOUT_MS);
        assertThat(simulation.trace("r").end).isInstanceOf(Action.Complete.class);
        assertThat(simulation.trace("r").starts).hasSize(failures + 1);
    }

    /** Failure: a continuation for another router ended after 1.3 s of 20 s, as if its response had not begun. */
    @Test
    void aStreamThatAnotherRouterHasBegunIsResumedUntilItsDeadline() {
        int failures = 2 * settings().retry().maxAttempts();
        CoreSimulation simulation = simulation(4, 4, settings());
        simulation.endpointBehaviour = start -> start.epoch() <= failures
                ? CoreSimulation.fails(start, 20, Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, 0)
                : simulation.finishes(start);
        simulation.arrive(CoreSimulation.stream("r", 2, TOKENS, 0, TIMEOUT_MS, Long.MAX_VALUE, List.of("0-0")));
        simulation.run(TIMEOUT_MS);
        assertThat(simulation.trace("r").end).isInstanceOf(Action.Complete.class);
        assertThat(firstEndpointIds(simulation.trace("r"))).hasSizeLessThanOrEqualTo(2);
    }

    /** Failure: others took each slot of the endpoints that had run a stream, and it ended at its deadline. */
    @Test
    void aStreamGetsTheNextSlotOfItsEndpointsBeforeRequestsThatMayUseAnyEndpoint() {
        CoreSimulation simulation = simulation(40, 1, settings());
        simulation.endpointBehaviour = start ->
                start.requestId().startsWith("r") ? breaksOff(simulation, start, 2) : simulation.finishes(start);
        for (int n = 0; n < 8; n++) {
            simulation.arrive(stream("r" + n, 2, 2_000 + 37 * n, TOKENS));
        }
        for (int n = 0; n < 2_500; n++) {
            simulation.arrive(simulation.request("o" + n, "b", Rank.INTERACTIVE, 5 + 10L * n, 35 + n % 11, 5_000));
        }
        simulation.run(26_000);
        assertThat(simulation.traces.values())
                .filteredOn(trace -> trace.spec.caller().equals("a"))
                .allMatch(Trace::isServed)
                .allMatch(trace -> trace.endedAtMs < trace.spec.arrivedAtMs() + TIMEOUT_MS / 2);
    }

    /** Guards against unlimited restarts of streams that always break off. */
    @Test
    void theRetryBudgetLimitsTheResumptionsOfAStreamThatAlwaysBreaksOff() {
        RetrySettings retry = RetrySettings.defaults();
        CoreSimulation simulation = simulation(3, 4, settings().withRetry(retry));
        simulation.endpointBehaviour = start -> breaksOff(simulation, start, Integer.MAX_VALUE);
        simulation.arrive(stream("r", Integer.MAX_VALUE, 0, 50 * TOKENS));
        simulation.run(TIMEOUT_MS);
        double granted = retry.minBalance() + 1 + retry.callerRefillPerS() * TIMEOUT_MS / 1_000;
        assertThat((double) simulation.trace("r").starts.size()).isBetween(2.0, 1 + granted);
        assertThat(simulation.trace("r").refusal().reason()).isEqualTo(Reason.DEADLINE_EXCEEDED);
    }

    /** Failure: a stream that needed 2 s more was broken off at 12 s of 20 s, because others wait for a slot. */
    @Test
    void aStreamThatCanEndInTimeIsNotGivenUpBecauseServiceTimesVary() {
        CoreSimulation simulation = simulation(2, 1, settings());
        for (int n = 0; n < 40; n++) {
            simulation.arrive(simulation.request("earlier" + n, "b", Rank.INTERACTIVE, n * 6_000L, 1_200, 600_000));
        }
        simulation.endpointBehaviour = start -> start.requestId().matches("earlier.*[02468]")
                ? new Outcome(2_000, new Event.AttemptFinished(start.requestId(), start.epoch(), 200))
                : simulation.finishes(start);
        simulation.run(246_400);
        simulation.endpointBehaviour = start -> start.requestId().equals("r") && start.epoch() == 1
                ? CoreSimulation.fails(start, 2_000, Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, 200)
                : simulation.finishes(start);
        simulation.arrive(stream("r", 4, 246_500, 400));
        for (int n = 0; n < 6; n++) {
            simulation.arrive(simulation.request("waiting" + n, "b", Rank.INTERACTIVE, 247_000, 1_200, 600_000));
        }
        simulation.run(270_000);
        assertThat(simulation.trace("r").isServed()).isTrue();
    }

    /** Failure: a stream that waits for its resumption was refused as queue-full, because too many others waited. */
    @Test
    void aStreamMayWaitAlthoughTheQueueIsFull() {
        CoreSettings settings = settings().withQueue(QueueSettings.defaults().withCapacity(8));
        CoreSimulation simulation = simulation(2, 20, settings);
        simulation.endpointBehaviour = start -> breaksOff(simulation, start, 2);
        for (int n = 0; n < 6; n++) {
            simulation.arrive(stream("r" + n, 4, 0, TOKENS));
        }
        simulation.run(TIMEOUT_MS);
        assertThat(simulation.traces.values()).allMatch(Trace::isServed);
    }

    /** A stream that cannot end in time leaves the slots to others, and is ended by its deadline. */
    @Test
    void aStreamThatCannotEndInTimeYieldsItsSlotAndEndsAtItsDeadline() {
        CoreSimulation simulation = simulation(1, 1, settings());
        for (int n = 0; n < 20; n++) {
            simulation.arrive(simulation.request("earlier" + n, "b", Rank.INTERACTIVE, n * 1_100L, 100, 60_000));
        }
        simulation.endpointBehaviour =
                start -> start.requestId().equals("r") ? breaksOff(simulation, start, 1) : simulation.finishes(start);
        simulation.arrive(stream("r", 4, 23_000, 3_900));
        for (int n = 0; n < 12; n++) {
            simulation.arrive(simulation.request("later" + n, "b", Rank.INTERACTIVE, 23_010, 100, 60_000));
        }
        simulation.run(60_000);
        Trace trace = simulation.trace("r");
        assertThat(trace.starts).hasSizeLessThanOrEqualTo(2);
        assertThat(trace.endedAtMs).isGreaterThanOrEqualTo(23_000 + TIMEOUT_MS);
        assertThat(trace.refusal().reason()).isEqualTo(Reason.DEADLINE_EXCEEDED);
        assertThat(simulation.traces.values().stream()
                        .filter(other -> !other.spec.requestId().equals("r")))
                .allMatch(Trace::isServed);
    }
}

package io.radishwinch.core.impl;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Stage;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.core.retry.RetrySettings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against requests that are ended because a sound endpoint was silent for about a second. */
class SilentEndpointTest {
    private static final int TOKENS = 300;
    private static final long TIMEOUT_MS = 30_000;

    private static CoreSimulation simulation(int endpoints) {
        return CoreSimulation.of(new FakeDirectory(1, endpoints, 4), CoreSettings.defaults())
                .contract("a");
    }

    /** Returns a stream of 3 s that may run a limited number of times. */
    private static RequestSpec stream(int maxRuns) {
        return stream("r", maxRuns, TIMEOUT_MS);
    }

    private static RequestSpec stream(String requestId, int maxRuns, long timeoutMs) {
        return stream(requestId, maxRuns, 0, timeoutMs, timeoutMs);
    }

    private static RequestSpec stream(
            String requestId, int maxRuns, long arrivedAtMs, long deadlineMs, long startDeadlineMs) {
        return CoreSimulation.stream(requestId, maxRuns, TOKENS, arrivedAtMs, deadlineMs, startDeadlineMs, List.of());
    }

    private static void assertServedByOneAttempt(CoreSimulation simulation) {
        assertThat(simulation.trace("r").end).isInstanceOf(Action.Complete.class);
        assertThat(simulation.trace("r").starts).hasSize(1);
    }

    private static Event joined(String endpointId) {
        return new Event.EndpointJoined(new EndpointSpec(endpointId, "dc", "host", 1, "card", 4, false, false));
    }

    /** Failure: the stream was cancelled as stage-died and refused, because its route allows no second run. */
    @Test
    void aStreamOnItsLastRunOutlivesTheSilenceOfItsEndpoint() {
        CoreSimulation simulation = simulation(2);
        simulation.arrive(stream(1));
        simulation.at(500, Event.EndpointRemoved.suspected("0-0"));
        simulation.at(1_500, joined("0-0"));
        simulation.run(5_000);
        assertServedByOneAttempt(simulation);
    }

    /** Failure: the stream was cancelled although no other endpoint held its layers, and ended at its deadline. */
    @Test
    void aStreamOnTheLastHolderOfItsLayersOutlivesItsSilence() {
        CoreSimulation simulation = simulation(1);
        simulation.arrive(stream(3));
        simulation.at(500, Event.EndpointRemoved.suspected("0-0"));
        simulation.at(1_500, joined("0-0"));
        simulation.run(5_000);
        assertServedByOneAttempt(simulation);
    }

    /** Failure: a stream whose contract was withdrawn meanwhile was refused for a second of silence. */
    @Test
    void aStreamWhoseContractWasWithdrawnOutlivesTheSilenceOfItsEndpoint() {
        CoreSimulation simulation = simulation(2);
        simulation.arrive(stream(3));
        simulation.run(400);
        simulation.contracts.clear();
        simulation.configure();
        simulation.at(500, Event.EndpointRemoved.suspected("0-0"));
        simulation.at(1_500, joined("0-0"));
        simulation.run(5_000);
        assertServedByOneAttempt(simulation);
    }

    /** Failure: a begun response that no other attempt can continue was refused when its cancellation timed out. */
    @Test
    void aResponseThatCannotBeContinuedOutlivesTheSilenceOfItsEndpoint() {
        CoreSimulation simulation = simulation(2);
        simulation.arrive(stream(3));
        simulation.run(500);
        // The adapter confirms no cancellation of such a response, which ends by itself.
        simulation.core.handle(Event.EndpointRemoved.suspected("0-0"), 500);
        simulation.run(5_000);
        assertServedByOneAttempt(simulation);
    }

    /**
     * Failure: the stream was cancelled when its first endpoint refused to replace the silent one, without a retry
     * left.
     */
    @Test
    void aStreamOutlivesTheSilenceOfAStageThatCannotBeReplaced() {
        CoreSettings settings = CoreSettings.defaults()
                .withStreamRerouting()
                .withRetry(RetrySettings.defaults().withBudget(0, 0, 0, 16));
        CoreSimulation simulation =
                CoreSimulation.of(new FakeDirectory(2, 2, 4), settings).contract("a");
        simulation.arrive(stream(3));
        simulation.at(500, Event.EndpointRemoved.suspected("1-0"));
        simulation.at(600, new Event.AttemptRerouted("r", 1, false));
        simulation.at(1_500, joined("1-0"));
        simulation.run(5_000);
        assertServedByOneAttempt(simulation);
    }

    /** Failure: endpoints did not count while they were silent, and a third one ran the request. */
    @Test
    void aRequestWithoutAResponseRunsAtNoMoreEndpointsThanItsRouteAllowsBesideSilences() {
        CoreSimulation simulation = simulation(3);
        simulation.endpointBehaviour = start -> null;
        simulation.arrive(CoreSimulation.stream("r", 2, 1, 0, TIMEOUT_MS, TIMEOUT_MS, List.of()));
        simulation.at(100, Event.EndpointRemoved.suspected("0-0"));
        simulation.at(600, Event.EndpointRemoved.suspected("0-1"));
        simulation.at(1_900, joined("0-0"));
        simulation.at(2_400, joined("0-1"));
        simulation.run(TIMEOUT_MS);
        assertThat(simulation.trace("r").starts)
                .extracting(start -> start.chain().firstStage().endpointId())
                .containsOnly("0-0", "0-1");
    }

    /** Failure: an endpoint that sent events between two silences counted as silent for 2 s, and another took over. */
    @Test
    void aSuspectedEndpointThatSendsEventsStartsItsSilenceAnew() {
        CoreSimulation simulation = simulation(2);
        simulation.endpointBehaviour = start -> null;
        simulation.arrive(stream(1));
        simulation.at(400, new Event.FirstToken("r", 1));
        simulation.at(500, Event.EndpointRemoved.suspected("0-0"));
        simulation.at(2_000, new Event.Progress("r", 1, 20));
        simulation.run(3_900);
        assertThat(simulation.actions).doesNotContain(new Action.CancelAttempt("r", 1, Reason.STAGE_DIED));
        // Nothing follows, so that the endpoint counts as ended 2 s after its last event.
        simulation.run(4_100);
        assertThat(simulation.actions).contains(new Action.CancelAttempt("r", 1, Reason.STAGE_DIED));
    }

    /** Failure: an endpoint that was leaving or no longer listed counted as ended 2 s after a silence of 1 s. */
    @Test
    void aLeavingEndpointThatRespondsStartsItsSilenceAnew() {
        CoreSimulation simulation = simulation(2);
        simulation.endpointBehaviour = start -> null;
        simulation.arrive(stream(1));
        simulation.at(400, new Event.FirstToken("r", 1));
        simulation.at(450, new Event.EndpointLeaving("0-0"));
        simulation.at(500, Event.EndpointRemoved.suspected("0-0"));
        for (long atMs = 1_500; atMs <= 9_000; atMs += 500) {
            simulation.at(atMs, new Event.EndpointResponded("0-0"));
        }
        simulation.run(10_900);
        assertThat(simulation.trace("r").starts).hasSize(1);
        simulation.run(11_100);
        assertThat(simulation.actions).contains(new Action.CancelAttempt("r", 1, Reason.STAGE_DIED));
    }

    /** Guards against a further endpoint beside one that was silent for long and goes on. */
    @Test
    void anEndpointThatGoesOnAfterALongSilenceCountsAgain() {
        CoreSimulation simulation = simulation(3);
        simulation.endpointBehaviour = start -> start.epoch() == 2
                ? CoreSimulation.fails(start, 1_000, Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, 30)
                : null;
        simulation.arrive(stream(1));
        simulation.at(400, new Event.Progress("r", 1, 20));
        simulation.at(500, Event.EndpointRemoved.suspected("0-0"));
        simulation.at(3_000, joined("0-0"));
        simulation.run(10_000);
        assertThat(simulation.trace("r").starts).hasSizeGreaterThan(2);
        assertThat(simulation.trace("r").starts)
                .extracting(start -> start.chain().firstStage().endpointId())
                .containsOnly("0-0", "0-1");
    }

    /** Failure: requests were refused for missing layers 400 ms after the last holder had become silent. */
    @Test
    void aRequestWaitsForTheSilentLastHolderOfItsLayers() {
        CoreSimulation simulation = CoreSimulation.of(
                        new FakeDirectory(1, 1, 4), CoreSettings.defaults().withUncoveredGraceMs(400))
                .contract("a");
        simulation.at(1_000, Event.EndpointRemoved.suspected("0-0"));
        simulation.arrive(simulation.request("waiting", "a", Rank.INTERACTIVE, 1_100, 10, TIMEOUT_MS));
        simulation.arrive(simulation.request("late", "a", Rank.INTERACTIVE, 2_200, 10, TIMEOUT_MS));
        simulation.at(2_300, joined("0-0"));
        simulation.run(5_000);
        assertThat(simulation.traces.values()).allMatch(CoreSimulation.Trace::isServed);
    }

    /** Failure: the request was refused for missing layers at its target time, before the silence ended. */
    @Test
    void theTargetTimeOfARequestDoesNotPassDuringTheSilenceOfTheLastHolderOfItsLayers() {
        CoreSimulation simulation = simulation(1);
        simulation.at(1_000, Event.EndpointRemoved.suspected("0-0"));
        simulation.arrive(stream("r", 3, 1_100, TIMEOUT_MS, 1_600));
        simulation.at(2_300, joined("0-0"));
        simulation.run(10_000);
        assertServedByOneAttempt(simulation);
    }

    /** Failure: two short silences, one after the other, made a gap of 2 s, and requests were refused meanwhile. */
    @Test
    void aRequestWaitsForHoldersThatAreSilentOneAfterTheOther() {
        CoreSimulation simulation = CoreSimulation.of(
                        new FakeDirectory(2, 1, 4), CoreSettings.defaults().withUncoveredGraceMs(400))
                .contract("a");
        simulation.at(100, Event.EndpointRemoved.suspected("0-0"));
        simulation.at(1_500, Event.EndpointRemoved.suspected("1-0"));
        simulation.arrive(simulation.request("r", "a", Rank.INTERACTIVE, 300, 10, TIMEOUT_MS));
        simulation.at(1_800, joined("0-0"));
        simulation.at(3_200, joined("1-0"));
        simulation.run(10_000);
        assertThat(simulation.trace("r").isServed()).isTrue();
    }

    /** Guards against requests that wait for a dead last holder until their deadlines. */
    @Test
    void aRequestIsRefusedWhenTheLastHolderOfItsLayersStaysSilent() {
        CoreSimulation simulation = CoreSimulation.of(
                        new FakeDirectory(1, 1, 4), CoreSettings.defaults().withUncoveredGraceMs(400))
                .contract("a");
        simulation.at(1_000, Event.EndpointRemoved.suspected("0-0"));
        simulation.arrive(simulation.request("r", "a", Rank.INTERACTIVE, 1_100, 10, TIMEOUT_MS));
        simulation.run(5_000);
        assertThat(simulation.trace("r").refusal().reason()).isEqualTo(Reason.NO_CAPACITY);
        assertThat(simulation.trace("r").endedAtMs).isLessThan(3_500);
    }

    /** Guards against streams that stay at a dead endpoint although another one can take them up. */
    @Test
    void aStreamThatAnotherAttemptCanTakeUpLeavesASilentEndpointAtOnce() {
        CoreSimulation simulation = simulation(2);
        simulation.arrive(stream(3));
        simulation.at(500, Event.EndpointRemoved.suspected("0-0"));
        simulation.run(500);
        assertThat(simulation.actions).contains(new Action.CancelAttempt("r", 1, Reason.STAGE_DIED));
        simulation.run(10_000);
        assertThat(simulation.trace("r").end).isInstanceOf(Action.Complete.class);
        assertThat(simulation.trace("r").starts).hasSize(2);
    }

    /** Guards against streams that stay at a dead last holder after another endpoint has loaded its layers. */
    @Test
    void aStreamLeavesASilentEndpointWhenAnotherOneLoadsItsLayers() {
        CoreSimulation simulation = simulation(2);
        simulation.endpointBehaviour = start -> {
            boolean isDead = start.chain().firstStage().endpointId().equals("0-0");
            return isDead ? null : simulation.finishes(start);
        };
        simulation.directory.down.add("0-1");
        simulation.arrive(stream(3));
        simulation.at(500, Event.EndpointRemoved.suspected("0-0"));
        simulation.at(1_500, joined("0-1"));
        simulation.run(10_000);
        List<Action.StartAttempt> starts = simulation.trace("r").starts;
        assertThat(starts).hasSize(2);
        assertThat(starts.get(1).chain().stages()).extracting(Stage::endpointId).containsExactly("0-1");
        assertThat(simulation.trace("r").end).isInstanceOf(Action.Complete.class);
    }

    /** Failure: streams that the endpoint would have continued were cancelled, and the budget granted no retry. */
    @Test
    void noMoreStreamsLeaveASilentEndpointThanTheRetryBudgetAllows() {
        long timeoutMs = 6_000;
        CoreSimulation simulation = CoreSimulation.of(new FakeDirectory(1, 2, 64), CoreSettings.defaults())
                .contract("a");
        simulation.directory.down.add("0-1");
        for (int n = 0; n < 40; n++) {
            simulation.arrive(stream("r" + n, 3, timeoutMs));
        }
        simulation.run(400);
        simulation.directory.down.remove("0-1");
        simulation.at(500, Event.EndpointRemoved.suspected("0-0"));
        simulation.at(1_500, joined("0-0"));
        simulation.run(timeoutMs + 2_000);
        assertThat(simulation.traces.values()).allMatch(trace -> trace.end instanceof Action.Complete);
    }
}

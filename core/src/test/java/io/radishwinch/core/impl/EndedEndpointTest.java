package io.radishwinch.core.impl;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against attempts that go on after their endpoints have ended, as nothing reports their ends. */
class EndedEndpointTest {
    private static final long DEADLINE_MS = 30_000;
    private static final long BOUND_MS = Event.EndpointRemoved.MAX_SILENCE_MS + CoreSimulation.TICK_MS;

    /** Returns a simulation whose exchanges report nothing, neither starts nor ends. */
    private static CoreSimulation simulation(int endpoints, int slots) {
        CoreSimulation simulation = CoreSimulation.of(new FakeDirectory(1, endpoints, slots), CoreSettings.defaults())
                .contract("a");
        simulation.endpointBehaviour = start -> null;
        simulation.confirmsCancellations = false;
        return simulation;
    }

    private static RequestSpec stream() {
        return CoreSimulation.stream("r", 4, 3_000, 0, DEADLINE_MS, DEADLINE_MS, List.of());
    }

    private static RequestSpec nonRepeatable() {
        return new RequestSpec(
                "r", "a", Rank.ACCOUNT_ACTION, "service:pay", 0, 0, 0, DEADLINE_MS, "f", List.of(), false);
    }

    private static Event joined(String endpointId) {
        return new Event.EndpointJoined(new EndpointSpec(endpointId, "dc", "host", 1, "card", 4, false, false));
    }

    private static void assertEnded(CoreSimulation simulation, long endedMs) {
        assertThat(simulation.trace("r").starts).hasSize(1);
        assertThat(simulation.trace("r").refusal())
                .isEqualTo(new Action.Refuse("r", Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, 0));
        assertThat(simulation.trace("r").endedAtMs).isBetween(endedMs, endedMs + BOUND_MS);
    }

    /** Failure: the cancellation was withdrawn when the endpoint joined in a new lifetime, and nothing followed it. */
    @Test
    void anAttemptDoesNotGoOnInTheNextLifetimeOfItsEndpoint() {
        CoreSimulation simulation = simulation(2, 4);
        simulation.arrive(stream());
        simulation.at(10, new Event.AttemptStarted("r", 1));
        simulation.at(20, new Event.FirstToken("r", 1));
        simulation.at(500, new Event.EndpointRemoved("0-0", true));
        simulation.at(900, joined("0-0"));
        simulation.run(DEADLINE_MS);
        assertEnded(simulation, 500);
    }

    /** Failure: the same, if the silence of the endpoint had ended the attempt before the crash was proven. */
    @Test
    void anAttemptThatWasLeftForASilenceDoesNotGoOnInTheNextLifetimeOfItsEndpoint() {
        CoreSimulation simulation = simulation(2, 4);
        simulation.arrive(stream());
        simulation.at(10, new Event.AttemptStarted("r", 1));
        simulation.at(300, Event.EndpointRemoved.suspected("0-0"));
        simulation.at(500, new Event.EndpointRemoved("0-0", true));
        simulation.at(600, joined("0-0"));
        simulation.run(DEADLINE_MS);
        assertEnded(simulation, 500);
    }

    /** Failure: an attempt whose preemption was not confirmed went on at an endpoint that had ended meanwhile. */
    @Test
    void anAttemptThatIsBeingPreemptedEndsWithItsEndpoint() {
        CoreSimulation simulation = simulation(1, 1);
        simulation.arrive(simulation.request("r", "a", Rank.BATCH, 0, 1_000, DEADLINE_MS));
        simulation.arrive(simulation.request("urgent", "a", Rank.INTERACTIVE, 100, 50, DEADLINE_MS));
        simulation.run(CoreSettings.defaults().preemptAfterMs() + 300);
        assertThat(simulation.actions).contains(new Action.CancelAttempt("r", 1, Reason.PREEMPTED));
        long endedMs = simulation.nowMs;
        simulation.at(endedMs, new Event.EndpointRemoved("0-0", false));
        simulation.run(DEADLINE_MS);
        assertEnded(simulation, endedMs);
    }

    /** Failure: a request that must not be repeated waited until its deadline for an endpoint that had ended. */
    @Test
    void aNonRepeatableRequestEndsSoonAfterItsEndpoint() {
        CoreSimulation simulation = simulation(2, 4);
        simulation.arrive(nonRepeatable());
        simulation.at(10, new Event.AttemptStarted("r", 1));
        simulation.at(500, new Event.EndpointRemoved("0-0", true));
        simulation.run(DEADLINE_MS);
        assertEnded(simulation, 500);
    }

    /** Guards against responses that are lost because they arrive shortly after the end of their endpoint. */
    @Test
    void theResponseToANonRepeatableRequestMayArriveAfterItsEndpointHasEnded() {
        CoreSimulation simulation = simulation(2, 4);
        simulation.arrive(nonRepeatable());
        simulation.at(10, new Event.AttemptStarted("r", 1));
        simulation.at(500, new Event.EndpointRemoved("0-0", true));
        simulation.at(2_000, new Event.AttemptFinished("r", 1, 0));
        simulation.run(DEADLINE_MS);
        assertThat(simulation.trace("r").end).isEqualTo(new Action.Complete("r"));
    }

    /**
     * Guards against requests that are given up although their endpoint may only have stopped to accept connections.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aNonRepeatableRequestGoesOnAtAnEndpointWhoseEndIsNotProven(boolean isInUseAgain) {
        CoreSimulation simulation = simulation(2, 4);
        simulation.arrive(nonRepeatable());
        simulation.at(10, new Event.AttemptStarted("r", 1));
        simulation.at(500, new Event.EndpointRemoved("0-0", isInUseAgain));
        if (isInUseAgain) {
            simulation.at(1_500, joined("0-0"));
            simulation.at(9_000, Event.EndpointRemoved.suspected("0-0"));
        }
        simulation.at(20_000, new Event.AttemptFinished("r", 1, 0));
        simulation.run(DEADLINE_MS);
        assertThat(simulation.trace("r").end).isEqualTo(new Action.Complete("r"));
    }

    @Test
    void anAttemptWhoseStartIsNeverReportedEndsSoonAfterItsEndpoint() {
        for (RequestSpec request : List.of(stream(), nonRepeatable())) {
            CoreSimulation simulation = simulation(2, 4);
            simulation.arrive(request);
            simulation.at(500, new Event.EndpointRemoved("0-0", false));
            simulation.run(DEADLINE_MS);
            assertEnded(simulation, 500);
        }
    }
}

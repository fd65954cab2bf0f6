package io.radishwinch.core.impl;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Stage;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams that are lost or run twice when an engine in the middle of their chains fails, and against
 * reroutes that fail, get no response or lead to another failed engine.
 */
class StreamRerouteTest {
    private static final int STREAMS = 40;

    private final FakeDirectory directory = new FakeDirectory(3, 2, 100);
    private final CoreSimulation simulation = CoreSimulation.of(
                    directory,
                    CoreSettings.defaults()
                            .withStreamRerouting()
                            .withQueue(CoreSettings.defaults().queue().withCapacity(1_000)))
            .contract("a");

    private void startStreams() {
        for (int i = 0; i < STREAMS; i++) {
            simulation.arrive(simulation.request("s" + i, "a", Rank.INTERACTIVE, i, 500, 30_000));
        }
        simulation.run(100);
        for (int i = 0; i < STREAMS; i++) {
            simulation.handle(new Event.AttemptStarted("s" + i, 1));
        }
    }

    private List<Action.RerouteAttempt> rerouteActions() {
        return simulation.actions.stream()
                .filter(Action.RerouteAttempt.class::isInstance)
                .map(Action.RerouteAttempt.class::cast)
                .toList();
    }

    @Test
    void streamsContinueOnAnotherEngineWithoutASecondRun() {
        startStreams();
        simulation.handle(new Event.EndpointRemoved("1-0", false));
        assertThat(rerouteActions()).isNotEmpty().allSatisfy(reroute -> {
            assertThat(reroute.chain().uses("1-0")).isFalse();
            assertThat(reroute.chain().firstStage())
                    .isEqualTo(simulation
                            .trace(reroute.requestId())
                            .starts
                            .get(0)
                            .chain()
                            .firstStage());
            simulation.handle(new Event.AttemptRerouted(reroute.requestId(), 1, true));
        });
        simulation.run(20_000);
        for (int i = 0; i < STREAMS; i++) {
            assertThat(simulation.trace("s" + i).starts).hasSize(1);
            assertThat(simulation.trace("s" + i).end).isInstanceOf(Action.Complete.class);
        }
        assertThat(directory.runningByEndpoint.values()).containsOnly(0);
    }

    @Test
    void theSlotsOfTheNewEngineAreOccupiedAfterTheReroute() {
        startStreams();
        int occupiedBefore = directory.runningByEndpoint.get("1-1");
        simulation.handle(new Event.EndpointRemoved("1-0", false));
        rerouteActions().forEach(reroute -> simulation.handle(new Event.AttemptRerouted(reroute.requestId(), 1, true)));
        assertThat(directory.runningByEndpoint.get("1-1")).isEqualTo(STREAMS);
        assertThat(occupiedBefore).isLessThan(STREAMS);
    }

    @Test
    void aStreamWhoseFirstEngineIsLostIsRestarted() {
        startStreams();
        simulation.handle(new Event.EndpointRemoved("0-0", false));
        assertThat(rerouteActions()).isEmpty();
        assertThat(simulation.actions).anySatisfy(action -> assertThat(action)
                .isInstanceOfSatisfying(Action.CancelAttempt.class, cancel -> assertThat(cancel.reason())
                        .isEqualTo(Reason.STAGE_DIED)));
    }

    @Test
    void aStreamThatCannotBeReroutedIsRestarted() {
        startStreams();
        simulation.handle(new Event.EndpointRemoved("1-0", false));
        Action.RerouteAttempt reroute = rerouteActions().get(0);
        simulation.handle(new Event.AttemptRerouted(reroute.requestId(), 1, false));
        assertThat(simulation.actions).contains(new Action.CancelAttempt(reroute.requestId(), 1, Reason.STAGE_DIED));
    }

    @Test
    void aRerouteWithoutAResponseEndsTheAttempt() {
        startStreams();
        simulation.handle(new Event.EndpointRemoved("1-0", false));
        Action.RerouteAttempt reroute = rerouteActions().get(0);
        simulation.run(2_000);
        assertThat(simulation.actions).contains(new Action.CancelAttempt(reroute.requestId(), 1, Reason.STAGE_DIED));
    }

    @Test
    void aSecondLossDuringARerouteDoesNotLeaveTheStreamOnALostEngine() {
        startStreams();
        simulation.handle(new Event.EndpointRemoved("1-0", false));
        Action.RerouteAttempt reroute = rerouteActions().get(0);
        simulation.handle(new Event.EndpointRemoved("1-1", false));
        simulation.handle(new Event.AttemptRerouted(reroute.requestId(), 1, true));
        assertThat(reroute.chain().stages()).extracting(Stage::endpointId).contains("1-1");
        assertThat(simulation.actions).contains(new Action.CancelAttempt(reroute.requestId(), 1, Reason.STAGE_DIED));
    }
}

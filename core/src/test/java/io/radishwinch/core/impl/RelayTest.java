package io.radishwinch.core.impl;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.retry.DeploymentRetryLimit;
import io.radishwinch.core.retry.RetrySettings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against relayed requests that run a second time beyond the retry limit of all routers. */
class RelayTest {
    private static final int TOKENS = 300;
    private static final int STREAMS = 40;

    private final CoreSimulation simulation = CoreSimulation.of(
                    new FakeDirectory(1, 1, 100),
                    CoreSettings.defaults()
                            .withRetry(RetrySettings.defaults()
                                    .withDeploymentLimit(new DeploymentRetryLimit(0.2, 40, 10_000))))
            .contract("a");

    private static RequestSpec stream(int number) {
        return stream(number, List.of(), 0, 30_000);
    }

    private static RequestSpec stream(int number, List<String> earlierEndpointIds, long arrivedAtMs, long deadlineMs) {
        return CoreSimulation.stream("r" + number, 2, TOKENS, arrivedAtMs, deadlineMs, deadlineMs, earlierEndpointIds);
    }

    /** Guards against a relayed stream that runs at more endpoints than its route allows. */
    @Test
    void aBegunStreamOfAnotherRouterIsContinuedByTheEndpointsThatHaveRunIt() {
        CoreSimulation peer = CoreSimulation.of(new FakeDirectory(1, 3, 10), CoreSettings.defaults())
                .contract("a");
        peer.arrive(stream(0, List.of("0-1", "0-2"), 0, 30_000));
        peer.arrive(stream(1, List.of("0-2"), 0, 30_000));
        peer.run(20_000);
        assertThat(firstEndpointId(peer, "r0")).isEqualTo("0-1");
        assertThat(firstEndpointId(peer, "r1")).isEqualTo("0-0");
    }

    /** Failure: a router took endpoints that it did not know as ended, and ran the stream at a third and a fourth. */
    @Test
    void endpointsThatAreUnknownHereCountUntilTheirEndIsProven() {
        CoreSimulation peer = CoreSimulation.of(new FakeDirectory(1, 3, 10), CoreSettings.defaults())
                .contract("a");
        peer.arrive(stream(0, List.of("other-1", "other-2"), 0, 30_000));
        peer.arrive(stream(1, List.of("other-1", "0-2"), 0, 30_000));
        peer.run(1_000);
        assertThat(peer.trace("r0").starts).isEmpty();
        assertThat(firstEndpointId(peer, "r1")).isEqualTo("0-2");
        peer.at(1_000, new Event.EndpointRemoved("other-2", false));
        peer.run(20_000);
        assertThat(peer.trace("r0").starts).hasSize(1);
        assertThat(peer.trace("r0").isServed()).isTrue();
    }

    /** Guards against a begun stream that no router continues because a whole response would take too long. */
    @Test
    void aBegunStreamOfAnotherRouterIsContinuedUntilItsDeadline() {
        simulation.at(0, new Event.RouterCountChanged(1));
        for (int i = 0; i < STREAMS; i++) {
            simulation.arrive(stream(i, List.of(), 0, 30_000));
        }
        simulation.arrive(stream(STREAMS, List.of(), 4_000, 4_400));
        simulation.arrive(stream(STREAMS + 1, List.of("0-0"), 4_000, 4_400));
        simulation.run(20_000);
        assertThat(simulation.trace("r" + STREAMS).starts).isEmpty();
        assertThat(simulation.trace("r" + (STREAMS + 1)).starts).hasSize(1);
        assertThat(simulation.trace("r" + (STREAMS + 1)).endedAtMs).isGreaterThanOrEqualTo(4_400);
    }

    private static String firstEndpointId(CoreSimulation simulation, String requestId) {
        return simulation.trace(requestId).starts.get(0).chain().firstStage().endpointId();
    }

    private long relays() {
        return simulation.actions.stream()
                .filter(action -> action instanceof Action.Relay)
                .count();
    }

    private void requestRelays() {
        for (int i = 0; i < STREAMS; i++) {
            simulation.at(600, new Event.RelayRequested("r" + i));
        }
        simulation.run(601);
    }

    @Test
    void runningStreamsAreRelayedAsFarAsTheRetryLimitAllows() {
        simulation.at(0, new Event.RouterCountChanged(8));
        for (int i = 0; i < STREAMS; i++) {
            simulation.arrive(stream(i));
        }
        simulation.run(500);
        requestRelays();
        // A share of 5 of the reserve of 40, and a fifth of the first attempts.
        assertThat(relays()).isPositive().isLessThanOrEqualTo(5 + STREAMS / 5);
    }

    @Test
    void relaysAreRepeatedAsFarAsTheRetryLimitAllows() {
        simulation.at(0, new Event.RouterCountChanged(8));
        simulation.at(10, new Event.Tick());
        for (int i = 0; i < STREAMS; i++) {
            simulation.at(600, new Event.RelayRepeated(stream(i)));
        }
        simulation.run(601);
        assertThat(relays()).isPositive().isLessThanOrEqualTo(5);
    }

    @Test
    void waitingRequestsAreRelayedWithoutARetry() {
        simulation.at(0, new Event.RouterCountChanged(8));
        simulation.directory.down.add("0-0");
        for (int i = 0; i < STREAMS; i++) {
            simulation.arrive(stream(i));
        }
        simulation.run(300);
        requestRelays();
        assertThat(relays()).isEqualTo(STREAMS);
    }
}

package io.radishwinch.core.impl;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.Limits;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.core.quarantine.QuarantineSettings;
import io.radishwinch.core.queue.QueueSettings;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against wrong, missing or duplicate responses, second runs of non-repeatable requests and leaked state under
 * random events. {@link CoreSimulation} checks each action; the properties check the state at the end.
 */
class CorePropertyTest {

    private static final int CAPACITY = 60;
    private static final long END_MS = 20_000;
    /** Time by which all requests have ended: the last arrival plus the longest deadline and one second for ticks. */
    private static final long ALL_ENDED_MS = END_MS + 11_000;

    private static CoreSimulation randomSimulation(long seed) {
        Random random = new Random(seed);
        FakeDirectory directory =
                new FakeDirectory(1 + random.nextInt(3), 4 + random.nextInt(6), 1 + random.nextInt(4));
        CoreSimulation simulation = CoreSimulation.of(
                directory,
                CoreSettings.defaults()
                        .withSeed(seed)
                        .withQueue(QueueSettings.defaults().withCapacity(CAPACITY))
                        .withQuarantine(QuarantineSettings.defaults().withMaxEntries(50)));
        simulation.confirmsCancellations = random.nextInt(4) > 0;
        for (String caller : List.of("a", "b", "c")) {
            simulation.contract(caller, 1 + random.nextInt(3), new Limits(200, 20_000, 80), random.nextInt(2) * 300);
        }
        Random outcomes = new Random(seed + 1);
        simulation.endpointBehaviour = start -> outcome(simulation, start, outcomes);
        int requests = 50 + random.nextInt(400);
        for (int n = 0; n < requests; n++) {
            RequestSpec spec = request("r" + n, random);
            simulation.arrive(spec);
            if (random.nextInt(15) == 0) {
                simulation.at(
                        spec.arrivedAtMs() + random.nextInt(2_000), new Event.CallerDisconnected(spec.requestId()));
            }
        }
        for (int n = 0; n < 20; n++) {
            simulation.at(random.nextInt((int) END_MS), controlEvent(random));
        }
        if (random.nextInt(3) == 0) {
            simulation.at(END_MS / 2, new Event.DrainStarted(END_MS / 2 + 3_000));
        }
        return simulation;
    }

    private static RequestSpec request(String id, Random random) {
        boolean isService = random.nextInt(5) == 0;
        long arrivedAtMs = random.nextInt((int) END_MS);
        return new RequestSpec(
                id,
                "" + "abcd".charAt(random.nextInt(4)),
                Rank.values()[random.nextInt(3)],
                isService ? "service:pay" : CoreSimulation.MODEL,
                random.nextInt(50),
                isService ? 0 : 1 + random.nextInt(300),
                arrivedAtMs,
                arrivedAtMs + random.nextInt(10_000),
                random.nextInt(4) == 0 ? "shared" + random.nextInt(5) : "f-" + id,
                List.of(),
                !isService || random.nextBoolean());
    }

    private static CoreSimulation.Outcome outcome(CoreSimulation simulation, Action.StartAttempt start, Random random) {
        String firstEndpointId = start.chain().firstStage().endpointId();
        int delivered = start.resumeFromToken();
        return switch (random.nextInt(40)) {
            case 0, 9 -> CoreSimulation.fails(start, 5, Reason.STAGE_DIED, Verdict.NOT_RUN, delivered);
            case 1 -> CoreSimulation.fails(start, 5, Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, delivered);
            case 2 -> CoreSimulation.fails(start, 500, Reason.ENDPOINT_TIMEOUT, Verdict.MAY_HAVE_RUN, delivered);
            case 3 -> CoreSimulation.fails(start, 50, Reason.SLOW_READER, Verdict.MAY_HAVE_RUN, delivered);
            case 4 -> new CoreSimulation.Outcome(20, new Event.EndpointRemoved(firstEndpointId, random.nextBoolean()));
            case 5 -> null;
            case 6, 7, 8 -> CoreSimulation.fails(start, 5, Reason.ENDPOINT_REFUSED, Verdict.NOT_RUN, delivered);
            default -> simulation.finishes(start);
        };
    }

    private static Event controlEvent(Random random) {
        String fingerprint = "shared" + random.nextInt(5);
        return switch (random.nextInt(5)) {
            case 0 ->
                new Event.AllotmentChanged(
                        "a", random.nextInt(100), random.nextInt(20_000), random.nextInt(40), random.nextDouble());
            case 1 -> new Event.CrashShared(fingerprint, "peer" + random.nextInt(3));
            case 2 -> new Event.QuarantineShared(fingerprint, random.nextInt(40_000));
            case 3 -> new Event.AttemptFailed("r1", random.nextInt(4), "0-0", Reason.STAGE_DIED, Verdict.NOT_RUN, 0);
            default -> new Event.AttemptFinished("r2", random.nextInt(2) + 7, 5);
        };
    }

    @Property(seed = "21", tries = 150)
    void everyRequestEndsExactlyOnceAndLeavesNoState(@ForAll long seed) {
        CoreSimulation simulation = randomSimulation(seed);
        for (long atMs = 0; atMs <= ALL_ENDED_MS; atMs += 100) {
            simulation.run(atMs);
            CoreState state = simulation.core.state();
            // Requests that are not running are queued or wait outside the queue, together within the capacity.
            assertThat(state.requests.size()).isLessThanOrEqualTo(CAPACITY + simulation.directory.totalSlots());
            assertThat(state.waiting.size()).isLessThanOrEqualTo(CAPACITY);
            assertThat(state.quarantine.size()).isLessThanOrEqualTo(3 * 50 + simulation.directory.totalSlots());
            simulation.traces.values().stream().filter(t -> t.isLive).forEach(t -> assertThat(state.requests)
                    .containsKey(t.spec.requestId()));
        }
        assertThat(simulation.traces.values()).allMatch(t -> t.end != null || t.isCallerDisconnected);
        CoreState state = simulation.core.state();
        assertThat(state.requests).isEmpty();
        assertThat(state.running).isEmpty();
        assertThat(state.waiting).isEmpty();
        assertThat(state.queue.size()).isZero();
        assertThat(state.attemptsByEndpoint).isEmpty();
        assertThat(state.activeByFingerprint).isEmpty();
        assertThat(state.observedEndpointIds).isEmpty();
        assertThat(simulation.directory.runningByEndpoint.values()).allMatch(running -> running == 0);
        assertThat(state.callers.values()).allMatch(caller -> caller.active == 0 && caller.waiting == 0);
    }

    /** Guards against attempts that outlive their endpoints; {@link CoreSimulation} checks it after each event. */
    @Property(seed = "23", tries = 150)
    void everyAttemptEndsSoonAfterItsEndpointsHaveEnded(@ForAll long seed) {
        CoreSimulation simulation = randomSimulation(seed);
        Random random = new Random(seed + 2);
        simulation.confirmsCancellations = random.nextBoolean();
        List<String> endpointIds = List.copyOf(simulation.directory.runningByEndpoint.keySet());
        for (int n = 0; n < 60; n++) {
            String id = endpointIds.get(random.nextInt(endpointIds.size()));
            long atMs = random.nextInt((int) END_MS);
            boolean isSuspected = random.nextBoolean();
            simulation.at(
                    atMs,
                    new Event.EndpointRemoved(id, !isSuspected && random.nextBoolean(), isSuspected, !isSuspected));
            simulation.at(
                    atMs + random.nextInt(3_000),
                    new Event.EndpointJoined(new EndpointSpec(id, "dc", "", 0, "k", 4, false, false)));
        }
        simulation.run(ALL_ENDED_MS);
        assertThat(simulation.traces.values()).allMatch(t -> t.end != null || t.isCallerDisconnected);
        assertThat(simulation.core.state().running).isEmpty();
    }

    @Property(seed = "22", tries = 25)
    void theSameEventsGiveTheSameActions(@ForAll long seed) {
        CoreSimulation first = randomSimulation(seed);
        CoreSimulation second = randomSimulation(seed);
        first.run(ALL_ENDED_MS);
        second.run(ALL_ENDED_MS);
        assertThat(first.actions).isEqualTo(second.actions);
    }
}

package io.radishwinch.core.impl;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.core.quarantine.PromptCrash;
import io.radishwinch.core.quarantine.QuarantineSettings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against streams that a quarantine breaks off, although their callers are reading. */
class QuarantinedStreamTest {
    private static final long DEADLINE_MS = 40_000;
    private static final int TOKENS = 2_000;
    private static final long PART = 2;

    private static CoreSimulation simulation(QuarantineSettings quarantine) {
        CoreSettings settings = CoreSettings.defaults().withQuarantine(quarantine);
        CoreSimulation simulation =
                CoreSimulation.of(new FakeDirectory(1, 6, 4), settings).contract("a");
        simulation.arrive(new RequestSpec(
                "r",
                "a",
                Rank.INTERACTIVE,
                CoreSimulation.MODEL,
                10,
                TOKENS,
                0,
                DEADLINE_MS,
                "f-r",
                List.of(),
                List.of(PART),
                true,
                4,
                TOKENS,
                DEADLINE_MS));
        return simulation;
    }

    /** Reports three crashes, one after the other, of other requests with the part at other routers. */
    private static void reportCrashes(CoreSimulation simulation, long atMs) {
        for (int n = 0; n < 3; n++) {
            long crashedAtMs = atMs - 400 + 200 * n;
            PromptCrash crash = new PromptCrash("other" + n, "peer" + n, List.of(PART), crashedAtMs - 50, crashedAtMs);
            simulation.at(atMs, new Event.PromptCrashShared(crash));
        }
    }

    private static CoreSimulation.Outcome breaksOffAt(Action.StartAttempt start, long atMs) {
        return CoreSimulation.fails(
                start, atMs, Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, (int) (atMs / CoreSimulation.TOKEN_MS));
    }

    private static void assertHeldAndCompleted(CoreSimulation simulation, long fromMs, long untilMs) {
        assertThat(simulation.starts(fromMs, untilMs, start -> true)).isZero();
        assertThat(simulation.trace("r").isServed()).isTrue();
    }

    /**
     * Failure: the stream was reset at 10 s of 40 s, as it lost its endpoint while one of its parts was quarantined.
     * The begun answer shows that its parts crash no endpoint.
     */
    @Test
    void aStreamResumesAlthoughOneOfItsPartsIsQuarantined() {
        CoreSimulation simulation = simulation(QuarantineSettings.defaults());
        simulation.endpointBehaviour =
                start -> start.epoch() == 1 ? breaksOffAt(start, 10_000) : simulation.finishes(start);
        reportCrashes(simulation, 9_000);
        simulation.run(DEADLINE_MS + 100);
        assertThat(simulation.trace("r").starts).hasSize(2);
        assertThat(simulation.trace("r").isServed()).isTrue();
    }

    /** Failure: the same, if the reports arrive before the next attempt has delivered anything. */
    @Test
    void aStreamThatIsBeingResumedGoesOnWhenOneOfItsPartsIsQuarantined() {
        CoreSimulation simulation = simulation(QuarantineSettings.defaults());
        simulation.endpointBehaviour = start -> start.epoch() == 1
                ? breaksOffAt(start, 10_000)
                : new CoreSimulation.Outcome(
                        5_000, new Event.AttemptFinished(start.requestId(), start.epoch(), TOKENS));
        reportCrashes(simulation, 11_000);
        simulation.run(DEADLINE_MS + 100);
        assertThat(simulation.trace("r").starts).hasSize(2);
        assertThat(simulation.trace("r").isServed()).isTrue();
    }

    /** Failure: a resumed stream that had run for 5 s was cancelled, as its first token is reported only once. */
    @Test
    void aResumedStreamThatRunsIsNotHeldForItsPart() {
        CoreSimulation simulation = simulation(QuarantineSettings.defaults());
        simulation.endpointBehaviour = start -> start.epoch() == 1 ? breaksOffAt(start, 10_000) : null;
        simulation.at(13_000, new Event.Progress("r", 2, 1_300));
        simulation.at(16_000, new Event.AttemptFinished("r", 2, TOKENS));
        reportCrashes(simulation, 15_000);
        simulation.run(DEADLINE_MS + 100);
        assertThat(simulation.actions).noneMatch(action -> action instanceof Action.CancelAttempt);
        assertThat(simulation.trace("r").isServed()).isTrue();
    }

    /** Guards against streams that wait for the end of a quarantine that is later than their own. */
    @Test
    void aStreamWhoseQuarantineEndsAfterItsDeadlineIsBrokenOffAtOnce() {
        CoreSimulation simulation = simulation(QuarantineSettings.defaults());
        simulation.at(3_000, new Event.QuarantineShared("f-r", DEADLINE_MS + 1));
        simulation.run(DEADLINE_MS + 100);
        assertThat(simulation.trace("r").refusal().reason()).isEqualTo(Reason.QUARANTINED);
        assertThat(simulation.trace("r").endedAtMs).isBetween(3_000L, 3_000 + CoreSimulation.TICK_MS);
    }

    /**
     * Failure: a stream whose first two endpoints crashed after 3 s each was reset at 6.2 s of 40 s, quarantined for 3
     * s.
     */
    @Test
    void aStreamThatRanLongBeforeItsEndpointsCrashedResumesAfterItsQuarantine() {
        CoreSimulation simulation = simulation(QuarantineSettings.defaults().withTimes(3_000, 4_000, 10_000));
        simulation.endpointBehaviour = start -> start.epoch() <= 2
                ? new CoreSimulation.Outcome(
                        3_000,
                        new Event.EndpointRemoved(start.chain().firstStage().endpointId(), true))
                : simulation.finishes(start);
        simulation.run(DEADLINE_MS + 100);
        assertThat(simulation.trace("r").starts).hasSize(3);
        assertHeldAndCompleted(simulation, 6_300, 9_200);
    }

    /** Failure: a stream was reset at 3 s of 40 s, as a peer had quarantined its fingerprint for 3 s. */
    @Test
    void aRunningStreamIsHeldWhileAPeerQuarantinesItsFingerprint() {
        CoreSimulation simulation = simulation(QuarantineSettings.defaults());
        simulation.at(3_000, new Event.QuarantineShared("f-r", 6_000));
        simulation.run(DEADLINE_MS + 100);
        assertThat(simulation.actions).contains(new Action.CancelAttempt("r", 1, Reason.QUARANTINED));
        assertHeldAndCompleted(simulation, 3_000, 6_000);
    }
}

package io.radishwinch.core.impl;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.impl.CoreSimulation.Trace;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.core.quarantine.PromptCrash;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that differ, but share a part of their prompts that crashes one endpoint after the other. */
class PoisonPromptPartTest {
    private static final long COMMON_PART = 1;
    private static final long POISON_PART = 2;
    private static final long GOSSIP_MS = 300;
    private static final long RESTART_MS = 3_000;
    private static final int ENDPOINTS = 20;
    private static final int ROUTERS = 8;

    private final List<CoreSimulation> routers = new ArrayList<>();
    private final List<Long> crashTimesMs = new ArrayList<>();
    private int nextId;

    @BeforeEach
    void createRouters() {
        for (int n = 0; n < ROUTERS; n++) {
            CoreSettings settings = CoreSettings.defaults()
                    .withQuarantine(CoreSettings.defaults()
                            .quarantine()
                            .withRestartDelays(0, 0)
                            .withoutObservation()
                            .withMaxCrashes(3));
            CoreSimulation router = CoreSimulation.of(new FakeDirectory(1, ENDPOINTS, 16), settings)
                    .contract("a");
            router.endpointBehaviour = start -> {
                if (!router.trace(start.requestId()).spec.sharedParts().contains(POISON_PART)) {
                    return router.finishes(start);
                }
                crash(start.chain().firstStage().endpointId(), router.nowMs + 10);
                return CoreSimulation.fails(start, 10, Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, 0);
            };
            routers.add(router);
        }
    }

    private void crash(String endpointId, long atMs) {
        crashTimesMs.add(atMs);
        for (CoreSimulation router : routers) {
            router.at(atMs + 5, new Event.EndpointRemoved(endpointId, false));
        }
    }

    private void arrive(long atMs, Long... parts) {
        CoreSimulation router = routers.get(nextId % ROUTERS);
        String id = "r" + nextId++;
        router.arrive(new RequestSpec(
                id,
                "a",
                Rank.INTERACTIVE,
                CoreSimulation.MODEL,
                10,
                30,
                atMs,
                atMs + 20_000,
                "f-" + id,
                List.of(),
                List.of(parts),
                true,
                4,
                30,
                Long.MAX_VALUE));
    }

    /** Runs all routers; relays what they share after the delay of gossip, and restarts endpoints. */
    private void run(long untilMs) {
        int[] relayed = new int[ROUTERS];
        for (long atMs = 0; atMs <= untilMs; atMs += 10) {
            for (int n = 0; n < ROUTERS; n++) {
                CoreSimulation router = routers.get(n);
                router.run(atMs);
                for (Action action : router.actions.subList(relayed[n], router.actions.size())) {
                    relay(action, router, atMs + GOSSIP_MS);
                }
                relayed[n] = router.actions.size();
            }
            long restartedMs = atMs - RESTART_MS;
            if (crashTimesMs.stream().noneMatch(crashMs -> crashMs > restartedMs)) {
                routers.forEach(router -> router.directory.down.clear());
            }
        }
    }

    private void relay(Action action, CoreSimulation from, long atMs) {
        Event event = null;
        if (action instanceof Action.ShareCrash crash) {
            event = new Event.CrashShared(crash.fingerprint(), crash.endpointId());
        } else if (action instanceof Action.ShareQuarantine quarantine) {
            event = new Event.QuarantineShared(quarantine.fingerprint(), quarantine.untilMs());
        } else if (action instanceof Action.SharePromptCrash crash) {
            event = new Event.PromptCrashShared(crash.crash());
        } else if (action instanceof Action.ShareProvenParts proven) {
            event = new Event.PartsProven(proven.parts(), atMs);
        }
        for (CoreSimulation router : routers) {
            if (event != null && router != from) {
                router.at(atMs, event);
            }
        }
    }

    private Stream<Trace> traces() {
        return routers.stream().flatMap(router -> router.traces.values().stream());
    }

    private List<String> soundRequestsNotServed() {
        return traces().filter(trace -> !trace.spec.sharedParts().contains(POISON_PART) && !trace.isServed())
                .map(trace -> trace.spec.arrivedAtMs() + " ms, parts " + trace.spec.sharedParts() + ": " + trace.end)
                .toList();
    }

    private long crashesAfter(long atMs) {
        return crashTimesMs.stream().filter(crashMs -> crashMs > atMs).count();
    }

    @ParameterizedTest
    @CsvSource({"1000,400", "300,400", "100,400", "2000,1500"})
    void requestsWithOnePartInCommonStopCrashingEndpoints(long poisonIntervalMs, long soundIntervalMs) {
        for (long atMs = 0; atMs < 20_000; atMs += soundIntervalMs) {
            arrive(atMs, COMMON_PART);
        }
        for (long atMs = 1_000; atMs < 20_000; atMs += poisonIntervalMs) {
            arrive(atMs, COMMON_PART, POISON_PART);
        }
        run(40_000);
        long fifthMs = crashTimesMs.size() < 5 ? Long.MAX_VALUE : crashTimesMs.get(4);
        assertThat(crashesAfter(fifthMs == Long.MAX_VALUE ? fifthMs : fifthMs + 3_000))
                .isZero();
        assertThat(soundRequestsNotServed()).isEmpty();
        assertThat(traces().filter(t -> t.spec.sharedParts().contains(POISON_PART) && t.spec.arrivedAtMs() > 12_000))
                .allMatch(t -> t.refusal().verdict() == Verdict.NOT_RUN
                        && t.refusal().reason() == Reason.QUARANTINED
                        && t.refusal().retryAfterMs() > 0
                        && t.endedAtMs == t.spec.arrivedAtMs());
    }

    @Test
    void aPoisonPartIsFoundAmongOtherPartsWhateverTheirOrder() {
        for (int n = 0; n < 60; n++) {
            arrive(1_000 + n * 300L, POISON_PART, COMMON_PART, 100L + n % 4);
            arrive(1_150 + n * 300L, COMMON_PART, 100L + n % 4);
        }
        run(40_000);
        assertThat(crashesAfter(crashTimesMs.get(Math.min(4, crashTimesMs.size() - 1)) + 3_000))
                .isZero();
        assertThat(soundRequestsNotServed()).isEmpty();
    }

    /** Guards against a quarantine of sound prompts when endpoints end for another reason. */
    @Test
    void endpointsThatEndAtTheSameTimeQuarantineNothing() {
        for (int n = 0; n < 200; n++) {
            arrive(n * 20L, COMMON_PART, 100L + n % 20);
        }
        for (int n = 0; n < ENDPOINTS / 2; n++) {
            for (CoreSimulation router : routers) {
                router.at(1_000, new Event.EndpointRemoved("0-" + n, true));
                router.at(2_500, new Event.EndpointRemoved("0-" + (n / 2 + ENDPOINTS / 2), true));
            }
        }
        run(30_000);
        Set<Reason> reasons = new HashSet<>();
        traces().filter(t -> t.end instanceof Action.Refuse)
                .forEach(t -> reasons.add(t.refusal().reason()));
        assertThat(reasons).isEmpty();
    }

    /** Guards against late evidence while a router still waits for its own check of an endpoint that a peer saw end. */
    @Test
    void theReportOfAPeerConfirmsThatAnEndpointCrashed() {
        CoreSimulation router = routers.get(0);
        router.endpointBehaviour = start -> CoreSimulation.fails(start, 10, Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, 0);
        arrive(0, COMMON_PART, POISON_PART);
        router.run(15);
        String endpointId =
                router.trace("r0").starts.get(0).chain().firstStage().endpointId();
        assertThat(router.actions).noneMatch(action -> action instanceof Action.SharePromptCrash);
        router.at(16, new Event.PromptCrashShared(new PromptCrash("peer", endpointId, List.of(9L), 0, 10)));
        router.run(20);
        assertThat(router.actions.stream().filter(action -> action instanceof Action.SharePromptCrash))
                .hasSize(1);
    }

    @Test
    void aRouterThatRestartsLearnsTheQuarantineFromTheReportsOfItsPeers() {
        CoreSimulation restarted = routers.get(0);
        for (int n = 0; n < 3; n++) {
            restarted.at(
                    10,
                    new Event.PromptCrashShared(new PromptCrash(
                            "f" + n,
                            "e" + n,
                            List.of(COMMON_PART, POISON_PART),
                            -9_000 + n * 1_000,
                            -8_900 + n * 1_000)));
        }
        restarted.at(20, new Event.PartsProven(List.of(COMMON_PART), -5_000));
        nextId = 0;
        arrive(100, COMMON_PART, POISON_PART);
        nextId = ROUTERS;
        arrive(100, COMMON_PART);
        run(5_000);
        assertThat(crashTimesMs).isEmpty();
        assertThat(restarted.trace("r0").refusal().reason()).isEqualTo(Reason.QUARANTINED);
        assertThat(restarted.trace("r" + ROUTERS).isServed()).isTrue();
    }
}

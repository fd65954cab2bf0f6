package io.radishwinch.core.impl;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a quarantine of sound requests at faulty endpoints, and of crashing ones that is too late. */
class CrashProofTest {

    private static final int ENDPOINTS = 12;
    private static final int ROUTERS = 4;
    private static final long GOSSIP_MS = 300;
    private static final long RESTART_MS = 4_000;

    private final List<CoreSimulation> routers = new ArrayList<>();
    private final Map<String, Long> downSinceMs = new HashMap<>();
    private final List<Long> crashTimesMs = new ArrayList<>();
    /** What the list says of a crashed endpoint before it joins again. */
    private Function<String, Event> endOfLifetime = id -> new Event.EndpointRemoved(id, true);

    private void createRouters() {
        for (int n = 0; n < ROUTERS; n++) {
            routers.add(CoreSimulation.of(new FakeDirectory(1, ENDPOINTS, 64), CoreSettings.defaults())
                    .contract("a"));
        }
    }

    /** Lets attempts with the fingerprint crash their endpoints, with a proof that follows each crash. */
    private void crashEndpoints(String fingerprint, long afterMs, long connectionEndMs, long proofMs) {
        for (CoreSimulation router : routers) {
            router.endpointBehaviour = start -> {
                String endpointId = start.chain().firstStage().endpointId();
                if (downSinceMs.getOrDefault(endpointId, Long.MAX_VALUE) <= router.nowMs) {
                    return CoreSimulation.fails(start, 1, Reason.STAGE_DIED, Verdict.NOT_RUN, 0);
                }
                if (!router.trace(start.requestId()).spec.fingerprint().equals(fingerprint)) {
                    return router.finishes(start);
                }
                long crashMs = router.nowMs + afterMs;
                crashTimesMs.add(crashMs);
                downSinceMs.put(endpointId, crashMs);
                routers.forEach(each -> each.at(crashMs + proofMs, new Event.EndpointRemoved(endpointId, false)));
                return CoreSimulation.fails(
                        start, afterMs + connectionEndMs, Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, 0);
            };
        }
    }

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
            List<String> restarted = downSinceMs.keySet().stream()
                    .filter(id -> downSinceMs.get(id) < restartedMs)
                    .toList();
            restarted.forEach(downSinceMs::remove);
            for (CoreSimulation router : routers) {
                restarted.forEach(id -> {
                    router.handle(endOfLifetime.apply(id));
                    router.handle(joined(id));
                });
            }
        }
    }

    private static Event joined(String endpointId) {
        return new Event.EndpointJoined(new EndpointSpec(endpointId, "dc", "", 0, "k", 100, true, true));
    }

    private void relay(Action action, CoreSimulation from, long atMs) {
        Event event = null;
        if (action instanceof Action.ShareCrash crash) {
            event = new Event.CrashShared(crash.fingerprint(), crash.endpointId());
        } else if (action instanceof Action.ShareQuarantine quarantine) {
            event = new Event.QuarantineShared(quarantine.fingerprint(), quarantine.untilMs());
        }
        for (CoreSimulation router : routers) {
            if (event != null && router != from) {
                router.at(atMs, event);
            }
        }
    }

    private Stream<CoreSimulation.Trace> traces() {
        return routers.stream().flatMap(router -> router.traces.values().stream());
    }

    private long refusedAsQuarantined(String fingerprint) {
        return traces().filter(trace -> trace.spec.fingerprint().equals(fingerprint))
                .filter(trace -> trace.end instanceof Action.Refuse refuse && refuse.reason() == Reason.QUARANTINED)
                .count();
    }

    /** Guards against a popular request that all routers refuse because two endpoints break some of its responses. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5})
    void aRequestWhoseConnectionsBreakAtEndpointsThatGoOnIsNotQuarantined(int seed) {
        createRouters();
        Random random = new Random(seed);
        for (CoreSimulation router : routers) {
            router.endpointBehaviour = start -> {
                int endpoint =
                        Integer.parseInt(start.chain().firstStage().endpointId().substring(2));
                return endpoint < 2 && random.nextInt(10) < 3
                        ? CoreSimulation.fails(start, 5, Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, 0)
                        : router.finishes(start);
            };
        }
        for (int n = 0; n < 2_000; n++) {
            CoreSimulation router = routers.get(n % ROUTERS);
            router.arrive(router.request("r" + n, "popular", "a", Rank.INTERACTIVE, n * 10L, 30, 10_000));
        }
        run(40_000);
        assertThat(refusedAsQuarantined("popular")).isZero();
        assertThat(traces().filter(trace -> !trace.isServed()).count()).isLessThanOrEqualTo(20);
        assertThat(routers).allMatch(router -> router.actions.stream()
                .noneMatch(action -> action instanceof Action.ShareCrash || action instanceof Action.ShareQuarantine));
    }

    /** Guards against requests that crash endpoints without end, as the proof of each crash follows the failure. */
    @ParameterizedTest
    @CsvSource({
        "10,0,5,300",
        "10,0,100,300",
        "10,0,1000,300",
        "300,0,300,100",
        "10,200,300,300",
        "10,1000,1300,300",
        "10,0,1300,50",
        "200,5,600,1000"
    })
    void copiesThatCrashEndpointsStopSoonAfterTheThirdCrash(
            long afterMs, long connectionEndMs, long proofMs, long intervalMs) {
        assertThatCopiesStop(afterMs, connectionEndMs, proofMs, intervalMs);
    }

    /**
     * Guards against crashes that count for no request, as a status check ends the attempts before their connections
     * end.
     */
    @ParameterizedTest
    @CsvSource({"10,200,100,300", "10,1000,300,300"})
    void copiesStopIfAStatusCheckPrecedesTheEndsOfTheirConnections(
            long afterMs, long connectionEndMs, long proofMs, long intervalMs) {
        assertThatCopiesStop(afterMs, connectionEndMs, proofMs, intervalMs);
    }

    /** Guards against crashes that count for no request, as the endpoints start again under other identifiers. */
    @ParameterizedTest
    @CsvSource({"10,200,100,300", "10,1000,300,300"})
    void copiesStopIfTheEntriesOfTheirEndpointsExpire(
            long afterMs, long connectionEndMs, long proofMs, long intervalMs) {
        endOfLifetime = Event.EndpointLeaving::new;
        assertThatCopiesStop(afterMs, connectionEndMs, proofMs, intervalMs);
    }

    enum Silence {
        CUT_LINK,
        SILENT_SECOND,
        FREEZE,
        PLANNED_END
    }

    /** Guards against a quarantine of sound requests that lose endpoints which have not crashed. */
    @ParameterizedTest
    @EnumSource(Silence.class)
    void aRequestThatLosesEndpointsWhichHaveNotCrashedIsServed(Silence silence) {
        createRouters();
        CoreSimulation router = routers.get(0);
        router.arrive(router.request("r", "a", Rank.INTERACTIVE, 0, 1_000, 20_000));
        for (int n = 0; n < 500; n++) {
            router.arrive(router.request("short" + n, "a", Rank.INTERACTIVE, n * 20L, 30, 10_000));
        }
        for (long atMs = 1_000; atMs <= 2_500; atMs += 1_500) {
            router.run(atMs - 1);
            List<Action.StartAttempt> starts = router.trace("r").starts;
            String endpointId =
                    starts.get(starts.size() - 1).chain().firstStage().endpointId();
            loseEndpoint(router, endpointId, atMs, silence);
        }
        router.run(20_000);
        assertThat(router.trace("r").starts).hasSize(3);
        assertThat(router.trace("r").endedAtMs).isBetween(10_000L, 12_000L);
        assertThat(router.traces.values()).allMatch(CoreSimulation.Trace::isServed);
        assertThat(router.actions).noneMatch(action -> action instanceof Action.ShareCrash);
    }

    private static void loseEndpoint(CoreSimulation router, String endpointId, long atMs, Silence silence) {
        boolean isSuspected = silence == Silence.SILENT_SECOND || silence == Silence.FREEZE;
        if (silence == Silence.PLANNED_END) {
            router.at(atMs, new Event.EndpointLeaving(endpointId));
        }
        router.at(
                atMs,
                isSuspected
                        ? Event.EndpointRemoved.suspected(endpointId)
                        : new Event.EndpointRemoved(endpointId, false));
        if (silence == Silence.FREEZE) {
            router.at(atMs + 1_800, new Event.EndpointLeaving(endpointId));
        }
        router.at(atMs + (silence == Silence.SILENT_SECOND ? 1_000 : 2_500), joined(endpointId));
    }

    private void assertThatCopiesStop(long afterMs, long connectionEndMs, long proofMs, long intervalMs) {
        createRouters();
        crashEndpoints("poison", afterMs, connectionEndMs, proofMs);
        for (int n = 0; n * intervalMs < 30_000; n++) {
            CoreSimulation router = routers.get(n % ROUTERS);
            router.arrive(router.request("p" + n, "poison", "a", Rank.INTERACTIVE, n * intervalMs, 60, 10_000));
        }
        for (int n = 0; n < 1_000; n++) {
            CoreSimulation router = routers.get(n % ROUTERS);
            router.arrive(router.request("s" + n, "sound" + n, "a", Rank.INTERACTIVE, n * 30L, 30, 10_000));
        }
        run(45_000);
        long thirdMs = crashTimesMs.size() < 3 ? Long.MAX_VALUE - 10_000 : crashTimesMs.get(2);
        assertThat(crashTimesMs.stream().filter(crashMs -> crashMs > thirdMs + 3_000))
                .hasSizeLessThanOrEqualTo(3);
        assertThat(refusedAsQuarantined("poison")).isPositive();
        assertThat(traces().filter(trace -> trace.spec.fingerprint().startsWith("sound"))
                        .filter(trace ->
                                trace.end instanceof Action.Refuse refuse && refuse.reason() == Reason.QUARANTINED))
                .isEmpty();
    }

    @Test
    void theEndOfAnEndpointConfirmsTheAttemptsThatBrokeThereBefore() {
        createRouters();
        CoreSimulation router = routers.get(0);
        router.endpointBehaviour = start -> CoreSimulation.fails(start, 10, Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, 0);
        router.arrive(router.request("r", "poison", "a", Rank.INTERACTIVE, 0, 30, 10_000));
        router.run(15);
        String endpointId = router.trace("r").starts.get(0).chain().firstStage().endpointId();
        assertThat(router.actions).noneMatch(action -> action instanceof Action.ShareCrash);
        router.at(900, new Event.EndpointRemoved(endpointId, false));
        router.run(901);
        assertThat(router.actions).contains(new Action.ShareCrash("poison", endpointId));
    }

    @Test
    void anEndpointThatEndsLongAfterAnAttemptBrokeConfirmsNothing() {
        createRouters();
        CoreSimulation router = routers.get(0);
        router.endpointBehaviour = start -> start.epoch() == 1
                ? CoreSimulation.fails(start, 10, Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, 0)
                : new CoreSimulation.Outcome(9_000, new Event.AttemptFinished(start.requestId(), start.epoch(), 30));
        router.arrive(router.request("r", "slow", "a", Rank.INTERACTIVE, 0, 30, 20_000));
        router.run(15);
        String endpointId = router.trace("r").starts.get(0).chain().firstStage().endpointId();
        router.at(6_000, new Event.EndpointRemoved(endpointId, false));
        router.run(8_000);
        assertThat(router.actions).noneMatch(action -> action instanceof Action.ShareCrash);
    }
}

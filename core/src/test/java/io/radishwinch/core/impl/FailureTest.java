package io.radishwinch.core.impl;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.impl.CoreSimulation.Trace;
import io.radishwinch.core.model.Limits;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Stage;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.core.quarantine.QuarantineSettings;
import io.radishwinch.core.retry.RetrySettings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against wrong responses, wrong verdicts and amplified load when a single component fails. */
class FailureTest {

    /** Assumed delay of gossip between routers, in ms. */
    private static final long GOSSIP_MS = 500;

    private static CoreSimulation simulation(int stages, int endpoints, int slots, CoreSettings settings) {
        return CoreSimulation.of(new FakeDirectory(stages, endpoints, slots), settings)
                .contract("a")
                .contract("b");
    }

    private static CoreSimulation simulation(int stages, int endpoints, int slots) {
        return simulation(stages, endpoints, slots, CoreSettings.defaults());
    }

    private static RequestSpec nonRepeatable(String id, long atMs) {
        return new RequestSpec(
                id, "a", Rank.ACCOUNT_ACTION, "service:pay", 0, 0, atMs, atMs + 5_000, "f-" + id, List.of(), false);
    }

    @Test
    void aStreamResumesFromItsDeliveredTokensWhenAStageDies() {
        CoreSimulation simulation = simulation(3, 2, 4);
        simulation.arrive(simulation.request("r", "a", Rank.INTERACTIVE, 0, 100, 30_000));
        simulation.at(400, new Event.EndpointRemoved("1-0", true));
        simulation.run(5_000);
        List<Action.StartAttempt> starts = simulation.trace("r").starts;
        assertThat(starts).hasSize(2);
        assertThat(starts.get(1).resumeFromToken()).isEqualTo(40);
        assertThat(starts.get(1).kvSourceEndpointIds()).containsExactly("0-0", "2-0");
        assertThat(starts.get(1).chain().stages()).extracting(Stage::endpointId).contains("1-1");
        assertThat(simulation.trace("r").end).isInstanceOf(Action.Complete.class);
        // Without the failure it ends after 1,000 ms; the next attempt waits until the peers have learned of the crash.
        assertThat(simulation.trace("r").endedAtMs)
                .isEqualTo(1_000 + QuarantineSettings.defaults().restartDelayMs());
    }

    /** Load pattern: layers vanish while requests wait, and no repair is in sight. */
    @Test
    void waitingRequestsAreRefusedAsSoonAsACoverageGapOutlastsItsGracePeriod() {
        CoreSettings settings = CoreSettings.defaults().withUncoveredGraceMs(400);
        CoreSimulation simulation = simulation(1, 1, 1, settings);
        simulation.arrive(simulation.request("running", "a", Rank.INTERACTIVE, 0, 1_000, 60_000));
        simulation.arrive(simulation.request("waiting", "a", Rank.INTERACTIVE, 100, 100, 60_000));
        simulation.at(1_000, new Event.EndpointRemoved("0-0", false));
        simulation.run(5_000);
        Trace waiting = simulation.trace("waiting");
        assertThat(waiting.starts).isEmpty();
        assertThat(waiting.refusal().reason()).isEqualTo(Reason.NO_CAPACITY);
        assertThat(waiting.refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(waiting.refusal().retryAfterMs()).isPositive();
        // The grace period and the tick in which it ends.
        assertThat(waiting.endedAtMs).isBetween(1_400L, 1_600L);
    }

    @Test
    void aStreamWhoseDeliveredTokensStayUnknownIsRefusedRatherThanResumed() {
        CoreSimulation simulation = simulation(1, 2, 4);
        simulation.confirmsCancellations = false;
        simulation.arrive(simulation.request("r", "a", Rank.INTERACTIVE, 0, 300, 30_000));
        simulation.at(400, new Event.EndpointRemoved("0-0", true));
        simulation.endpointBehaviour = start -> null;
        simulation.run(5_000);
        assertThat(simulation.trace("r").starts).hasSize(1);
        assertThat(simulation.trace("r").refusal())
                .isEqualTo(new Action.Refuse("r", Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, 0));
    }

    @Test
    void aNonRepeatableRequestKeepsItsResponseWhenItsEndpointIsRemoved() {
        CoreSimulation simulation = simulation(1, 2, 4);
        simulation.arrive(nonRepeatable("refund", 0));
        simulation.at(1, new Event.AttemptStarted("refund", 1));
        simulation.at(2, new Event.EndpointRemoved("0-0", false));
        simulation.run(6_000);
        assertThat(simulation.trace("refund").starts).hasSize(1);
        assertThat(simulation.trace("refund").end).isInstanceOf(Action.Complete.class);
    }

    @Test
    void aNonRepeatableRequestThatMayHaveRunIsNotStartedAgain() {
        CoreSimulation simulation = simulation(1, 4, 4);
        simulation.endpointBehaviour =
                start -> CoreSimulation.fails(start, 10, Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, 0);
        simulation.arrive(nonRepeatable("refund", 0));
        simulation.run(6_000);
        assertThat(simulation.trace("refund").starts).hasSize(1);
        assertThat(simulation.trace("refund").refusal().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Test
    void aNonRepeatableRequestThatDidNotRunIsRetriedAndKeepsItsVerdict() {
        CoreSimulation simulation = simulation(1, 4, 4);
        simulation.endpointBehaviour =
                start -> CoreSimulation.fails(start, 10, Reason.ENDPOINT_REFUSED, Verdict.NOT_RUN, 0);
        simulation.arrive(nonRepeatable("refund", 0));
        simulation.run(6_000);
        assertThat(simulation.trace("refund").starts)
                .hasSize(RetrySettings.defaults().maxAttempts());
        assertThat(simulation.trace("refund").refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void aDisconnectedCallerFreesItsSlotAndGetsNoResponse() {
        CoreSimulation simulation = simulation(1, 1, 1);
        simulation.arrive(simulation.request("gone", "a", Rank.INTERACTIVE, 0, 500, 30_000));
        simulation.arrive(simulation.request("next", "b", Rank.INTERACTIVE, 10, 10, 30_000));
        simulation.at(100, new Event.CallerDisconnected("gone"));
        simulation.run(1_000);
        assertThat(simulation.trace("gone").end).isNull();
        assertThat(simulation.actions).contains(new Action.CancelAttempt("gone", 1, Reason.CALLER_DISCONNECTED));
        assertThat(simulation.trace("next").endedAtMs).isEqualTo(200);
    }

    /** Simulates a load of 50 requests/s during which all endpoints refuse requests from 30 s to 90 s. */
    private static CoreSimulation outage(RetrySettings retry) {
        CoreSimulation simulation = simulation(1, 10, 8, CoreSettings.defaults().withRetry(retry));
        simulation.endpointBehaviour = start -> simulation.nowMs >= 30_000 && simulation.nowMs < 90_000
                ? CoreSimulation.fails(start, 5, Reason.ENDPOINT_REFUSED, Verdict.NOT_RUN, 0)
                : simulation.finishes(start);
        for (int n = 0; n < 6_000; n++) {
            simulation.arrive(
                    simulation.request("r" + n, n % 5 == 0 ? "a" : "b", Rank.INTERACTIVE, n * 20L, 50, 10_000));
        }
        simulation.run(140_000);
        return simulation;
    }

    private static double retryShare(CoreSimulation simulation, long fromMs, long toMs) {
        return (double) simulation.starts(fromMs, toMs, s -> s.epoch() > 1)
                / simulation.starts(fromMs, toMs, s -> s.epoch() == 1);
    }

    @Test
    void retriesStayWithinTenPercentOfTheLoadInATotalOutageAndAfterIt() {
        CoreSimulation simulation = outage(RetrySettings.defaults());
        CoreSimulation unbounded = outage(RetrySettings.defaults().withBudget(1, 1, 1e9, Integer.MAX_VALUE));
        System.out.printf(
                "outage: retries per first attempt %.4f with budget, %.4f without; first 2 s after recovery %.4f and %.4f%n",
                retryShare(simulation, 30_000, 90_000),
                retryShare(unbounded, 30_000, 90_000),
                retryShare(simulation, 90_000, 92_000),
                retryShare(unbounded, 90_000, 92_000));
        assertThat(retryShare(simulation, 30_000, 90_000)).isLessThanOrEqualTo(0.10);
        assertThat(retryShare(simulation, 90_000, 92_000)).isLessThanOrEqualTo(0.10);
        assertThat(simulation.traces.values())
                .allMatch(t -> t.end instanceof Action.Complete || t.refusal().verdict() == Verdict.NOT_RUN);
        assertThat(simulation.traces.values().stream().filter(t -> t.spec.arrivedAtMs() >= 91_000))
                .allMatch(Trace::isServed);
    }

    @Test
    void aRequestThatCrashesEndpointsIsQuarantinedAndOtherRequestsFinish() {
        CoreSimulation simulation = simulation(1, 6, 8);
        simulation.directory.down.addAll(List.of("0-1", "0-2", "0-3", "0-4", "0-5"));
        simulation.endpointBehaviour = start -> {
            boolean isPoison =
                    simulation.trace(start.requestId()).spec.fingerprint().equals("poison");
            String firstEndpointId = start.chain().firstStage().endpointId();
            return isPoison
                    ? new CoreSimulation.Outcome(50, new Event.EndpointRemoved(firstEndpointId, true))
                    : simulation.finishes(start);
        };
        simulation.arrive(simulation.request("innocent1", "a", Rank.INTERACTIVE, 0, 100, 30_000));
        simulation.arrive(simulation.request("innocent2", "b", Rank.INTERACTIVE, 0, 100, 30_000));
        simulation.arrive(simulation.request("p", "poison", "a", Rank.INTERACTIVE, 10, 100, 30_000));
        simulation.run(20);
        simulation.directory.down.clear();
        for (int n = 0; n < 10; n++) {
            simulation.arrive(
                    simulation.request("copy" + n, "poison", "a", Rank.INTERACTIVE, 30 + n * 300L, 100, 30_000));
        }
        simulation.run(40_000);
        assertThat(simulation.directory.down).hasSizeLessThanOrEqualTo(2);
        assertThat(simulation.trace("p").refusal().reason()).isEqualTo(Reason.QUARANTINED);
        assertThat(simulation.trace("copy9").refusal())
                .isEqualTo(new Action.Refuse("copy9", Reason.QUARANTINED, Verdict.NOT_RUN, 0));
        assertThat(List.of(simulation.trace("innocent1"), simulation.trace("innocent2")))
                .allMatch(Trace::isServed);
        assertThat(simulation.actions.stream().filter(a -> a instanceof Action.ShareQuarantine))
                .hasSize(1)
                .allMatch(a -> ((Action.ShareQuarantine) a).fingerprint().equals("poison"));
    }

    @Test
    void copiesSentAtOnceCostNoMoreThanTwoEndpoints() {
        CoreSimulation simulation = simulation(1, 6, 8);
        simulation.endpointBehaviour = start -> new CoreSimulation.Outcome(
                50, new Event.EndpointRemoved(start.chain().firstStage().endpointId(), true));
        for (int n = 0; n < 20; n++) {
            simulation.arrive(simulation.request("c" + n, "poison", "a", Rank.INTERACTIVE, 0, 100, 30_000));
        }
        simulation.run(40_000);
        assertThat(simulation.directory.down).hasSize(2);
        assertThat(simulation.traces.values()).allMatch(t -> t.refusal().reason() == Reason.QUARANTINED);
    }

    @Test
    void aCrashReportedByAPeerCountsAgainstTheFingerprint() {
        CoreSimulation simulation = simulation(1, 4, 8);
        simulation.endpointBehaviour = start -> new CoreSimulation.Outcome(
                50, new Event.EndpointRemoved(start.chain().firstStage().endpointId(), true));
        simulation.at(0, new Event.CrashShared("poison", "elsewhere"));
        simulation.arrive(simulation.request("c", "poison", "a", Rank.INTERACTIVE, 10, 100, 30_000));
        simulation.at(500, new Event.QuarantineShared("other", 60_000));
        simulation.arrive(simulation.request("o", "other", "a", Rank.INTERACTIVE, 600, 100, 30_000));
        simulation.run(40_000);
        assertThat(simulation.directory.down).hasSize(1);
        assertThat(simulation.trace("c").refusal().reason()).isEqualTo(Reason.QUARANTINED);
        assertThat(simulation.trace("o").refusal().reason()).isEqualTo(Reason.QUARANTINED);
    }

    /**
     * Sends copies of a crashing request to four routers in turn, each after the previous copy was refused, and returns
     * the number of lost endpoints.
     */
    private static int endpointsLostByFourRouters(CoreSettings settings) {
        Set<String> lost = new HashSet<>();
        List<CoreSimulation> routers = new ArrayList<>();
        for (int n = 0; n < 4; n++) {
            CoreSimulation router = simulation(1, 12, 8, settings);
            router.endpointBehaviour = start -> new CoreSimulation.Outcome(
                    50, new Event.EndpointRemoved(start.chain().firstStage().endpointId(), true));
            routers.add(router);
        }
        int[] relayedActions = new int[4];
        int copies = 0;
        for (long atMs = 0; atMs < 20_000; atMs += 10) {
            CoreSimulation last = routers.get(Math.floorMod(copies - 1, 4));
            if (copies < 40 && (copies == 0 || last.trace("c" + (copies - 1)).end != null)) {
                CoreSimulation next = routers.get(copies % 4);
                next.arrive(next.request("c" + copies++, "poison", "a", Rank.INTERACTIVE, atMs, 100, 30_000));
            }
            for (int n = 0; n < 4; n++) {
                CoreSimulation router = routers.get(n);
                router.run(atMs);
                lost.addAll(router.directory.down);
                router.directory.down.addAll(lost);
                for (Action action : router.actions.subList(relayedActions[n], router.actions.size())) {
                    relay(action, router, routers, atMs + GOSSIP_MS);
                }
                relayedActions[n] = router.actions.size();
            }
        }
        return lost.size();
    }

    private static void relay(Action action, CoreSimulation from, List<CoreSimulation> routers, long atMs) {
        Event peerEvent = null;
        if (action instanceof Action.ShareCrash crash) {
            peerEvent = new Event.CrashShared(crash.fingerprint(), crash.endpointId());
        } else if (action instanceof Action.ShareQuarantine quarantine) {
            peerEvent = new Event.QuarantineShared(quarantine.fingerprint(), quarantine.untilMs());
        }
        for (CoreSimulation router : routers) {
            if (peerEvent != null && router != from) {
                router.at(atMs, peerEvent);
            }
        }
    }

    @Test
    void aRequestResentToAllRoutersCostsAtMostFourEndpoints() {
        int lost = endpointsLostByFourRouters(CoreSettings.defaults());
        QuarantineSettings withoutDelays = QuarantineSettings.defaults().withRestartDelays(0, 0);
        System.out.printf(
                "resent to four routers: %d endpoints lost, %d without restart delays%n",
                lost, endpointsLostByFourRouters(CoreSettings.defaults().withQuarantine(withoutDelays)));
        assertThat(lost).isLessThanOrEqualTo(4);
    }

    @Test
    void allStreamsOfALostEndpointResumeAndAreServed() {
        CoreSimulation simulation = simulation(1, 4, 16);
        for (int n = 0; n < 48; n++) {
            simulation.arrive(simulation.request("r" + n, "a", Rank.INTERACTIVE, n, 300, 30_000));
        }
        simulation.at(1_000, new Event.EndpointRemoved("0-0", true));
        simulation.run(40_000);
        assertThat(simulation.traces.values()).allMatch(Trace::isServed);
        System.out.printf(
                "lost endpoint: last response %d ms later than without the loss%n",
                simulation.traces.values().stream()
                                .mapToLong(t -> t.endedAtMs)
                                .max()
                                .orElseThrow()
                        - 3_047);
    }

    @Test
    void aDrainingRouterRefusesNewWorkAndFinishesRunningWork() {
        CoreSimulation simulation = simulation(1, 1, 1);
        simulation.arrive(simulation.request("running", "a", Rank.INTERACTIVE, 0, 100, 30_000));
        simulation.arrive(simulation.request("queued", "a", Rank.INTERACTIVE, 10, 100, 30_000));
        simulation.arrive(simulation.request("late", "a", Rank.INTERACTIVE, 20, 5_000, 60_000));
        simulation.at(100, new Event.DrainStarted(10_000));
        simulation.arrive(simulation.request("new", "a", Rank.INTERACTIVE, 200, 100, 30_000));
        simulation.run(20_000);
        assertThat(simulation.trace("running").isServed()).isTrue();
        assertThat(simulation.trace("queued").isServed()).isTrue();
        assertThat(simulation.trace("late").refusal().reason()).isEqualTo(Reason.DRAINING);
        assertThat(simulation.trace("late").endedAtMs).isLessThanOrEqualTo(10_050);
        assertThat(simulation.trace("new").refusal().reason()).isEqualTo(Reason.DRAINING);
        assertThat(simulation.trace("new").refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    /**
     * Guards against restarts of a stream at further endpoints when engines in the middle of its chain fail repeatedly.
     */
    @Test
    void aStreamWhoseMiddleStagesDieRunsAtNoMoreEndpointsThanItsRouteAllows() {
        FakeDirectory directory = new FakeDirectory(3, 4, 10);
        CoreSettings settings = CoreSettings.defaults()
                .withQuarantine(QuarantineSettings.defaults().withMaxCrashes(10));
        CoreSimulation simulation = CoreSimulation.of(directory, settings).contract("a");
        simulation.arrive(CoreSimulation.stream("s", 2, 2_000, 0, 60_000, Long.MAX_VALUE, List.of()));
        for (int i = 0; i < 4; i++) {
            simulation.at(500 + i * 1_000L, new Event.EndpointRemoved("1-" + i, false));
        }
        simulation.run(30_000);
        // One attempt for each of the four engines, then the layers are missing.
        assertThat(simulation.trace("s").starts).hasSize(4);
        assertThat(simulation.trace("s").starts.stream()
                        .map(start -> start.chain().firstStage().endpointId())
                        .distinct())
                .hasSizeLessThanOrEqualTo(2);
        simulation.run(61_000);
        assertThat(simulation.trace("s").refusal().reason()).isEqualTo(Reason.DEADLINE_EXCEEDED);
    }

    /** Guards against failed requests during a rolling restart, when callers keep using their open connections. */
    @Test
    void aDrainingRouterServesShortRequestsAndRefusesOthersWithAShortRetryAfter() {
        CoreSimulation simulation = simulation(1, 1, 4, CoreSettings.defaults().withServiceWhileDraining());
        simulation.at(100, new Event.DrainStarted(5_000));
        simulation.arrive(simulation.request("short", "a", Rank.INTERACTIVE, 200, 20, 800));
        simulation.arrive(simulation.request("long", "a", Rank.INTERACTIVE, 200, 20, 20_000));
        simulation.run(10_000);
        assertThat(simulation.trace("short").isServed()).isTrue();
        assertThat(simulation.trace("long").refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(simulation.trace("long").refusal().retryAfterMs()).isBetween(1L, 50L);
    }

    @Test
    void aRequestWhoseDeadlinePassesInTheQueueIsRefusedWithoutRunning() {
        CoreSimulation simulation = simulation(1, 1, 1);
        simulation.arrive(simulation.request("long", "a", Rank.INTERACTIVE, 0, 1_000, 30_000));
        simulation.arrive(simulation.request("short", "b", Rank.INTERACTIVE, 10, 10, 2_000));
        simulation.run(20_000);
        assertThat(simulation.trace("short").starts).isEmpty();
        assertThat(simulation.trace("short").refusal())
                .isEqualTo(new Action.Refuse("short", Reason.DEADLINE_UNREACHABLE, Verdict.NOT_RUN, 0));
        assertThat(simulation.trace("short").endedAtMs).isLessThanOrEqualTo(2_100);
    }

    @Test
    void urgentWorkPreemptsBatchWorkThatResumesLater() {
        CoreSimulation simulation = simulation(1, 1, 2);
        simulation.arrive(simulation.request("batch1", "b", Rank.BATCH, 0, 1_000, 60_000));
        simulation.arrive(simulation.request("batch2", "b", Rank.BATCH, 0, 1_000, 60_000));
        simulation.arrive(simulation.request("urgent", "a", Rank.INTERACTIVE, 1_000, 50, 3_000));
        simulation.run(60_000);
        assertThat(simulation.trace("urgent").isServed()).isTrue();
        assertThat(simulation.traces.values()).allMatch(Trace::isServed);
        assertThat(simulation.actions.stream().filter(a -> a instanceof Action.CancelAttempt))
                .hasSize(1);
    }

    private static RequestSpec batchRequest(String caller, int tokens, int maxRuns) {
        return new RequestSpec(
                "batch",
                caller,
                Rank.BATCH,
                CoreSimulation.MODEL,
                10,
                tokens,
                0,
                60_000,
                "f-batch",
                List.of(),
                List.of(),
                true,
                maxRuns,
                tokens,
                60_000);
    }

    /** Guards against streams that the router breaks off itself: it preempts the last run that their route allows. */
    @Test
    void theLastRunOfABatchRequestIsNotPreempted() {
        CoreSimulation simulation = simulation(1, 1, 1);
        simulation.arrive(batchRequest("b", 1_000, 2));
        simulation.arrive(simulation.request("urgent1", "a", Rank.INTERACTIVE, 1_000, 50, 30_000));
        simulation.arrive(simulation.request("urgent2", "a", Rank.INTERACTIVE, 3_000, 50, 30_000));
        simulation.run(60_000);
        assertThat(simulation.trace("batch").end).isEqualTo(new Action.Complete("batch"));
        assertThat(simulation.trace("batch").starts).hasSize(2);
    }

    /**
     * Guards against responses that the router breaks off itself: it preempts one whose head was sent and that no other
     * attempt can continue, whose exchange therefore does not confirm the cancellation.
     */
    @Test
    void aBatchRequestThatCannotBeCancelledIsNotRefusedAsPreempted() {
        CoreSimulation simulation = simulation(1, 1, 1);
        simulation.confirmsCancellations = false;
        simulation.arrive(batchRequest("b", 1_000, 9));
        simulation.arrive(simulation.request("urgent", "a", Rank.INTERACTIVE, 1_000, 50, 30_000));
        simulation.run(60_000);
        assertThat(String.valueOf(simulation.trace("batch").end)).doesNotContain("reason=PREEMPTED");
    }

    /** Guards against running streams of a deleted contract that are broken off: preempted, they could not resume. */
    @Test
    void aRunningRequestOfADeletedContractIsNotPreempted() {
        CoreSimulation simulation = simulation(1, 1, 1);
        simulation.arrive(batchRequest("b", 1_000, 9));
        simulation.run(100);
        simulation.contracts.remove("b");
        simulation.configure();
        simulation.arrive(simulation.request("urgent", "a", Rank.INTERACTIVE, 1_000, 50, 30_000));
        simulation.run(60_000);
        assertThat(simulation.trace("batch").end).isEqualTo(new Action.Complete("batch"));
    }

    /**
     * Guards against running streams that a planned stop breaks off: preempted, they could not end before the drain.
     */
    @Test
    void aDrainingRouterPreemptsNoRequest() {
        CoreSimulation simulation = simulation(1, 1, 1, CoreSettings.defaults().withServiceWhileDraining());
        simulation.arrive(batchRequest("b", 700, 9));
        simulation.at(500, new Event.DrainStarted(7_500));
        simulation.arrive(simulation.request("urgent", "a", Rank.INTERACTIVE, 600, 300, 5_000));
        simulation.run(60_000);
        assertThat(simulation.trace("batch").end).isEqualTo(new Action.Complete("batch"));
        assertThat(simulation.trace("urgent").refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    /** Guards against streams that are preempted just before a drain and then have too little time left to resume. */
    @Test
    void aRouterThatWasAskedToStopPreemptsNoRequest() {
        CoreSimulation simulation = simulation(1, 1, 1, CoreSettings.defaults().withServiceWhileDraining());
        simulation.arrive(batchRequest("b", 700, 9));
        simulation.at(500, new Event.StopRequested(8_000));
        simulation.at(3_300, new Event.DrainStarted(8_000));
        simulation.arrive(simulation.request("urgent", "a", Rank.INTERACTIVE, 600, 300, 5_000));
        simulation.run(60_000);
        assertThat(simulation.trace("batch").end).isEqualTo(new Action.Complete("batch"));
        assertThat(simulation.trace("urgent").refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    /** Guards against streams that are admitted after a stop request and cut at the end of the grace period. */
    @Test
    void aRouterThatWasAskedToStopRefusesStreamsThatCannotEndBeforeIt() {
        CoreSimulation simulation = simulation(1, 1, 8, CoreSettings.defaults().withServiceWhileDraining());
        for (int i = 0; i < 25; i++) {
            simulation.arrive(simulation.request("before" + i, "a", Rank.INTERACTIVE, 100 * i, 100, 30_000));
        }
        simulation.at(4_000, new Event.StopRequested(11_500));
        simulation.at(6_800, new Event.DrainStarted(11_500));
        simulation.arrive(simulation.request("short", "a", Rank.INTERACTIVE, 6_700, 400, 30_000));
        simulation.arrive(simulation.request("long", "a", Rank.INTERACTIVE, 6_700, 550, 30_000));
        simulation.run(60_000);
        assertThat(simulation.trace("short").isServed()).isTrue();
        assertThat(simulation.trace("long").refusal().reason()).isEqualTo(Reason.DRAINING);
        assertThat(simulation.trace("long").refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    /** Guards against streams that wait until a stop request, start after it and are cut at its end. */
    @Test
    void aRouterThatWasAskedToStopStartsNoStreamThatCannotEndBeforeIt() {
        CoreSimulation simulation = simulation(1, 1, 1, CoreSettings.defaults().withServiceWhileDraining());
        for (int i = 0; i < 25; i++) {
            simulation.arrive(simulation.request("before" + i, "a", Rank.INTERACTIVE, 0, 20, 60_000));
        }
        simulation.arrive(simulation.request("running", "a", Rank.INTERACTIVE, 5_800, 300, 60_000));
        simulation.arrive(simulation.request("waiting", "a", Rank.INTERACTIVE, 5_900, 600, 60_000));
        simulation.at(6_000, new Event.StopRequested(13_500));
        simulation.at(8_900, new Event.DrainStarted(13_500));
        simulation.run(60_000);
        assertThat(simulation.trace("running").isServed()).isTrue();
        assertThat(simulation.trace("waiting").refusal().reason()).isEqualTo(Reason.DRAINING);
        assertThat(simulation.trace("waiting").refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void requestsOverTheLimitsAreRefusedAndUnusedTokensAreRefunded() {
        CoreSimulation simulation = CoreSimulation.of(new FakeDirectory(1, 4, 8), CoreSettings.defaults());
        simulation.contract("a", 1, new Limits(10, 110, 2), 0);
        simulation.endpointBehaviour = start ->
                new CoreSimulation.Outcome(10, new Event.AttemptFinished(start.requestId(), start.epoch(), 10));
        simulation.arrive(simulation.request("first", "a", Rank.INTERACTIVE, 0, 210, 5_000));
        simulation.arrive(simulation.request("over", "a", Rank.INTERACTIVE, 5, 100, 5_000));
        simulation.arrive(simulation.request("refunded", "a", Rank.INTERACTIVE, 20, 100, 5_000));
        simulation.run(1_000);
        assertThat(simulation.trace("over").refusal().reason()).isEqualTo(Reason.RATE_LIMITED);
        assertThat(simulation.trace("over").refusal().retryAfterMs()).isBetween(900L, 1_000L);
        assertThat(simulation.trace("refunded").isServed()).isTrue();
        simulation.handle(new Event.AllotmentChanged("a", 0, 1_000, 10, 0));
        simulation.arrive(simulation.request("none", "a", Rank.INTERACTIVE, 1_100, 10, 5_000));
        simulation.run(2_000);
        assertThat(simulation.trace("none").refusal())
                .isEqualTo(new Action.Refuse("none", Reason.RATE_LIMITED, Verdict.NOT_RUN, 60_000));
    }

    /**
     * Guards against 401 for a request that was authenticated and whose body arrived after its contract was deleted.
     */
    @Test
    void aRequestThatArrivesAfterItsContractWasDeletedIsRefusedAsWithdrawn() {
        CoreSimulation simulation = simulation(1, 1, 1);
        simulation.contracts.remove("a");
        simulation.configure();
        simulation.arrive(simulation.request("late", "a", Rank.INTERACTIVE, 10, 100, 30_000));
        simulation.run(100);
        assertThat(simulation.trace("late").refusal().reason()).isEqualTo(Reason.CONTRACT_WITHDRAWN);
        assertThat(simulation.trace("late").refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void aDeletedContractOrModelRefusesQueuedRequestsAndLetsRunningOnesFinish() {
        CoreSimulation simulation = simulation(1, 1, 1);
        simulation.arrive(simulation.request("running", "a", Rank.INTERACTIVE, 0, 100, 30_000));
        simulation.arrive(simulation.request("queued", "a", Rank.INTERACTIVE, 10, 100, 30_000));
        simulation.arrive(simulation.request("other", "b", Rank.INTERACTIVE, 10, 100, 30_000));
        simulation.run(100);
        simulation.contracts.remove("a");
        simulation.configure();
        assertThat(simulation.trace("queued").refusal().reason()).isEqualTo(Reason.CONTRACT_WITHDRAWN);
        simulation.models.clear();
        simulation.configure();
        assertThat(simulation.trace("other").refusal().reason()).isEqualTo(Reason.UNKNOWN_MODEL);
        simulation.run(5_000);
        assertThat(simulation.trace("running").isServed()).isTrue();
    }

    /** Guards against a stream that is broken off because its contract was deleted before it resumes. */
    @Test
    void aStreamThatWaitsToResumeOutlivesItsContract() {
        CoreSimulation simulation = streamThatWaitsToResume();
        simulation.contracts.clear();
        simulation.configure();
        simulation.run(20_000);
        assertThat(simulation.trace("r").end).isInstanceOf(Action.Complete.class);
    }

    /** Guards against a stream that is broken off because its model was deleted before it resumes. */
    @Test
    void aStreamThatWaitsToResumeOutlivesItsModel() {
        CoreSimulation simulation = streamThatWaitsToResume();
        simulation.models.clear();
        simulation.configure();
        simulation.run(20_000);
        assertThat(simulation.trace("r").end).isInstanceOf(Action.Complete.class);
    }

    /** Guards against a stream that is broken off because endpoints refuse several attempts to resume it. */
    @Test
    void aStreamThatWaitsToResumeOutlivesAttemptsThatAreRefused() {
        CoreSimulation simulation = streamThatWaitsToResume();
        var serving = simulation.endpointBehaviour;
        int refusedEpochs = 2 * RetrySettings.defaults().maxAttempts();
        simulation.endpointBehaviour = start -> start.epoch() <= refusedEpochs
                ? CoreSimulation.fails(start, 10, Reason.ENDPOINT_REFUSED, Verdict.NOT_RUN, start.resumeFromToken())
                : serving.apply(start);
        simulation.run(20_000);
        assertThat(simulation.trace("r").starts).hasSize(refusedEpochs + 1);
        assertThat(simulation.trace("r").end).isInstanceOf(Action.Complete.class);
    }

    /** Returns a simulation in which the stream "r" has lost its endpoint and waits for its next attempt. */
    private static CoreSimulation streamThatWaitsToResume() {
        CoreSimulation simulation = simulation(1, 2, 4);
        simulation.arrive(simulation.request("r", "a", Rank.INTERACTIVE, 0, 100, 30_000));
        simulation.at(400, new Event.EndpointRemoved("0-0", true));
        simulation.run(400);
        assertThat(simulation.core.state().waiting).hasSize(1);
        return simulation;
    }
}

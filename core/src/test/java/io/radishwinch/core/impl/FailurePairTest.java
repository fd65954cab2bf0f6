package io.radishwinch.core.impl;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Limits;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against failures that are handled separately but not in combination; runs every pair at the same time. */
class FailurePairTest {

    private static final long FROM_MS = 10_000;
    private static final long TO_MS = 20_000;
    private static final long END_MS = 40_000;
    private static final Limits UNLIMITED = new Limits(1e6, 1e9, 1_000_000);

    enum Failure {
        STAGE_DEATH,
        OUTAGE,
        BATCH_FLOOD,
        INTERACTIVE_FLOOD,
        CRASHING_REQUEST,
        DRAIN,
        SHORT_DEADLINES
    }

    static Stream<Set<Failure>> pairs() {
        return Stream.of(Failure.values()).flatMap(first -> Stream.of(Failure.values())
                .filter(second -> first.ordinal() < second.ordinal())
                .map(second -> EnumSet.of(first, second)));
    }

    private static void scheduleLoad(
            CoreSimulation simulation,
            String id,
            String caller,
            Rank rank,
            double perS,
            long[] period,
            long timeoutMs) {
        Random random = new Random(id.hashCode());
        int n = 0;
        for (double atMs = period[0]; atMs < period[1]; atMs -= Math.log(1 - random.nextDouble()) * 1_000 / perS) {
            simulation.arrive(simulation.request(id + n++, caller, rank, (long) atMs, 50, timeoutMs));
        }
    }

    private static void inject(CoreSimulation simulation, Failure failure) {
        long[] period = {FROM_MS, TO_MS};
        switch (failure) {
            case STAGE_DEATH -> {
                simulation.at(FROM_MS, new Event.EndpointRemoved("0-9", true));
                simulation.at(FROM_MS + 1_000, new Event.EndpointRemoved("1-9", false));
            }
            case BATCH_FLOOD -> scheduleLoad(simulation, "batch", "nightly", Rank.BATCH, 600, period, 8_000);
            case INTERACTIVE_FLOOD -> scheduleLoad(simulation, "flood", "clinic", Rank.INTERACTIVE, 600, period, 3_000);
            case CRASHING_REQUEST -> {
                for (int n = 0; n < 20; n++) {
                    simulation.arrive(simulation.request(
                            "p" + n, "poison", "clinic", Rank.INTERACTIVE, FROM_MS + n * 400L, 50, 5_000));
                }
            }
            case DRAIN -> simulation.at(TO_MS - 2_000, new Event.DrainStarted(TO_MS));
            case SHORT_DEADLINES -> scheduleLoad(simulation, "short", "small", Rank.INTERACTIVE, 20, period, 100);
            default -> {}
        }
    }

    @ParameterizedTest
    @MethodSource("pairs")
    void everyRequestEndsCorrectlyDuringTwoConcurrentFailures(Set<Failure> failures) {
        FakeDirectory directory = new FakeDirectory(2, 10, 4);
        CoreSimulation simulation = CoreSimulation.of(directory, CoreSettings.defaults());
        simulation
                .contract("small", 1, UNLIMITED, 0)
                .contract("clinic", 1, UNLIMITED, 0)
                .contract("nightly", 1, UNLIMITED, 400);
        simulation.endpointBehaviour = start -> {
            if (simulation.trace(start.requestId()).spec.fingerprint().equals("poison")) {
                return new CoreSimulation.Outcome(
                        50, new Event.EndpointRemoved(start.chain().firstStage().endpointId(), true));
            }
            boolean isOutage =
                    failures.contains(Failure.OUTAGE) && simulation.nowMs >= FROM_MS && simulation.nowMs < TO_MS;
            return isOutage
                    ? CoreSimulation.fails(start, 5, Reason.ENDPOINT_REFUSED, Verdict.NOT_RUN, start.resumeFromToken())
                    : simulation.finishes(start);
        };
        scheduleLoad(simulation, "s", "small", Rank.INTERACTIVE, 20, new long[] {0, END_MS}, 3_000);
        scheduleLoad(simulation, "b", "nightly", Rank.BATCH, 10, new long[] {0, END_MS}, 8_000);
        failures.forEach(failure -> inject(simulation, failure));
        simulation.run(END_MS + 20_000);

        assertThat(simulation.traces.values()).allMatch(t -> t.end != null);
        assertThat(simulation.core.state().requests).isEmpty();
        assertThat(simulation.traces.values().stream()
                        .filter(t -> t.end instanceof Action.Refuse
                                && !t.spec.fingerprint().equals("poison"))
                        .map(t -> t.refusal().reason()))
                .doesNotContain(Reason.QUARANTINED, Reason.INTERNAL_ERROR);
        int injectedLosses = failures.contains(Failure.STAGE_DEATH) ? 2 : 0;
        assertThat(directory.down.size() - injectedLosses).isLessThanOrEqualTo(2);
        if (!failures.contains(Failure.OUTAGE) && !failures.contains(Failure.DRAIN)) {
            assertServed(simulation, 0.99, 0, END_MS);
        } else if (!failures.contains(Failure.DRAIN)) {
            assertServed(simulation, 0.99, TO_MS, END_MS);
        }
        if (failures.contains(Failure.OUTAGE)) {
            long first = simulation.starts(FROM_MS, TO_MS, s -> s.epoch() == 1);
            assertThat(simulation.starts(FROM_MS, TO_MS, s -> s.epoch() > 1)).isLessThanOrEqualTo((long) (0.1 * first));
        }
    }

    /**
     * Asserts the served share of the small caller, which stays within its contract: 3 s deadline, 0.5 s service time.
     */
    private static void assertServed(CoreSimulation simulation, double share, long fromMs, long toMs) {
        List<CoreSimulation.Trace> small = simulation.traces.values().stream()
                .filter(t -> t.spec.requestId().matches("s\\d+"))
                .filter(t -> t.spec.arrivedAtMs() >= fromMs && t.spec.arrivedAtMs() < toMs)
                .toList();
        double served = small.stream().filter(CoreSimulation.Trace::isServed).count();
        assertThat(served / small.size()).isGreaterThanOrEqualTo(share);
    }
}

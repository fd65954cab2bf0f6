package io.radishwinch.core.impl;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.event.Event;
import io.radishwinch.core.impl.TableDecisionCore.QueueFactory;
import io.radishwinch.core.model.Limits;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.queue.FifoQueue;
import io.radishwinch.core.queue.RankedFairQueue;
import java.util.Random;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/**
 * Guards against floods that take the service of other ranks or callers.
 *
 * <p>Capacity: 40 slots, 10 ms for a token, answers of 20 to 100 tokens where 100 are reserved, so about 66 answers/s
 * or 4,600 tokens/s.
 */
class FloodTest {

    private static final long END_MS = 60_000;
    private static final int MAX_COMPLETION_TOKENS = 100;
    private static final Limits UNLIMITED = new Limits(1e6, 1e9, 1_000_000);

    private final Random random = new Random(7);
    private long nextId;

    private CoreSimulation simulation(QueueFactory queues) {
        FakeDirectory directory = new FakeDirectory(1, 10, 4);
        CoreSimulation bench = new CoreSimulation(
                directory, TableDecisionCore.create(CoreSettings.defaults(), directory, directory, queues));
        bench.endpointBehaviour = start -> {
            int tokens = 20 + new Random(start.requestId().hashCode()).nextInt(MAX_COMPLETION_TOKENS - 19);
            return new CoreSimulation.Outcome(
                    10L * (tokens - start.resumeFromToken()),
                    new Event.AttemptFinished(start.requestId(), start.epoch(), tokens));
        };
        bench.contract("clerk", 1, UNLIMITED, 0);
        bench.contract("clinic", 1, UNLIMITED, 0);
        bench.contract("renewals", 1, UNLIMITED, 550);
        bench.contract("nightly", 1, UNLIMITED, 550);
        for (int n = 0; n < 8; n++) {
            bench.contract("small" + n, 1, UNLIMITED, 0);
        }
        return bench;
    }

    /** Poisson arrivals of one caller. */
    private void scheduleLoad(CoreSimulation bench, String caller, Rank rank, double ratePerS, long timeoutMs) {
        double atMs = 0;
        while (true) {
            atMs -= Math.log(1 - random.nextDouble()) * 1_000 / ratePerS;
            if (atMs >= END_MS) {
                return;
            }
            bench.arrive(bench.request("r" + nextId++, caller, rank, (long) atMs, MAX_COMPLETION_TOKENS, timeoutMs));
        }
    }

    private static double servedShare(CoreSimulation bench, Predicate<RequestSpec> of) {
        double all = bench.traces.values().stream().filter(t -> of.test(t.spec)).count();
        return bench.traces.values().stream()
                        .filter(t -> of.test(t.spec) && t.isServed())
                        .count()
                / all;
    }

    /** Served tokens/s over the floor of 550 tokens/s, after the first 10 s. */
    private static double shareOfFloor(CoreSimulation bench, String caller) {
        double tokens = bench.traces.values().stream()
                .filter(t -> t.spec.caller().equals(caller) && t.isServed())
                .filter(t -> t.endedAtMs >= 10_000 && t.endedAtMs < END_MS)
                .mapToLong(t -> t.spec.promptTokens() + t.deliveredTokens)
                .sum();
        return tokens / (END_MS - 10_000) * 1_000 / 550;
    }

    private double interactiveInBatchFlood(QueueFactory queues) {
        CoreSimulation bench = simulation(queues);
        scheduleLoad(bench, "clerk", Rank.INTERACTIVE, 30, 4_000);
        scheduleLoad(bench, "nightly", Rank.BATCH, 660, 30_000);
        bench.run(END_MS + 60_000);
        assertThat(bench.traces.values()).allMatch(t -> t.end != null);
        return servedShare(bench, spec -> spec.rank() == Rank.INTERACTIVE);
    }

    private double[] interactiveFlood(QueueFactory queues) {
        CoreSimulation bench = simulation(queues);
        for (int n = 0; n < 8; n++) {
            scheduleLoad(bench, "small" + n, Rank.INTERACTIVE, 1.2, 4_000);
        }
        scheduleLoad(bench, "clinic", Rank.INTERACTIVE, 660, 4_000);
        scheduleLoad(bench, "renewals", Rank.ACCOUNT_ACTION, 9, 10_000);
        scheduleLoad(bench, "nightly", Rank.BATCH, 20, 30_000);
        bench.run(END_MS + 60_000);
        assertThat(bench.traces.values()).allMatch(t -> t.end != null);
        return new double[] {
            servedShare(bench, spec -> spec.caller().startsWith("small")),
            shareOfFloor(bench, "renewals"),
            shareOfFloor(bench, "nightly")
        };
    }

    @Test
    void aBatchFloodOfTenTimesCapacityLeavesInteractiveServiceIntact() {
        CoreSimulation undisturbed = simulation(RankedFairQueue::new);
        scheduleLoad(undisturbed, "clerk", Rank.INTERACTIVE, 30, 4_000);
        undisturbed.run(END_MS + 60_000);
        double alone = servedShare(undisturbed, spec -> true);
        double ranked = interactiveInBatchFlood(RankedFairQueue::new);
        double fifo = interactiveInBatchFlood((settings, entitlements, index) -> new FifoQueue(settings, index));
        System.out.printf("batch flood: alone %.4f ranked %.4f fifo %.4f%n", alone, ranked, fifo);
        assertThat(ranked).isGreaterThanOrEqualTo(0.99 * alone);
    }

    @Test
    void anInteractiveFloodOfOneCallerLeavesSmallCallersAndFloorsIntact() {
        double[] ranked = interactiveFlood(RankedFairQueue::new);
        double[] fifo = interactiveFlood((settings, entitlements, index) -> new FifoQueue(settings, index));
        System.out.printf(
                "interactive flood: small, account, batch: ranked %.4f %.4f %.4f fifo %.4f %.4f %.4f%n",
                ranked[0], ranked[1], ranked[2], fifo[0], fifo[1], fifo[2]);
        assertThat(ranked[0]).isGreaterThanOrEqualTo(0.99);
        assertThat(ranked[1]).isGreaterThanOrEqualTo(0.95);
        assertThat(ranked[2]).isGreaterThanOrEqualTo(0.95);
    }

    /** Interactive service in a flood of batch answers of 10 s that hold all slots. */
    private double interactiveInLongBatchFlood(long preemptAfterMs) {
        FakeDirectory directory = new FakeDirectory(1, 10, 4);
        CoreSimulation bench =
                CoreSimulation.of(directory, CoreSettings.defaults().withPreemptAfterMs(preemptAfterMs));
        bench.contract("clerk", 1, UNLIMITED, 0).contract("nightly", 1, UNLIMITED, 400);
        for (int n = 0; n < 40 * END_MS / 1_000; n++) {
            bench.arrive(bench.request("b" + n, "nightly", Rank.BATCH, n * 25L, 1_000, 60_000));
        }
        scheduleLoad(bench, "clerk", Rank.INTERACTIVE, 20, 4_000);
        bench.run(END_MS + 120_000);
        return servedShare(bench, spec -> spec.rank() == Rank.INTERACTIVE);
    }

    @Test
    void aFloodOfLongBatchAnswersLeavesInteractiveServiceIntact() {
        double preempting = interactiveInLongBatchFlood(CoreSettings.defaults().preemptAfterMs());
        double waiting = interactiveInLongBatchFlood(END_MS);
        System.out.printf("long batch flood: interactive %.4f, without preemption %.4f%n", preempting, waiting);
        assertThat(preempting).isGreaterThanOrEqualTo(0.99);
    }
}

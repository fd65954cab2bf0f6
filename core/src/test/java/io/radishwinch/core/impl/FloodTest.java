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
 * Guards against floods that starve other ranks or callers.
 *
 * <p>The capacity is 40 slots with 10 ms per token. Completions have 20 to 100 tokens, of which 100 are reserved, so
 * the throughput is about 66 completions/s or 4,600 tokens/s.
 */
class FloodTest {

    private static final long END_MS = 60_000;
    private static final int MAX_COMPLETION_TOKENS = 100;
    private static final Limits UNLIMITED = new Limits(1e6, 1e9, 1_000_000);

    private final Random random = new Random(7);
    private long nextId;

    private CoreSimulation simulation(QueueFactory queues) {
        FakeDirectory directory = new FakeDirectory(1, 10, 4);
        CoreSimulation simulation = new CoreSimulation(
                directory, TableDecisionCore.create(CoreSettings.defaults(), directory, directory, queues));
        simulation.endpointBehaviour = start -> {
            int tokens = 20 + new Random(start.requestId().hashCode()).nextInt(MAX_COMPLETION_TOKENS - 19);
            return new CoreSimulation.Outcome(
                    10L * (tokens - start.resumeFromToken()),
                    new Event.AttemptFinished(start.requestId(), start.epoch(), tokens));
        };
        simulation.contract("clerk", 1, UNLIMITED, 0);
        simulation.contract("clinic", 1, UNLIMITED, 0);
        simulation.contract("renewals", 1, UNLIMITED, 550);
        simulation.contract("nightly", 1, UNLIMITED, 550);
        for (int n = 0; n < 8; n++) {
            simulation.contract("small" + n, 1, UNLIMITED, 0);
        }
        return simulation;
    }

    /** Schedules Poisson arrivals of one caller. */
    private void scheduleLoad(CoreSimulation simulation, String caller, Rank rank, double ratePerS, long timeoutMs) {
        double atMs = 0;
        while (true) {
            atMs -= Math.log(1 - random.nextDouble()) * 1_000 / ratePerS;
            if (atMs >= END_MS) {
                return;
            }
            simulation.arrive(
                    simulation.request("r" + nextId++, caller, rank, (long) atMs, MAX_COMPLETION_TOKENS, timeoutMs));
        }
    }

    private static double servedShare(CoreSimulation simulation, Predicate<RequestSpec> of) {
        double all =
                simulation.traces.values().stream().filter(t -> of.test(t.spec)).count();
        return simulation.traces.values().stream()
                        .filter(t -> of.test(t.spec) && t.isServed())
                        .count()
                / all;
    }

    /** Returns the served tokens/s after the first 10 s, relative to the floor of 550 tokens/s. */
    private static double shareOfFloor(CoreSimulation simulation, String caller) {
        double tokens = simulation.traces.values().stream()
                .filter(t -> t.spec.caller().equals(caller) && t.isServed())
                .filter(t -> t.endedAtMs >= 10_000 && t.endedAtMs < END_MS)
                .mapToLong(t -> t.spec.promptTokens() + t.deliveredTokens)
                .sum();
        return tokens / (END_MS - 10_000) * 1_000 / 550;
    }

    private double interactiveInBatchFlood(QueueFactory queues) {
        CoreSimulation simulation = simulation(queues);
        scheduleLoad(simulation, "clerk", Rank.INTERACTIVE, 30, 4_000);
        scheduleLoad(simulation, "nightly", Rank.BATCH, 660, 30_000);
        simulation.run(END_MS + 60_000);
        assertThat(simulation.traces.values()).allMatch(t -> t.end != null);
        return servedShare(simulation, spec -> spec.rank() == Rank.INTERACTIVE);
    }

    private double[] interactiveFlood(QueueFactory queues) {
        CoreSimulation simulation = simulation(queues);
        for (int n = 0; n < 8; n++) {
            scheduleLoad(simulation, "small" + n, Rank.INTERACTIVE, 1.2, 4_000);
        }
        scheduleLoad(simulation, "clinic", Rank.INTERACTIVE, 660, 4_000);
        scheduleLoad(simulation, "renewals", Rank.ACCOUNT_ACTION, 9, 10_000);
        scheduleLoad(simulation, "nightly", Rank.BATCH, 20, 30_000);
        simulation.run(END_MS + 60_000);
        assertThat(simulation.traces.values()).allMatch(t -> t.end != null);
        return new double[] {
            servedShare(simulation, spec -> spec.caller().startsWith("small")),
            shareOfFloor(simulation, "renewals"),
            shareOfFloor(simulation, "nightly")
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

    /** Returns the served share of interactive requests while batch attempts of 10 s occupy all slots. */
    private double interactiveInLongBatchFlood(long preemptAfterMs) {
        FakeDirectory directory = new FakeDirectory(1, 10, 4);
        CoreSimulation simulation =
                CoreSimulation.of(directory, CoreSettings.defaults().withPreemptAfterMs(preemptAfterMs));
        simulation.contract("clerk", 1, UNLIMITED, 0).contract("nightly", 1, UNLIMITED, 400);
        for (int n = 0; n < 40 * END_MS / 1_000; n++) {
            simulation.arrive(simulation.request("b" + n, "nightly", Rank.BATCH, n * 25L, 1_000, 60_000));
        }
        scheduleLoad(simulation, "clerk", Rank.INTERACTIVE, 20, 4_000);
        simulation.run(END_MS + 120_000);
        return servedShare(simulation, spec -> spec.rank() == Rank.INTERACTIVE);
    }

    @Test
    void aFloodOfLongBatchCompletionsLeavesInteractiveServiceIntact() {
        double preempting = interactiveInLongBatchFlood(CoreSettings.defaults().preemptAfterMs());
        double waiting = interactiveInLongBatchFlood(END_MS);
        System.out.printf("long batch flood: interactive %.4f, without preemption %.4f%n", preempting, waiting);
        assertThat(preempting).isGreaterThanOrEqualTo(0.99);
    }
}

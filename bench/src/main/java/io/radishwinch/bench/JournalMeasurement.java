package io.radishwinch.bench;

import io.radishwinch.cluster.journal.Journal.Decision;
import io.radishwinch.cluster.journal.JournalListener;
import io.radishwinch.cluster.journal.JournalPeer;
import io.radishwinch.cluster.journal.JournalSettings;
import io.radishwinch.cluster.journal.JournalWriters;
import io.radishwinch.cluster.journal.ShardedJournal;
import io.radishwinch.cluster.platform.CallBudget;
import io.radishwinch.cluster.platform.CallPriority;
import io.radishwinch.cluster.platform.CallRates;
import io.radishwinch.cluster.platform.InMemoryPlatform;
import io.radishwinch.cluster.platform.PlatformListener;
import io.radishwinch.cluster.platform.ResilientPlatformClient;
import io.radishwinch.cluster.platform.VirtualScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Measures the journal's intents per platform write with 8 routers.
 *
 * <p>The call budgets of the routers add up to less than the call rates of the platform.
 */
final class JournalMeasurement {
    private static final int ROUTER_COUNT = 8;
    private static final int SHARD_COUNT = 16;
    private static final int OUTCOME_BYTES = 500;
    private static final long START_MS = 1_700_000_000_000L;
    private static final long EXECUTION_MS = 50;
    private static final long WARM_UP_MS = 5_000;
    private static final long MEASUREMENT_MS = 30_000;

    /** Offered load of non-repeatable requests, in requests/s. */
    private static final double[] OFFERED_REQUESTS_PER_S = {50, 1_000, 4_000};

    private final Random random = new Random(Simulations.SEED);
    private final VirtualScheduler scheduler = new VirtualScheduler(START_MS);
    private final InMemoryPlatform platform = new InMemoryPlatform(scheduler, random);
    private final List<ShardedJournal> journals = new ArrayList<>();
    private long begunCount;
    private long grantedCount;

    private JournalMeasurement() {
        platform.faults().setLatencyMs(2, 6);
        for (int i = 0; i < ROUTER_COUNT; i++) {
            journals.add(createJournal(i));
        }
    }

    private ShardedJournal createJournal(int routerIndex) {
        CallBudget budget =
                new CallBudget(scheduler, CallRates.share(ROUTER_COUNT, SHARD_COUNT, SHARD_COUNT / ROUTER_COUNT));
        ResilientPlatformClient client =
                new ResilientPlatformClient(platform, budget, scheduler, random, PlatformListener.NONE);
        JournalWriters writers = new JournalWriters() {
            @Override
            public Optional<JournalPeer> writerOf(int shard) {
                int writer = shard * ROUTER_COUNT / SHARD_COUNT;
                return writer == routerIndex
                        ? Optional.empty()
                        : Optional.of(request -> journals.get(writer).handle(request));
            }

            @Override
            public boolean isLive(String routerId) {
                return true;
            }
        };
        return new ShardedJournal(
                JournalSettings.of("router-" + routerIndex).withShardCount(SHARD_COUNT),
                client.withPriority(CallPriority.URGENT),
                client.withPriority(CallPriority.BACKGROUND),
                scheduler,
                random,
                writers,
                JournalListener.NONE);
    }

    private void beginRequest(int router) {
        ShardedJournal journal = journals.get(router);
        journal.begin("clinic", "key-" + begunCount++, new byte[32]).subscribe().with(decision -> {
            if (decision instanceof Decision.Granted grant) {
                grantedCount++;
                scheduler.schedule(EXECUTION_MS, () -> journal.complete(grant, new byte[OUTCOME_BYTES])
                        .subscribe()
                        .with(recorded -> {}));
            }
        });
    }

    private void offerLoad(double requestsPerS, long durationMs) {
        long endMs = scheduler.nowMs() + durationMs;
        double nextMs = scheduler.nowMs();
        while (nextMs < endMs) {
            nextMs += -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerS;
            scheduler.runUntil((long) nextMs);
            beginRequest(random.nextInt(ROUTER_COUNT));
        }
    }

    /**
     * Returns the granted intents/s, intents per write and writes/s at each load; the baseline is one write per record.
     */
    static List<Figure> run() {
        List<Figure> figures = new ArrayList<>();
        for (double offeredPerS : OFFERED_REQUESTS_PER_S) {
            JournalMeasurement measurement = new JournalMeasurement();
            measurement.offerLoad(offeredPerS, WARM_UP_MS);
            long writes = measurement.platform.writeCalls();
            long grants = measurement.grantedCount;
            measurement.offerLoad(offeredPerS, MEASUREMENT_MS);
            double grantedPerS = (measurement.grantedCount - grants) * 1_000.0 / MEASUREMENT_MS;
            double writesPerS = (measurement.platform.writeCalls() - writes) * 1_000.0 / MEASUREMENT_MS;
            String at = "-at-" + (long) offeredPerS + "/s";
            // Without batching, a request needs one write for its intent and one for its outcome.
            double unbatchedPerS = Math.min(offeredPerS, CallRates.FLEET_WRITES_PER_S / 2);
            figures.add(Figure.of(
                    "cluster.journal.intents" + at + " vs unbatched",
                    grantedPerS,
                    Figure.Target.NONE,
                    "intents/s",
                    unbatchedPerS));
            figures.add(Figure.of(
                    "cluster.journal.intents-per-write" + at + " vs unbatched",
                    grantedPerS / writesPerS,
                    Figure.Target.NONE,
                    "ratio",
                    0.5));
            figures.add(
                    Figure.of("cluster.journal.writes" + at, writesPerS, Targets.PLATFORM_WRITES_PER_S, "writes/s"));
        }
        return figures;
    }
}

package io.radishwinch.cluster.journal;

import io.radishwinch.cluster.journal.Journal.Decision;
import io.radishwinch.cluster.platform.CallBudget;
import io.radishwinch.cluster.platform.CallPriority;
import io.radishwinch.cluster.platform.CallRates;
import io.radishwinch.cluster.platform.InMemoryPlatform;
import io.radishwinch.cluster.platform.PlatformListener;
import io.radishwinch.cluster.platform.ResilientPlatformClient;
import io.radishwinch.cluster.platform.VirtualScheduler;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** Prints the figures of docs/CAPACITY.md, section "Journal and platform calls". Not a test. */
public final class JournalCapacity {
    private static final int SHARDS = 16;
    private static final int OUTCOME_BYTES = 500;
    private static final double[] LOADS_PER_S = {5, 50, 200, 1_000, 4_000, 8_000};
    private static final long RUN_MS = 50;
    private static final long WARM_UP_MS = 5_000;
    private static final long MEASURED_MS = 60_000;

    private final Random random = new Random(42);
    private final VirtualScheduler scheduler = new VirtualScheduler(Fleet.START_MS);
    private final InMemoryPlatform platform = new InMemoryPlatform(scheduler, random);
    private final List<ShardedJournal> journals = new ArrayList<>();
    private final List<CallBudget> budgets = new ArrayList<>();
    private final List<Long> grantMs = new ArrayList<>();
    private long begunCount;
    private long commits;
    private long records;
    private long recoveredKeys;
    private int deadRouter = -1;
    private int unresponsiveRouter = -1;
    private long refusedAtMs;

    private JournalCapacity(int routers) {
        platform.faults().setLatencyMs(2, 6);
        for (int i = 0; i < routers; i++) {
            journals.add(journal(i, routers));
        }
    }

    private ShardedJournal journal(int self, int routers) {
        int owned = 0;
        for (int shard = 0; shard < SHARDS; shard++) {
            owned += owner(shard, routers) == self ? 1 : 0;
        }
        CallBudget budget = new CallBudget(scheduler, CallRates.share(routers, SHARDS, owned));
        budgets.add(budget);
        ResilientPlatformClient client =
                new ResilientPlatformClient(platform, budget, scheduler, random, PlatformListener.NONE);
        JournalWriters writers = new JournalWriters() {
            @Override
            public Optional<JournalPeer> writerOf(int shard) {
                int owner = owner(shard, routers);
                return owner == self
                        ? Optional.empty()
                        : Optional.of(request -> owner == unresponsiveRouter
                                ? Uni.createFrom().nothing()
                                : journals.get(owner).handle(request));
            }

            @Override
            public boolean isLive(String routerId) {
                return true;
            }
        };
        JournalListener listener = new JournalListener() {
            @Override
            public void onCommit(int shard, int count, int bytes) {
                commits++;
                records += count;
            }

            @Override
            public void onRecovery(int shard, int keys, long durationMs) {
                recoveredKeys = keys;
            }
        };
        return new ShardedJournal(
                JournalSettings.of("router-" + self).withShardCount(SHARDS),
                client.withPriority(CallPriority.URGENT),
                client.withPriority(CallPriority.BACKGROUND),
                scheduler,
                random,
                writers,
                listener);
    }

    private int owner(int shard, int routers) {
        int owner = (int) ((long) shard * routers / SHARDS);
        return owner == deadRouter ? (owner + 1) % routers : owner;
    }

    private void begin(int router, String key) {
        long startMs = scheduler.nowMs();
        begunCount++;
        ShardedJournal journal = journals.get(router);
        journal.begin("clinic", key, new byte[32]).subscribe().with(decision -> {
            if (decision instanceof Decision.Granted grant) {
                grantMs.add(scheduler.nowMs() - startMs);
                scheduler.schedule(RUN_MS, () -> journal.complete(grant, new byte[OUTCOME_BYTES])
                        .subscribe()
                        .with(recorded -> {}));
            } else {
                refusedAtMs = scheduler.nowMs();
            }
        });
    }

    private void load(double requestsPerS, long durationMs) {
        long endMs = scheduler.nowMs() + durationMs;
        double nextMs = scheduler.nowMs();
        while (nextMs < endMs) {
            nextMs += -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerS;
            scheduler.runUntil((long) nextMs);
            begin(random.nextInt(journals.size()), "key-" + begunCount);
        }
    }

    private static void throughput(int routers, double requestsPerS) {
        JournalCapacity run = new JournalCapacity(routers);
        run.load(requestsPerS, WARM_UP_MS);
        run.grantMs.clear();
        long writes = run.platform.writeCalls();
        long reads = run.platform.readCalls();
        long askedBefore = run.begunCount;
        long commitsBefore = run.commits;
        long recordsBefore = run.records;
        run.load(requestsPerS, MEASURED_MS);
        double seconds = MEASURED_MS / 1_000.0;
        long[] latencies =
                run.grantMs.stream().mapToLong(Long::longValue).sorted().toArray();
        System.out.printf(
                "routers %d offered %.0f/s granted %.1f%% writes %.1f/s reads %.1f/s batches %.1f/s"
                        + " intents per platform write %.2f records per batch %.1f latency ms p50 %d p99 %d max %d%n",
                routers,
                requestsPerS,
                100.0 * latencies.length / (run.begunCount - askedBefore),
                (run.platform.writeCalls() - writes) / seconds,
                (run.platform.readCalls() - reads) / seconds,
                (run.commits - commitsBefore) / seconds,
                (double) latencies.length / (run.platform.writeCalls() - writes),
                (double) (run.records - recordsBefore) / (run.commits - commitsBefore),
                percentile(latencies, 0.5),
                percentile(latencies, 0.99),
                percentile(latencies, 1));
    }

    private static void recovery(int routers, double requestsPerS, long durationMs) {
        JournalCapacity run = new JournalCapacity(routers);
        run.load(requestsPerS, durationMs);
        run.scheduler.advance(70_000);
        run.unresponsiveRouter = run.owner(0, routers);
        run.grantMs.clear();
        run.begin(routers - 1, run.keyOfShard0("before-"));
        run.scheduler.advance(30_000);
        System.out.printf("dead writer not yet noticed: routers %d grant after ms %s%n", routers, run.grantMs);
        run.deadRouter = run.unresponsiveRouter;
        int successor = run.owner(0, routers);
        // The successor also gets the call budget of the shards of the failed router.
        run.budgets
                .get(successor)
                .setRates(CallRates.share(routers, SHARDS, routers < SHARDS ? 2 * SHARDS / routers : 1));
        run.grantMs.clear();
        long reads = run.platform.readCalls();
        run.begin(successor, run.keyOfShard0("after-"));
        run.scheduler.advance(30_000);
        System.out.printf(
                "recovery routers %d keys in shard %d reads %d first grant after ms %s%n",
                routers, run.recoveredKeys, run.platform.readCalls() - reads, run.grantMs);
    }

    private String keyOfShard0(String prefix) {
        int index = 0;
        while (Hash128.ofKey("clinic", prefix + index).shard(SHARDS) != 0) {
            index++;
        }
        return prefix + index;
    }

    private static void outage(int routers, double requestsPerS) {
        JournalCapacity run = new JournalCapacity(routers);
        run.load(requestsPerS, WARM_UP_MS);
        run.platform.faults().setDown(true);
        run.load(requestsPerS, MEASURED_MS);
        run.platform.faults().setDown(false);
        long returnedAtMs = run.scheduler.nowMs();
        long calls = run.platform.readCalls() + run.platform.writeCalls();
        run.load(requestsPerS, 1_000);
        long firstSecond = run.platform.readCalls() + run.platform.writeCalls() - calls;
        run.load(requestsPerS, MEASURED_MS);
        System.out.printf(
                "outage of 60 s: routers %d calls in the first second %d last refusal after return ms %d%n",
                routers, firstSecond, run.refusedAtMs - returnedAtMs);
    }

    private static void memory() {
        int keys = 200_000;
        ShardIndex[] holder = new ShardIndex[1];
        long before = usedBytes();
        ShardIndex index = new ShardIndex(JournalSettings.of("router-0"));
        for (int i = 0; i < keys; i++) {
            Hash128 key = Hash128.ofKey("clinic", "key-" + i);
            String nonce = "dc1-router-12-1700000000000#" + Integer.toHexString(i);
            index.apply(
                    i + 1, new Batch(Fleet.START_MS, List.of(new JournalRecord.Intent(key, new Hash128(i, i), nonce))));
        }
        holder[0] = index;
        System.out.printf(
                "memory per intent %d bytes (%d keys, without outcome)%n",
                (usedBytes() - before) / keys, holder[0].size());
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static long percentile(long[] sorted, double share) {
        return sorted.length == 0 ? -1 : sorted[(int) Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
    }

    /** Runs all measurements, or those for the given numbers of routers. */
    public static void main(String[] arguments) {
        memory();
        int[] fleets = arguments.length == 0
                ? new int[] {8, 360}
                : Arrays.stream(arguments).mapToInt(Integer::parseInt).toArray();
        for (int routers : fleets) {
            for (double requestsPerS : LOADS_PER_S) {
                throughput(routers, requestsPerS);
            }
            outage(routers, 50);
            recovery(routers, 50, 60_000);
            recovery(routers, 500, 300_000);
        }
    }
}

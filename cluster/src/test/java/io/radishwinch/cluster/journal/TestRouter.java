package io.radishwinch.cluster.journal;

import io.radishwinch.cluster.journal.JournalPeer.Reply;
import io.radishwinch.cluster.platform.CallBudget;
import io.radishwinch.cluster.platform.CallRates;
import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformListener;
import io.radishwinch.cluster.platform.ResilientPlatformClient;
import io.radishwinch.cluster.platform.Scheduler;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Router process that can crash or be paused between any two of its tasks: everything that reaches its journal, timers
 * and responses, goes through {@link #run}.
 */
final class TestRouter {
    final String id;
    final ShardedJournal journal;
    final List<String> events = new ArrayList<>();
    boolean hasCrashed;
    boolean losesPeerReplies;
    boolean isDisconnectedFromPeers;

    private final Fleet fleet;
    private final List<Runnable> deferredTasks = new ArrayList<>();
    private final List<Runnable> crashTasks = new ArrayList<>();
    private boolean isPaused;

    TestRouter(Fleet fleet, String id, JournalSettings template) {
        this.fleet = fleet;
        this.id = id;
        JournalSettings settings = new JournalSettings(
                id,
                template.shardCount(),
                template.commitIntervalMs(),
                template.stepTimeoutMs(),
                template.peerTimeoutMs(),
                template.retentionMs(),
                template.maxBatchRecords(),
                template.maxQueuedSteps(),
                template.compactAfterBatches(),
                template.maxKeysPerShard(),
                template.maxCachedOutcomeBytes());
        Scheduler scheduler = new GatedScheduler();
        PlatformClient platform = new GatedPlatform();
        if (fleet.isResilient) {
            CallBudget budget = new CallBudget(scheduler, new CallRates(50, 50));
            platform = new ResilientPlatformClient(platform, budget, scheduler, fleet.random, PlatformListener.NONE);
        }
        this.journal = new ShardedJournal(
                settings, platform, platform, scheduler, fleet.random, new Writers(), new Counters());
    }

    void crash() {
        hasCrashed = true;
        deferredTasks.clear();
        crashTasks.forEach(Runnable::run);
    }

    void onCrash(Runnable task) {
        crashTasks.add(task);
    }

    /** Runs a task of this process after a delay, unless the process crashes before. */
    void after(long delayMs, Runnable task) {
        fleet.scheduler.schedule(delayMs, () -> run(task));
    }

    void pause() {
        isPaused = true;
    }

    void resume() {
        isPaused = false;
        List<Runnable> tasks = List.copyOf(deferredTasks);
        deferredTasks.clear();
        tasks.forEach(this::run);
    }

    void run(Runnable task) {
        if (isPaused && !hasCrashed) {
            deferredTasks.add(task);
        } else if (!hasCrashed) {
            task.run();
        }
    }

    long count(String event) {
        return events.stream().filter(event::equals).count();
    }

    private <T> Uni<T> gated(Uni<T> uni) {
        return Uni.createFrom().emitter((UniEmitter<? super T> emitter) -> uni.subscribe()
                .with(item -> run(() -> emitter.complete(item)), failure -> run(() -> emitter.fail(failure))));
    }

    private final class GatedScheduler implements Scheduler {
        @Override
        public long nowMs() {
            return fleet.scheduler.nowMs();
        }

        @Override
        public Timer schedule(long delayMs, Runnable task) {
            return fleet.scheduler.schedule(delayMs, () -> run(task));
        }
    }

    private final class Writers implements JournalWriters {
        @Override
        public Optional<JournalPeer> writerOf(int shard) {
            return fleet.writer().filter(writer -> writer != TestRouter.this).map(writer -> request -> {
                if (isDisconnectedFromPeers || writer.isDisconnectedFromPeers || writer.hasCrashed) {
                    return Uni.createFrom().<Reply>nothing();
                }
                return gated(Uni.createFrom()
                        .emitter(emitter -> fleet.scheduler.schedule(
                                1,
                                () -> writer.run(() -> writer.journal
                                        .handle(request)
                                        .subscribe()
                                        .with(reply -> {
                                            if (!writer.losesPeerReplies) {
                                                fleet.scheduler.schedule(1, () -> emitter.complete(reply));
                                            }
                                        })))));
            });
        }

        @Override
        public boolean isLive(String routerId) {
            return fleet.routers.stream().anyMatch(router -> router.id.equals(routerId) && !router.hasCrashed);
        }
    }

    private final class Counters implements JournalListener {
        @Override
        public void onCommit(int shard, int records, int bytes) {
            events.add("commit");
        }

        @Override
        public void onConflict(int shard) {
            events.add("conflict");
        }

        @Override
        public void onVoidBatch(int shard) {
            events.add("void");
        }

        @Override
        public void onCompaction(int shard, int batches, int segments) {
            events.add("compaction");
        }

        @Override
        public void onRecovery(int shard, int keys, long durationMs) {
            events.add("recovery");
        }

        @Override
        public void onPeerFailure(int shard) {
            events.add("peer-failure");
        }
    }

    /** Calls in flight reach the platform even if the router crashes; responses reach only a running router. */
    private final class GatedPlatform implements PlatformClient {
        @Override
        public Uni<Optional<StoredObject>> get(String key) {
            return gated(fleet.platform.get(key));
        }

        @Override
        public Uni<Page> list(String prefix, String afterKey, int limit) {
            return gated(fleet.platform.list(prefix, afterKey, limit));
        }

        @Override
        public Uni<PutResult> put(String key, long expectedVersion, byte[] value, String nonce) {
            return gated(fleet.platform.put(key, expectedVersion, value, nonce));
        }

        @Override
        public Uni<PutResult> delete(String key, long expectedVersion, String nonce) {
            return gated(fleet.platform.delete(key, expectedVersion, nonce));
        }

        @Override
        public Multi<Change> watch(String prefix, long fromVersion) {
            return fleet.platform.watch(prefix, fromVersion);
        }

        @Override
        public Uni<List<Vm>> vms() {
            return fleet.platform.vms();
        }

        @Override
        public Uni<Void> ping(long timeoutMs) {
            return gated(fleet.platform.ping(timeoutMs));
        }
    }
}

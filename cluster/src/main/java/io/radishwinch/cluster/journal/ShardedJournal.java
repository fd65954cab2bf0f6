package io.radishwinch.cluster.journal;

import io.radishwinch.cluster.journal.JournalPeer.Reply;
import io.radishwinch.cluster.journal.JournalPeer.Request;
import io.radishwinch.cluster.journal.JournalPeer.Result;
import io.radishwinch.cluster.journal.JournalPeer.Step;
import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.RestoreDetector;
import io.radishwinch.cluster.platform.Scheduler;
import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Journal whose shards are logs of batches on the platform, see {@code docs/decisions/0010-at-most-once-journal.md}.
 *
 * <p>Steps are sent to the preferred writer of their shard. If it does not respond, this router writes the shard
 * itself. The nonce of the grant, created by the router that will run the request, identifies the step on both paths.
 * Not thread-safe: all calls, timers and replies run on the control thread.
 */
public final class ShardedJournal implements Journal {
    private static final long MAINTENANCE_INTERVAL_MS = Duration.ofMinutes(1).toMillis();
    private static final long IDLE_SHARD_MS = Duration.ofMinutes(10).toMillis();
    private static final long INACTIVE_SHARD_MS = Duration.ofHours(1).toMillis();
    private static final int MAX_KEY_BYTES = 255;

    /**
     * Time after a restore of the store was noticed in which no key is granted, in ms. Meanwhile the routers that have
     * a shard in memory notice the restore as well and write again what it has lost.
     */
    static final long RESTORE_SETTLING_MS = 15_000;

    private final JournalSettings settings;
    private final Scheduler scheduler;
    private final JournalWriters writers;
    private final JournalListener listener;
    private final NonceSource nonces;
    private final ShardLog[] shards;
    private final LocalOutcomeCache localOutcomes;
    /** Nonces of the grants of this router that are requested or in use. */
    private final Set<String> activeNonces = new HashSet<>();

    private final RestoreDetector restoreDetector = new RestoreDetector();
    private long settlingUntilMs = Long.MIN_VALUE;
    private Scheduler.Timer maintenanceTimer;

    /**
     * Creates a journal and starts its maintenance timer.
     *
     * @param platform client for reads and writes that a request waits for
     * @param backgroundPlatform client for compaction, usually the same with a lower priority
     * @param scheduler clock and timers of the control thread
     * @param random source of jitter
     * @param writers selects the preferred writers
     * @param listener receives the events for counters
     */
    public ShardedJournal(
            JournalSettings settings,
            PlatformClient platform,
            PlatformClient backgroundPlatform,
            Scheduler scheduler,
            RandomGenerator random,
            JournalWriters writers,
            JournalListener listener) {
        this.settings = settings;
        this.scheduler = scheduler;
        this.writers = writers;
        this.listener = listener;
        this.nonces = new NonceSource(settings.routerId(), random);
        this.localOutcomes = new LocalOutcomeCache(settings.retentionMs());
        ShardLog.RestoreObserver restores = new ShardLog.RestoreObserver() {
            @Override
            public void observeEra(long seenEra) {
                ShardedJournal.this.observeEra(seenEra);
            }

            @Override
            public boolean isSettling() {
                return scheduler.nowMs() < settlingUntilMs;
            }
        };
        this.shards = new ShardLog[settings.shardCount()];
        for (int shard = 0; shard < shards.length; shard++) {
            shards[shard] = new ShardLog(
                    shard,
                    settings,
                    platform,
                    backgroundPlatform,
                    scheduler,
                    nonces,
                    this::isInUse,
                    restores,
                    listener);
        }
        scheduleMaintenance();
    }

    @Override
    public Uni<Decision> begin(String caller, String idempotencyKey, byte[] fingerprint) {
        return Uni.createFrom()
                .<Decision>emitter(emitter -> begin(caller, idempotencyKey, fingerprint, emitter::complete))
                .memoize()
                .indefinitely();
    }

    private void begin(String caller, String idempotencyKey, byte[] fingerprint, Consumer<Decision> done) {
        if (idempotencyKey.getBytes(StandardCharsets.UTF_8).length > MAX_KEY_BYTES) {
            done.accept(new Decision.Unavailable());
            return;
        }
        Hash128 key = Hash128.ofKey(caller, idempotencyKey);
        Optional<Decision> known = localOutcomes.find(key, Hash128.ofFingerprint(fingerprint), scheduler.nowMs());
        if (known.isPresent()) {
            done.accept(known.get());
            return;
        }
        String nonce = nonces.next();
        activeNonces.add(nonce);
        Request request = new Request(Step.OPEN, caller, idempotencyKey, fingerprint, nonce, Optional.empty());
        submit(request, key, (reply, isInDoubt) -> {
            if (reply.result() != Result.GRANTED) {
                activeNonces.remove(nonce);
                if (isInDoubt) {
                    // An intent may exist or may still be written. No byte was sent under it, so its grant is released.
                    submit(abandonOf(request), key, (ignored, isStillInDoubt) -> {});
                }
            }
            done.accept(decision(request, reply));
        });
    }

    @Override
    public Uni<Boolean> complete(Decision.Granted grant, byte[] outcome) {
        return Uni.createFrom()
                .<Boolean>emitter(emitter -> {
                    Hash128 key = Hash128.ofKey(grant.caller(), grant.idempotencyKey());
                    boolean isKept = outcome.length <= JournalSettings.MAX_OUTCOME_BYTES;
                    // Of an outcome above the limit, the journal records only that the request ran.
                    if (isKept) {
                        localOutcomes.add(key, Hash128.ofFingerprint(grant.fingerprint()), outcome, scheduler.nowMs());
                    }
                    Request request = new Request(
                            Step.COMPLETE,
                            grant.caller(),
                            grant.idempotencyKey(),
                            grant.fingerprint(),
                            grant.nonce(),
                            isKept ? Optional.of(outcome) : Optional.empty());
                    activeNonces.remove(grant.nonce());
                    submit(
                            request,
                            key,
                            (reply, isInDoubt) -> emitter.complete(isKept && reply.result() == Result.RECORDED));
                })
                .memoize()
                .indefinitely();
    }

    @Override
    public Uni<Boolean> abandon(Decision.Granted grant) {
        return Uni.createFrom()
                .<Boolean>emitter(emitter -> {
                    activeNonces.remove(grant.nonce());
                    submit(
                            new Request(
                                    Step.ABANDON,
                                    grant.caller(),
                                    grant.idempotencyKey(),
                                    grant.fingerprint(),
                                    grant.nonce(),
                                    Optional.empty()),
                            Hash128.ofKey(grant.caller(), grant.idempotencyKey()),
                            (reply, isInDoubt) -> emitter.complete(reply.result() == Result.RECORDED));
                })
                .memoize()
                .indefinitely();
    }

    /**
     * Handles a request of another router for which this router is the preferred writer. The request is not forwarded.
     *
     * @return the reply; never fails
     */
    public Uni<Reply> handle(Request request) {
        if (!NonceSource.isWellFormed(request.grantNonce())) {
            return Uni.createFrom().item(Reply.of(Result.UNAVAILABLE, ""));
        }
        return Uni.createFrom().emitter(emitter -> {
            Hash128 key = Hash128.ofKey(request.caller(), request.idempotencyKey());
            shards[key.shard(shards.length)].submit(request, key, emitter::complete);
        });
    }

    /**
     * Observes the era of the store. If the store was restored from an older copy, the shards in memory are read again,
     * what the store has lost of them is written again, and no key is granted for {@value #RESTORE_SETTLING_MS} ms.
     */
    public void observeEra(long seenEra) {
        if (restoreDetector.observe(seenEra)) {
            settlingUntilMs = scheduler.nowMs() + RESTORE_SETTLING_MS;
            for (ShardLog shard : shards) {
                shard.reload();
            }
        }
    }

    /** Stops the maintenance timer. Running steps still complete. */
    public void close() {
        maintenanceTimer.cancel();
    }

    private void scheduleMaintenance() {
        maintenanceTimer = scheduler.schedule(MAINTENANCE_INTERVAL_MS, () -> {
            for (int shard = 0; shard < shards.length; shard++) {
                if (writers.writerOf(shard).isEmpty()) {
                    shards[shard].advanceIfInactive(INACTIVE_SHARD_MS);
                } else {
                    shards[shard].unloadIfIdle(IDLE_SHARD_MS);
                }
            }
            scheduleMaintenance();
        });
    }

    /**
     * Sends a step to the preferred writer. Handles it locally if the preferred writer is this router, is unknown or
     * fails.
     */
    private void submit(Request request, Hash128 key, StepCallback callback) {
        int shard = key.shard(shards.length);
        Optional<JournalPeer> peer = writers.writerOf(shard);
        if (peer.isEmpty()) {
            submitLocally(request, key, false, callback);
            return;
        }
        AtomicBoolean decided = new AtomicBoolean();
        Consumer<Boolean> writeDirectly = isPeerInDoubt -> {
            if (decided.compareAndSet(false, true)) {
                listener.onPeerFailure(shard);
                submitLocally(request, key, isPeerInDoubt, callback);
            }
        };
        Scheduler.Timer timeout = scheduler.schedule(settings.peerTimeoutMs(), () -> writeDirectly.accept(true));
        Uni.createFrom()
                .deferred(() -> peer.get().call(request))
                .subscribe()
                .with(
                        reply -> {
                            timeout.cancel();
                            if (reply.result() == Result.UNAVAILABLE) {
                                writeDirectly.accept(reply.isInDoubt());
                            } else if (decided.compareAndSet(false, true)) {
                                callback.accept(reply, false);
                            }
                        },
                        failure -> {
                            timeout.cancel();
                            writeDirectly.accept(true);
                        });
    }

    private void submitLocally(Request request, Hash128 key, boolean isPeerInDoubt, StepCallback callback) {
        shards[key.shard(shards.length)].submit(
                request, key, reply -> callback.accept(reply, isPeerInDoubt || reply.isInDoubt()));
    }

    /** Receives the reply to a step. */
    private interface StepCallback {
        /**
         * Handles the reply.
         *
         * @param isInDoubt whether a record of the step may exist or may still be written, whatever the reply says
         */
        void accept(Reply reply, boolean isInDoubt);
    }

    private static Request abandonOf(Request open) {
        return new Request(
                Step.ABANDON,
                open.caller(),
                open.idempotencyKey(),
                open.fingerprint(),
                open.grantNonce(),
                Optional.empty());
    }

    private static Decision decision(Request request, Reply reply) {
        return switch (reply.result()) {
            case GRANTED ->
                new Decision.Granted(
                        request.caller(), request.idempotencyKey(), request.fingerprint(), request.grantNonce());
            case REPLAY -> new Decision.Replay(reply.outcome().orElseThrow());
            case IN_PROGRESS -> new Decision.InProgress();
            case OUTCOME_UNKNOWN -> new Decision.OutcomeUnknown();
            case KEY_REUSED -> new Decision.KeyReused();
            case UNAVAILABLE, RECORDED -> new Decision.Unavailable();
        };
    }

    private boolean isInUse(String nonce) {
        String routerId = NonceSource.routerOf(nonce);
        return routerId.equals(settings.routerId()) ? activeNonces.contains(nonce) : writers.isLive(routerId);
    }
}

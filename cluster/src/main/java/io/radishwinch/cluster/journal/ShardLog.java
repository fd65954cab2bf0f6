package io.radishwinch.cluster.journal;

import io.radishwinch.cluster.journal.JournalPeer.Reply;
import io.radishwinch.cluster.journal.JournalPeer.Request;
import io.radishwinch.cluster.journal.JournalPeer.Result;
import io.radishwinch.cluster.journal.JournalPeer.Step;
import io.radishwinch.cluster.journal.ShardIndex.Evaluation;
import io.radishwinch.cluster.journal.ShardStore.StoredBatch;
import io.radishwinch.cluster.journal.ShardStore.Tail;
import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformClient.PutResult;
import io.radishwinch.cluster.platform.PlatformException;
import io.radishwinch.cluster.platform.PlatformException.Kind;
import io.radishwinch.cluster.platform.Scheduler;
import io.radishwinch.cluster.platform.StoreVersion;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * View of one router on the log of one shard, and its attempts to append batches.
 *
 * <p>At most one read or create runs at a time. A batch counts only after it was created and a later read showed that
 * its sequence number is above the floor of the manifest. Otherwise a writer that was paused during a compaction could
 * create a batch under a sequence number whose batch had been deleted.
 */
final class ShardLog {
    private static final System.Logger LOGGER = System.getLogger(ShardLog.class.getName());
    private static final long INITIAL_BACKOFF_MS = 50;
    /** Limits the time for which requests are still refused after the platform is available again. */
    private static final long MAX_BACKOFF_MS = 1_000;

    private static final int FAILURES_BEFORE_FAST_REFUSAL = 2;
    private static final int MAX_INCONSISTENT_READS = 10;
    private static final long REREAD_DELAY_MS = 10;
    private static final int MAX_COMMIT_BURST = 4;
    private static final long MAX_QUEUED_BYTES = 4_000_000;

    private final int shard;
    private final JournalSettings settings;
    private final Scheduler scheduler;
    private final ShardStore store;
    private final NonceSource nonces;
    private final ShardIndex.ActiveGrants activeGrants;
    private final JournalListener listener;
    private final ShardCompactor compactor;
    private final RestoreObserver restores;

    private final Set<PendingStep> queue = new LinkedHashSet<>();
    private long queuedBytes;
    private boolean isOperationRunning;
    private Scheduler.Timer wakeUpTimer;
    private long nextOperationMs;
    private long commitAllowanceMs;
    private long backoffMs = INITIAL_BACKOFF_MS;
    private int failures;
    private int inconsistentReads;
    private boolean isEmptyBatchRequested;
    private long lastUsedMs;

    private boolean isLoaded;
    private ShardIndex index;
    private long nextSequence = 1;
    private long minStoreVersion;
    private Manifest manifest = Manifest.EMPTY;
    private long manifestVersion = PlatformClient.ABSENT;
    /** Era of the store from which the shard was read. */
    private long era;

    private boolean isReloadRequested;
    private final LostRecords lostRecords = new LostRecords();
    /** Versions of the batches that exist on the platform, by sequence number. */
    private TreeMap<Long, Long> batchVersions = new TreeMap<>();

    /** What the shards of a journal tell each other of restores of the store. */
    interface RestoreObserver {

        /** Called with the era of the store that a read of a shard shows. */
        void observeEra(long era);

        /** Returns whether records that a restore has lost may not be written again yet, so that no key is granted. */
        boolean isSettling();
    }

    ShardLog(
            int shard,
            JournalSettings settings,
            PlatformClient platform,
            PlatformClient backgroundPlatform,
            Scheduler scheduler,
            NonceSource nonces,
            ShardIndex.ActiveGrants activeGrants,
            RestoreObserver restores,
            JournalListener listener) {
        this.shard = shard;
        this.settings = settings;
        this.scheduler = scheduler;
        this.store = new ShardStore(platform, scheduler, shard);
        this.nonces = nonces;
        this.activeGrants = activeGrants;
        this.restores = restores;
        this.listener = listener;
        this.index = new ShardIndex(settings);
        this.compactor =
                new ShardCompactor(this, new ShardStore(backgroundPlatform, scheduler, shard), settings, nonces);
    }

    /** Handles a step. The reply is sent exactly once. */
    void submit(Request request, Hash128 key, Consumer<Reply> done) {
        lastUsedMs = scheduler.nowMs();
        PendingStep step = new PendingStep(request, key, done);
        if (isLoaded && replyFromMemory(step)) {
            return;
        }
        if (request.step() == Step.OPEN && failures >= FAILURES_BEFORE_FAST_REFUSAL && nextOperationMs > lastUsedMs) {
            step.reply(refusal(step));
            return;
        }
        if (queue.size() >= settings.maxQueuedSteps() || queuedBytes + step.sizeBytes() > MAX_QUEUED_BYTES) {
            listener.onLimitExceeded(shard);
            step.reply(Reply.of(Result.UNAVAILABLE, ""));
            return;
        }
        queue.add(step);
        queuedBytes += step.sizeBytes();
        scheduler.schedule(settings.stepTimeoutMs(), () -> onStepTimeout(step));
        processQueue();
    }

    /** Replies to a step after its timeout. A step that requests a grant is also removed from the queue. */
    private void onStepTimeout(PendingStep step) {
        if (!step.hasReplied()) {
            step.reply(Reply.of(Result.UNAVAILABLE, step.mayBeRecorded() ? step.nonce() : ""));
            if (step.step() == Step.OPEN) {
                remove(step);
            }
        }
    }

    private void remove(PendingStep step) {
        if (queue.remove(step)) {
            queuedBytes -= step.sizeBytes();
        }
    }

    /**
     * Replies to a step whose result is final and returns whether it was. Outcomes in memory are replayed even while
     * the platform is unavailable.
     */
    private boolean replyFromMemory(PendingStep step) {
        Evaluation evaluation = index.evaluate(step.request(), step.key(), nextLogMs(), activeGrants);
        if (evaluation instanceof Evaluation.Decided decided) {
            replyWithResult(step, decided.result());
            return true;
        }
        return false;
    }

    private void replyWithResult(PendingStep step, Result result) {
        if (result != Result.REPLAY) {
            step.reply(Reply.of(result, result == Result.UNAVAILABLE ? "" : step.nonce()));
            return;
        }
        KeyEntry entry = index.liveEntry(step.key(), nextLogMs());
        if (entry.outcome() != null) {
            step.reply(new Reply(Result.REPLAY, step.nonce(), Optional.of(entry.outcome())));
            return;
        }
        Runnable lost = () -> step.reply(Reply.of(Result.OUTCOME_UNKNOWN, step.nonce()));
        Optional<Manifest.Segment> segment = manifest.segments().stream()
                .filter(candidate ->
                        candidate.afterSequence() < entry.sequence() && entry.sequence() <= candidate.toSequence())
                .findFirst();
        if (segment.isEmpty()) {
            lost.run();
            return;
        }
        store.readSegment(segment.get())
                .map(object -> object.map(
                        found -> JournalCodec.decodeSegment(found.value()).get(step.key())))
                .subscribe()
                .with(
                        found -> found.filter(stored -> stored.outcome() != null)
                                .ifPresentOrElse(
                                        stored -> step.reply(
                                                new Reply(Result.REPLAY, step.nonce(), Optional.of(stored.outcome()))),
                                        lost),
                        failure -> lost.run());
    }

    private long nextLogMs() {
        return Math.max(scheduler.nowMs(), index.logMs());
    }

    /** Starts the next operation that queued steps need, unless one is running. */
    private void processQueue() {
        boolean hasWork = !queue.isEmpty() || isEmptyBatchRequested || isReloadRequested || !lostRecords.isEmpty();
        if (isOperationRunning || !hasWork) {
            return;
        }
        long waitMs = nextOperationMs - scheduler.nowMs();
        if (waitMs > 0) {
            scheduleWakeUp(waitMs);
            return;
        }
        isOperationRunning = true;
        if (isReloadRequested && isLoaded) {
            prepareReload();
            unload();
        }
        isReloadRequested = false;
        if (isLoaded) {
            commit();
        } else {
            load();
        }
    }

    private void scheduleWakeUp(long delayMs) {
        if (wakeUpTimer != null) {
            wakeUpTimer.cancel();
        }
        wakeUpTimer = scheduler.schedule(delayMs, this::processQueue);
    }

    private void finishOperation() {
        isOperationRunning = false;
        processQueue();
    }

    /** Replies to the decided steps and creates one batch with the records of the others. */
    private void commit() {
        long logMs = nextLogMs();
        if (!lostRecords.isEmpty()) {
            List<JournalRecord> missing =
                    lostRecords.missingFrom(index, settings.maxBatchRecords(), JournalSettings.MAX_BATCH_BYTES);
            if (!missing.isEmpty()) {
                create(new Batch(logMs, missing), List.of());
                return;
            }
        }
        List<PendingStep> batchSteps = new ArrayList<>();
        List<JournalRecord> records = new ArrayList<>();
        Set<Hash128> keys = new HashSet<>();
        boolean needsCatchUp = false;
        int sizeBytes = 0;
        for (PendingStep step : List.copyOf(queue)) {
            if (keys.contains(step.key())) {
                continue;
            }
            Evaluation evaluation = index.evaluate(step.request(), step.key(), logMs, activeGrants);
            if (evaluation instanceof Evaluation.Provisional && step.step() == Step.COMPLETE && !step.isCommitted()) {
                // A stale read may not contain the intent yet. Only a create is certain to follow it in the log.
                evaluation = new Evaluation.Write(ShardIndex.outcomeRecord(step.key(), step.request()));
            }
            if (evaluation instanceof Evaluation.Decided decided) {
                remove(step);
                replyWithResult(step, decided.result());
            } else if (evaluation instanceof Evaluation.Provisional provisional) {
                if (step.isFresh()) {
                    remove(step);
                    replyWithResult(step, provisional.result());
                } else {
                    needsCatchUp = true;
                }
            } else if (step.step() == Step.OPEN && restores.isSettling()) {
                remove(step);
                step.reply(refusal(step));
            } else if (evaluation instanceof Evaluation.Write write) {
                int recordBytes = write.record().sizeBytes();
                if (records.size() < settings.maxBatchRecords()
                        && sizeBytes + recordBytes <= JournalSettings.MAX_BATCH_BYTES) {
                    keys.add(step.key());
                    batchSteps.add(step);
                    records.add(write.record());
                    sizeBytes += recordBytes;
                }
            }
        }
        if (!records.isEmpty() || (isEmptyBatchRequested && queue.isEmpty())) {
            create(new Batch(logMs, records), batchSteps);
        } else if (needsCatchUp) {
            catchUp();
        } else {
            finishOperation();
        }
    }

    private void create(Batch batch, List<PendingStep> batchSteps) {
        long sequence = nextSequence;
        String nonce = nonces.next();
        byte[] value = JournalCodec.encodeBatch(batch);
        List<PendingStep> unsent =
                batchSteps.stream().filter(step -> !step.mayBeRecorded()).toList();
        batchSteps.forEach(step -> step.setSentSequence(sequence));
        reserveCommitSlot();
        store.createBatch(sequence, value, nonce)
                .subscribe()
                .with(
                        result -> {
                            if (result instanceof PutResult.Written written) {
                                verifyBatch(sequence, batch, batchSteps, value.length, written.version());
                            } else if (result instanceof PutResult.Conflict conflict) {
                                conflict.current()
                                        .ifPresent(current ->
                                                minStoreVersion = Math.max(minStoreVersion, current.version()));
                                listener.onConflict(shard);
                                unsent.forEach(step -> step.setSentSequence(0));
                                nextOperationMs = scheduler.nowMs();
                                catchUp();
                            }
                        },
                        failure -> onCreateFailed(unsent, failure));
    }

    /** Keeps the commit interval on average and allows short bursts, such as an intent followed by its outcome. */
    private void reserveCommitSlot() {
        long intervalMs = settings.commitIntervalMs();
        commitAllowanceMs = Math.max(commitAllowanceMs, scheduler.nowMs()) + intervalMs;
        nextOperationMs = commitAllowanceMs - MAX_COMMIT_BURST * intervalMs;
    }

    /**
     * Reads the log after the new batch and accepts the batch if its sequence number was not used and deleted before.
     */
    private void verifyBatch(long sequence, Batch batch, List<PendingStep> batchSteps, int bytes, long version) {
        minStoreVersion = Math.max(minStoreVersion, version);
        List<PendingStep> current = List.copyOf(queue);
        store.readTail(sequence, minStoreVersion)
                .subscribe()
                .with(
                        tail -> {
                            restores.observeEra(tail.era());
                            boolean isRestored = tail.era() != era || StoreVersion.era(version) != era;
                            if (isRestored) {
                                prepareReload();
                            }
                            if (isRestored || tail.manifest().floorSequence() >= sequence) {
                                listener.onVoidBatch(shard);
                                store.deleteBatch(sequence, version, nonces.next())
                                        .subscribe()
                                        .with(done -> {}, failure -> {});
                                unload();
                                finishOperation();
                                return;
                            }
                            batchVersions.put(sequence, version);
                            index.apply(sequence, batch);
                            nextSequence = sequence + 1;
                            isEmptyBatchRequested = false;
                            batchSteps.forEach(PendingStep::markCommitted);
                            listener.onCommit(shard, batch.records().size(), bytes);
                            applyTail(tail, current);
                            compactor.compactIfDue();
                        },
                        this::onFailed);
    }

    private void catchUp() {
        List<PendingStep> current = List.copyOf(queue);
        store.readTail(nextSequence - 1, minStoreVersion)
                .subscribe()
                .with(tail -> applyTail(tail, current), this::onFailed);
    }

    /**
     * Applies batches of other routers. The steps that were queued before the read are then decided by a fresh state.
     */
    private void applyTail(Tail tail, List<PendingStep> waiting) {
        restores.observeEra(tail.era());
        if (tail.era() != era) {
            prepareReload();
            unload();
            finishOperation();
            return;
        }
        if (tail.manifest().floorSequence() >= nextSequence) {
            unload();
            finishOperation();
            return;
        }
        adoptManifest(tail);
        for (Map.Entry<Long, StoredBatch> batch : tail.batches().entrySet()) {
            if (batch.getKey() < nextSequence) {
                continue;
            }
            if (batch.getKey() > nextSequence) {
                unload();
                retryRead();
                return;
            }
            StoredBatch stored = batch.getValue();
            index.apply(nextSequence, stored.batch());
            batchVersions.put(nextSequence, stored.version());
            minStoreVersion = Math.max(minStoreVersion, stored.version());
            nextSequence++;
        }
        waiting.forEach(PendingStep::markFresh);
        queue.forEach(step -> step.clearSentSequenceBefore(nextSequence));
        backoffMs = INITIAL_BACKOFF_MS;
        failures = 0;
        replyToDecidedSteps();
        finishOperation();
    }

    private void replyToDecidedSteps() {
        for (PendingStep step : List.copyOf(queue)) {
            if (replyFromMemory(step)) {
                remove(step);
            }
        }
    }

    private void adoptManifest(Tail tail) {
        if (tail.manifestVersion() > manifestVersion) {
            manifest = tail.manifest();
            manifestVersion = tail.manifestVersion();
            minStoreVersion = Math.max(minStoreVersion, manifestVersion);
        }
    }

    private void onCreateFailed(List<PendingStep> unsent, Throwable failure) {
        if (!isEffectUnknown(failure)) {
            unsent.forEach(step -> step.setSentSequence(0));
        }
        onFailed(failure);
    }

    /** Refuses queued grant requests and keeps the other steps. Results in memory are still returned. */
    private void onFailed(Throwable failure) {
        isEmptyBatchRequested = false;
        listener.onPlatformFailure(shard, isEffectUnknown(failure));
        failures++;
        if (!(failure instanceof PlatformException) && failures == 1) {
            LOGGER.log(Level.ERROR, () -> "shard " + shard + " of the journal cannot be read or written", failure);
        }
        for (PendingStep step : List.copyOf(queue)) {
            if (step.step() == Step.OPEN && !isEffectUnknown(failure)) {
                remove(step);
                step.reply(refusal(step));
            }
        }
        nextOperationMs = scheduler.nowMs() + backoffMs + nonces.jitterMs(backoffMs);
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        finishOperation();
    }

    private Reply refusal(PendingStep step) {
        if (isLoaded
                && index.evaluate(step.request(), step.key(), nextLogMs(), activeGrants)
                        instanceof Evaluation.Provisional provisional) {
            return Reply.of(provisional.result(), step.nonce());
        }
        return Reply.of(Result.UNAVAILABLE, step.mayBeRecorded() ? step.nonce() : "");
    }

    private static boolean isEffectUnknown(Throwable failure) {
        return !(failure instanceof PlatformException exception) || exception.kind() == Kind.EFFECT_UNKNOWN;
    }

    /**
     * Remembers the entries of a shard that has to be read again, because the store was restored from an older copy.
     * The records that it has lost are written again before any other.
     */
    private void prepareReload() {
        lostRecords.remember(index);
    }

    /** Reads the shard again and writes the records again that the store has lost. */
    void reload() {
        if (isLoaded) {
            isReloadRequested = true;
            processQueue();
        }
    }

    private void unload() {
        isLoaded = false;
        index = new ShardIndex(settings);
        nextSequence = 1;
        batchVersions = new TreeMap<>();
    }

    /** Reads the whole shard: first the log with its manifest, then the segments. */
    private void load() {
        long startMs = scheduler.nowMs();
        List<PendingStep> current = List.copyOf(queue);
        store.readTail(0, minStoreVersion)
                .onItem()
                .transformToUni(tail -> store.readSegments().map(segments -> new ShardSnapshot(tail, segments)))
                .subscribe()
                .with(
                        snapshot -> {
                            if (!snapshot.isComplete()) {
                                retryRead();
                                return;
                            }
                            try {
                                restore(snapshot);
                            } catch (IllegalStateException e) {
                                unload();
                                onFailed(e);
                                return;
                            }
                            listener.onRecovery(shard, index.size(), scheduler.nowMs() - startMs);
                            applyTail(snapshot.tail(), current);
                        },
                        this::onFailed);
    }

    /** Schedules another read after a router compacted the shard between two reads. The steps stay queued. */
    private void retryRead() {
        inconsistentReads++;
        if (inconsistentReads > MAX_INCONSISTENT_READS) {
            onFailed(new PlatformException(Kind.NO_EFFECT, "reads of shard " + shard + " are inconsistent", null));
            return;
        }
        nextOperationMs = scheduler.nowMs() + REREAD_DELAY_MS;
        finishOperation();
    }

    private void restore(ShardSnapshot snapshot) {
        unload();
        era = snapshot.tail().era();
        manifest = snapshot.tail().manifest();
        manifestVersion = snapshot.tail().manifestVersion();
        minStoreVersion = Math.max(minStoreVersion, manifestVersion);
        snapshot.restoreInto(index);
        index.evictOutcomes(lastSealedSequence());
        nextSequence = manifest.floorSequence() + 1;
        isLoaded = true;
        inconsistentReads = 0;
        snapshot.tail()
                .batches()
                .headMap(nextSequence)
                .forEach((sequence, object) -> batchVersions.put(sequence, object.version()));
        compactor.deleteObsoleteObjects(snapshot);
    }

    /**
     * Advances the log time of a shard without traffic with an empty batch and compacts the shard, so that its expired
     * keys are deleted.
     */
    void advanceIfInactive(long inactiveMs) {
        boolean hasContent = index.size() > 0 || lastSequence() > manifest.floorSequence();
        if (isLoaded && hasContent && scheduler.nowMs() - index.logMs() >= inactiveMs) {
            isEmptyBatchRequested = true;
            compactor.requestCompaction();
            processQueue();
        }
    }

    /** Releases the memory of an idle shard. The shard is read again when it is needed. */
    void unloadIfIdle(long idleMs) {
        if (!isOperationRunning
                && queue.isEmpty()
                && lostRecords.isEmpty()
                && !compactor.isRunning()
                && scheduler.nowMs() - lastUsedMs >= idleMs) {
            unload();
        }
    }

    boolean isLoaded() {
        return isLoaded;
    }

    ShardIndex index() {
        return index;
    }

    Manifest manifest() {
        return manifest;
    }

    long manifestVersion() {
        return manifestVersion;
    }

    long lastSequence() {
        return nextSequence - 1;
    }

    /** Adopts a manifest that this router wrote. */
    void onManifestWritten(Manifest written, long version) {
        if (version > manifestVersion) {
            listener.onCompaction(
                    shard,
                    (int) (written.floorSequence() - manifest.floorSequence()),
                    written.segments().size());
            manifest = written;
            manifestVersion = version;
            minStoreVersion = Math.max(minStoreVersion, version);
            index.evictOutcomes(lastSealedSequence());
        }
    }

    /** Returns the versions of the batches that the manifest supersedes, by sequence number. */
    Map<Long, Long> supersededBatches() {
        return new TreeMap<>(batchVersions.headMap(manifest.floorSequence(), true));
    }

    void onBatchDeleted(long sequence) {
        batchVersions.remove(sequence);
    }

    long lastSealedSequence() {
        long upTo = 0;
        for (Manifest.Segment segment : manifest.segments()) {
            if (!segment.isSealed()) {
                break;
            }
            upTo = segment.toSequence();
        }
        return upTo;
    }
}

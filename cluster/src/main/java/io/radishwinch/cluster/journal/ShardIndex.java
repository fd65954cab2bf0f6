package io.radishwinch.cluster.journal;

import io.radishwinch.cluster.journal.JournalPeer.Request;
import io.radishwinch.cluster.journal.JournalPeer.Result;
import io.radishwinch.cluster.journal.JournalRecord.Abandoned;
import io.radishwinch.cluster.journal.JournalRecord.Intent;
import io.radishwinch.cluster.journal.JournalRecord.Outcome;
import io.radishwinch.cluster.journal.KeyEntry.State;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * State of a shard up to a batch. It depends on the log only: routers that applied the same batches agree on every key,
 * because expiry is decided by the log time of the batches and not by a clock.
 */
final class ShardIndex {
    private final JournalSettings settings;
    /** Entries in the order of their last change, oldest first. */
    private final LinkedHashMap<Hash128, KeyEntry> entries = new LinkedHashMap<>();

    private long logMs;
    private long outcomeBytes;

    ShardIndex(JournalSettings settings) {
        this.settings = settings;
    }

    /** Result of evaluating a step against the state. */
    sealed interface Evaluation {
        /** The step needs a record in the log. */
        record Write(JournalRecord record) implements Evaluation {}

        /** The result is final, because the records that decide it never change. */
        record Decided(Result result) implements Evaluation {}

        /** The result may be outdated, because newer batches may have changed the records that decide it. */
        record Provisional(Result result) implements Evaluation {}
    }

    /** Returns the highest log time of the applied batches, in ms since the epoch. */
    long logMs() {
        return logMs;
    }

    /** Adds the entries of a snapshot segment. */
    void restore(Map<Hash128, KeyEntry> segment, long segmentLogMs) {
        segment.forEach(this::store);
        logMs = Math.max(logMs, segmentLogMs);
    }

    /** Applies the next batch of the log. */
    void apply(long sequence, Batch batch) {
        logMs = Math.max(logMs, batch.logMs());
        for (JournalRecord record : batch.records()) {
            KeyEntry current = liveEntry(record.key(), logMs);
            KeyEntry next = nextEntry(current, record, sequence);
            if (next != current) {
                store(record.key(), next);
            }
        }
    }

    /** Returns whether a record that is appended now would change the entry of its key. */
    boolean isChangedBy(JournalRecord record) {
        KeyEntry current = liveEntry(record.key(), logMs);
        return nextEntry(current, record, 0) != current;
    }

    private KeyEntry nextEntry(KeyEntry current, JournalRecord record, long sequence) {
        if (record instanceof Intent intent) {
            boolean isFree = current == null
                    || (current.state() == State.ABANDONED
                            && !current.abandonedNonces().contains(intent.nonce()));
            return isFree
                    ? new KeyEntry(
                            State.INTENT,
                            intent.fingerprint(),
                            intent.nonce(),
                            logMs,
                            sequence,
                            null,
                            current == null ? List.of() : current.abandonedNonces())
                    : current;
        }
        boolean isOpen = current != null
                && current.state() == State.INTENT
                && current.nonce().equals(record.nonce());
        if (record instanceof Outcome outcome) {
            return isOpen
                    ? new KeyEntry(
                            outcome.isKept() ? State.OUTCOME : State.OUTCOME_NOT_KEPT,
                            current.fingerprint(),
                            current.nonce(),
                            current.intentMs(),
                            sequence,
                            outcome.isKept() ? outcome.content() : null,
                            current.abandonedNonces())
                    : current;
        }
        return nextAbandonedEntry(current, (Abandoned) record, isOpen, sequence);
    }

    private KeyEntry nextAbandonedEntry(KeyEntry current, Abandoned record, boolean isOpen, long sequence) {
        if (current == null) {
            return new KeyEntry(
                    State.ABANDONED, new Hash128(0, 0), record.nonce(), logMs, sequence, null, List.of(record.nonce()));
        }
        if (current.abandonedNonces().contains(record.nonce())) {
            return current;
        }
        if (!isOpen && current.nonce().equals(record.nonce())) {
            return current;
        }
        List<String> nonces = new ArrayList<>(current.abandonedNonces());
        nonces.add(record.nonce());
        if (nonces.size() > KeyEntry.MAX_ABANDONED_NONCES) {
            nonces.remove(0);
        }
        return new KeyEntry(
                isOpen ? State.ABANDONED : current.state(),
                current.fingerprint(),
                current.nonce(),
                current.intentMs(),
                sequence,
                current.outcome(),
                List.copyOf(nonces));
    }

    private void store(Hash128 key, KeyEntry entry) {
        KeyEntry before = entries.remove(key);
        outcomeBytes += entry.outcomeBytes() - (before == null ? 0 : before.outcomeBytes());
        entries.put(key, entry);
    }

    /** Returns the entry of a key if it has not expired at the given log time, otherwise null. */
    KeyEntry liveEntry(Hash128 key, long atMs) {
        KeyEntry entry = entries.get(key);
        return entry == null || entry.isExpired(settings.retentionMs(), atMs) ? null : entry;
    }

    /**
     * Evaluates a step for a batch with the given log time.
     *
     * @param activeGrants tells which grants are still in use
     */
    Evaluation evaluate(Request request, Hash128 key, long atMs, ActiveGrants activeGrants) {
        KeyEntry entry = liveEntry(key, atMs);
        String nonce = request.grantNonce();
        boolean isHolder = entry != null && entry.nonce().equals(nonce);
        return switch (request.step()) {
            case OPEN -> evaluateOpen(request, key, entry, activeGrants);
            case COMPLETE -> {
                if (!isHolder || entry.state() == State.ABANDONED) {
                    yield new Evaluation.Provisional(Result.UNAVAILABLE);
                }
                yield entry.state() == State.INTENT
                        ? new Evaluation.Write(outcomeRecord(key, request))
                        : new Evaluation.Decided(Result.RECORDED);
            }
            case ABANDON -> {
                if (entry != null && entry.abandonedNonces().contains(nonce)) {
                    yield new Evaluation.Decided(Result.RECORDED);
                }
                boolean hasEnded = isHolder && entry.state() != State.INTENT;
                yield hasEnded
                        ? new Evaluation.Decided(Result.UNAVAILABLE)
                        : new Evaluation.Write(new Abandoned(key, nonce));
            }
        };
    }

    private Evaluation evaluateOpen(Request request, Hash128 key, KeyEntry entry, ActiveGrants activeGrants) {
        String nonce = request.grantNonce();
        Hash128 fingerprint = Hash128.ofFingerprint(request.fingerprint());
        if (entry == null) {
            return entries.size() < settings.maxKeysPerShard()
                    ? new Evaluation.Write(new Intent(key, fingerprint, nonce))
                    : new Evaluation.Decided(Result.UNAVAILABLE);
        }
        if (entry.abandonedNonces().contains(nonce)) {
            return new Evaluation.Decided(Result.UNAVAILABLE);
        }
        if (entry.nonce().equals(nonce) && entry.state() == State.INTENT) {
            return new Evaluation.Decided(Result.GRANTED);
        }
        if (entry.state() == State.ABANDONED) {
            return new Evaluation.Write(new Intent(key, fingerprint, nonce));
        }
        boolean isSameContent = entry.fingerprint().equals(fingerprint);
        return switch (entry.state()) {
            case OUTCOME -> new Evaluation.Decided(isSameContent ? Result.REPLAY : Result.KEY_REUSED);
            case OUTCOME_NOT_KEPT -> new Evaluation.Decided(isSameContent ? Result.OUTCOME_UNKNOWN : Result.KEY_REUSED);
            default -> {
                if (!isSameContent) {
                    yield new Evaluation.Provisional(Result.KEY_REUSED);
                }
                yield new Evaluation.Provisional(
                        activeGrants.isActive(entry.nonce()) ? Result.IN_PROGRESS : Result.OUTCOME_UNKNOWN);
            }
        };
    }

    static JournalRecord outcomeRecord(Hash128 key, Request request) {
        return request.outcome()
                .filter(content -> content.length <= JournalSettings.MAX_OUTCOME_BYTES)
                .map(content -> new Outcome(key, request.grantNonce(), content, true))
                .orElseGet(() -> new Outcome(key, request.grantNonce(), new byte[0], false));
    }

    int size() {
        return entries.size();
    }

    /** Returns the entries whose last change is after the given batch, in the order of that change. */
    Map<Hash128, KeyEntry> changedAfter(long sequence) {
        Map<Hash128, KeyEntry> changed = new LinkedHashMap<>();
        entries.forEach((key, entry) -> {
            if (entry.sequence() > sequence) {
                changed.put(key, entry);
            }
        });
        return changed;
    }

    /** Removes the entries that have expired at the current log time. */
    void removeExpired() {
        Iterator<KeyEntry> iterator = entries.values().iterator();
        while (iterator.hasNext()) {
            KeyEntry entry = iterator.next();
            if (entry.isExpired(settings.retentionMs(), logMs)) {
                outcomeBytes -= entry.outcomeBytes();
                iterator.remove();
            }
        }
    }

    /**
     * Evicts the oldest outcomes above the memory limit, as far as they can be read from sealed segments.
     *
     * @param sealedUpTo last sequence number contained in sealed segments
     */
    void evictOutcomes(long sealedUpTo) {
        if (outcomeBytes <= settings.maxCachedOutcomeBytes()) {
            return;
        }
        for (Map.Entry<Hash128, KeyEntry> keyed : entries.entrySet()) {
            KeyEntry entry = keyed.getValue();
            if (outcomeBytes <= settings.maxCachedOutcomeBytes() || entry.sequence() > sealedUpTo) {
                return;
            }
            if (entry.outcome() != null) {
                outcomeBytes -= entry.outcomeBytes();
                keyed.setValue(entry.withoutOutcome());
            }
        }
    }

    /** Tells which grants are in use. */
    interface ActiveGrants {
        /** Returns whether the router that created the nonce is alive and still runs the request. */
        boolean isActive(String nonce);
    }
}

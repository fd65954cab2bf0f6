package io.radishwinch.cluster.journal;

import io.radishwinch.cluster.journal.Journal.Decision;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Optional;

/**
 * Bounded cache of the outcomes of requests that this router ran. They can be replayed even if they could not be
 * recorded or their shard is not in memory.
 */
final class LocalOutcomeCache {
    private static final long MAX_CACHED_BYTES = 8_000_000;
    /** Estimated size of an entry without its content, in bytes. */
    private static final int ENTRY_BYTES = 200;

    private final long retentionMs;
    private final LinkedHashMap<Hash128, Entry> entries = new LinkedHashMap<>();
    private long bytes;

    LocalOutcomeCache(long retentionMs) {
        this.retentionMs = retentionMs;
    }

    void add(Hash128 key, Hash128 fingerprint, byte[] outcome, long nowMs) {
        subtractBytes(entries.remove(key));
        entries.put(key, new Entry(fingerprint, outcome, nowMs + retentionMs));
        bytes += ENTRY_BYTES + outcome.length;
        Iterator<Entry> oldest = entries.values().iterator();
        while (bytes > MAX_CACHED_BYTES) {
            Entry entry = oldest.next();
            oldest.remove();
            subtractBytes(entry);
        }
    }

    private void subtractBytes(Entry entry) {
        if (entry != null) {
            bytes -= ENTRY_BYTES + entry.outcome().length;
        }
    }

    Optional<Decision> find(Hash128 key, Hash128 fingerprint, long nowMs) {
        Entry entry = entries.get(key);
        if (entry == null || entry.deadlineMs() <= nowMs) {
            return Optional.empty();
        }
        return Optional.of(
                entry.fingerprint().equals(fingerprint)
                        ? new Decision.Replay(entry.outcome())
                        : new Decision.KeyReused());
    }

    private record Entry(Hash128 fingerprint, byte[] outcome, long deadlineMs) {}
}

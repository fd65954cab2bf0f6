package io.radishwinch.cluster.journal;

import io.radishwinch.cluster.journal.JournalRecord.Abandoned;
import io.radishwinch.cluster.journal.JournalRecord.Intent;
import io.radishwinch.cluster.journal.JournalRecord.Outcome;
import io.radishwinch.cluster.journal.KeyEntry.State;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Entries that a router knew before the platform was restored from an older copy, and the records that the restored log
 * lacks of them. Written again, they keep a key from being granted twice.
 */
final class LostRecords {
    private final Map<Hash128, KeyEntry> entriesBefore = new LinkedHashMap<>();

    /** Remembers the entries of an index that is about to be read again. */
    void remember(ShardIndex index) {
        entriesBefore.putAll(index.changedAfter(0));
    }

    boolean isEmpty() {
        return entriesBefore.isEmpty();
    }

    /** Returns the records that the log lacks, and forgets the entries that it contains. */
    List<JournalRecord> missingFrom(ShardIndex restored, int maxRecords) {
        List<JournalRecord> missing = new ArrayList<>();
        entriesBefore.entrySet().removeIf(before -> {
            if (missing.size() >= maxRecords) {
                return false;
            }
            int sizeBefore = missing.size();
            KeyEntry current = restored.liveEntry(before.getKey(), restored.logMs());
            addMissing(before.getKey(), before.getValue(), current, missing);
            return missing.size() == sizeBefore;
        });
        return missing;
    }

    private static void addMissing(Hash128 key, KeyEntry before, KeyEntry current, List<JournalRecord> missing) {
        for (String nonce : before.abandonedNonces()) {
            if (current == null || !current.abandonedNonces().contains(nonce)) {
                missing.add(new Abandoned(key, nonce));
            }
        }
        if (before.state() == State.ABANDONED) {
            return;
        }
        boolean isFree = current == null || current.state() == State.ABANDONED;
        if (isFree) {
            missing.add(new Intent(key, before.fingerprint(), before.nonce()));
        }
        boolean isOpen =
                isFree || current.state() == State.INTENT && current.nonce().equals(before.nonce());
        if (isOpen && before.state() != State.INTENT) {
            boolean isKept = before.outcome() != null;
            missing.add(new Outcome(key, before.nonce(), isKept ? before.outcome() : new byte[0], isKept));
        }
    }
}

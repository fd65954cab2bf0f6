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

    /**
     * Returns records that the log lacks, as many as fit into a batch, and forgets the entries that it contains.
     *
     * @param maxRecords maximum number of records, unless those of one key are more
     * @param maxBytes maximum size of the records, in bytes, unless those of one key are larger
     */
    List<JournalRecord> missingFrom(ShardIndex restored, int maxRecords, int maxBytes) {
        List<JournalRecord> batch = new ArrayList<>();
        int batchBytes = 0;
        for (var entries = entriesBefore.entrySet().iterator(); entries.hasNext(); ) {
            Map.Entry<Hash128, KeyEntry> before = entries.next();
            List<JournalRecord> missing = missingRecords(before.getKey(), before.getValue(), restored);
            if (missing.isEmpty()) {
                entries.remove();
                continue;
            }
            int missingBytes =
                    missing.stream().mapToInt(JournalRecord::sizeBytes).sum();
            boolean fits = batch.size() + missing.size() <= maxRecords && batchBytes + missingBytes <= maxBytes;
            if (batch.isEmpty() || fits) {
                batch.addAll(missing);
                batchBytes += missingBytes;
            }
        }
        return batch;
    }

    private static List<JournalRecord> missingRecords(Hash128 key, KeyEntry before, ShardIndex restored) {
        List<JournalRecord> missing = new ArrayList<>();
        for (String nonce : before.abandonedNonces()) {
            addIfMissing(new Abandoned(key, nonce), restored, missing);
        }
        if (before.state() == State.ABANDONED) {
            return missing;
        }
        boolean isIntentMissing =
                addIfMissing(new Intent(key, before.fingerprint(), before.nonce()), restored, missing);
        if (before.state() != State.INTENT) {
            boolean isKept = before.outcome() != null;
            Outcome outcome = new Outcome(key, before.nonce(), isKept ? before.outcome() : new byte[0], isKept);
            if (isIntentMissing) {
                missing.add(outcome);
            } else {
                addIfMissing(outcome, restored, missing);
            }
        }
        return missing;
    }

    /** Adds a record unless the restored log would ignore it, and returns whether it was added. */
    private static boolean addIfMissing(JournalRecord record, ShardIndex restored, List<JournalRecord> missing) {
        boolean isMissing = restored.isChangedBy(record);
        if (isMissing) {
            missing.add(record);
        }
        return isMissing;
    }
}

package io.radishwinch.report;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/** Counts the non-repeatable requests of a day, which the report calls charges. */
public final class ChargeTotals {

    /** Largest number of request identifiers in each set. */
    public static final int MAX_IDS = 200;

    long run;
    long refused;
    long replayed;
    long inDoubt;
    long duplicates;
    final TreeSet<String> inDoubtIds = new TreeSet<>();
    final TreeSet<String> duplicateIds = new TreeSet<>();

    ChargeTotals() {}

    /** Returns the number of requests that ran once. */
    public long run() {
        return run;
    }

    /** Returns the number of requests refused without running. */
    public long refused() {
        return refused;
    }

    /** Returns the number of requests for which the recorded outcome of an earlier request was replayed. */
    public long replayed() {
        return replayed;
    }

    /** Returns the number of requests that may have run. */
    public long inDoubt() {
        return inDoubt;
    }

    /** Returns the number of requests that ran twice. */
    public long duplicates() {
        return duplicates;
    }

    /** Returns the identifiers of requests that may have run, at most {@link #MAX_IDS}. */
    public SortedSet<String> inDoubtIds() {
        return Collections.unmodifiableSortedSet(inDoubtIds);
    }

    /** Returns the identifiers of requests that ran twice, at most {@link #MAX_IDS}. */
    public SortedSet<String> duplicateIds() {
        return Collections.unmodifiableSortedSet(duplicateIds);
    }

    void add(RequestOutcome outcome) {
        if (outcome.isReplayed()) {
            replayed++;
            return;
        }
        switch (outcome.verdict()) {
            case RAN -> run++;
            case NOT_RUN -> refused++;
            case MAY_HAVE_RUN -> {
                inDoubt++;
                addId(inDoubtIds, outcome.requestId());
            }
        }
    }

    void addDuplicate(String requestId) {
        duplicates++;
        addId(duplicateIds, requestId);
    }

    void add(ChargeTotals other) {
        run += other.run;
        refused += other.refused;
        replayed += other.replayed;
        inDoubt += other.inDoubt;
        duplicates += other.duplicates;
        other.inDoubtIds.forEach(id -> addId(inDoubtIds, id));
        other.duplicateIds.forEach(id -> addId(duplicateIds, id));
    }

    private static void addId(TreeSet<String> ids, String id) {
        ids.add(id);
        if (ids.size() > MAX_IDS) {
            ids.pollLast();
        }
    }
}

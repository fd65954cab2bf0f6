package io.radishwinch.core.queue;

import io.radishwinch.core.model.RequestSpec;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

/** Index of queued requests by the latest time at which they can start and still meet their deadline. */
public final class DeadlineIndex {

    private record Entry(long latestStartMs, RequestSpec request) {}

    private static final Comparator<Entry> BY_LATEST_START = Comparator.comparingLong(Entry::latestStartMs)
            .thenComparing(entry -> entry.request().requestId());

    private final ToLongFunction<RequestSpec> minServiceMs;
    private final TreeSet<Entry> entries = new TreeSet<>(BY_LATEST_START);
    private final Map<String, Entry> entriesById = new HashMap<>();

    /**
     * Creates an empty index.
     *
     * @param minServiceMs returns the shortest run time of a request in ms; evaluated when the request is added
     */
    public DeadlineIndex(ToLongFunction<RequestSpec> minServiceMs) {
        this.minServiceMs = minServiceMs;
    }

    /** Adds a request. */
    public void add(RequestSpec request) {
        Entry entry = new Entry(request.deadlineMs() - minServiceMs.applyAsLong(request), request);
        entries.add(entry);
        entriesById.put(request.requestId(), entry);
    }

    /** Removes a request; does nothing if it is not in the index. */
    public void remove(RequestSpec request) {
        Entry entry = entriesById.remove(request.requestId());
        if (entry != null) {
            entries.remove(entry);
        }
    }

    /** Returns a request whose latest start has passed, or empty if there is none. */
    public Optional<RequestSpec> expired(long nowMs) {
        return entries.isEmpty() || entries.first().latestStartMs() >= nowMs
                ? Optional.empty()
                : Optional.of(entries.first().request());
    }
}

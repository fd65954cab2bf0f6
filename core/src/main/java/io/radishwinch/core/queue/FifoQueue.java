package io.radishwinch.core.queue;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RequestSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Baseline queue in arrival order within each pool, regardless of rank and caller. */
public final class FifoQueue implements RequestQueue {

    private record Entry(long sequence, RequestSpec request) {}

    private static final Comparator<Entry> BY_SEQUENCE = Comparator.comparingLong(Entry::sequence);

    private final int capacity;
    private final Map<String, TreeSet<Entry>> entriesByPool = new TreeMap<>();
    private final Map<String, Entry> entriesById = new HashMap<>();
    private final DeadlineIndex deadlines;
    private long nextSequence;
    private long nextFrontSequence = -1;

    /** Creates an empty queue. */
    public FifoQueue(QueueSettings settings, DeadlineIndex deadlines) {
        this.capacity = settings.capacity();
        this.deadlines = deadlines;
    }

    @Override
    public boolean offer(RequestSpec request, long nowMs, Consumer<RequestSpec> displaced) {
        if (entriesById.size() >= capacity) {
            return false;
        }
        add(new Entry(nextSequence++, request));
        return true;
    }

    @Override
    public void requeue(RequestSpec request, long nowMs) {
        add(new Entry(nextFrontSequence--, request));
    }

    @Override
    public Optional<RequestSpec> poll(Predicate<RequestSpec> dispatchable, long nowMs) {
        Set<String> tried = new HashSet<>();
        while (true) {
            Entry first = null;
            for (Map.Entry<String, TreeSet<Entry>> pool : entriesByPool.entrySet()) {
                Entry head = pool.getValue().first();
                if (!tried.contains(pool.getKey()) && (first == null || head.sequence() < first.sequence())) {
                    first = head;
                }
            }
            if (first == null) {
                return Optional.empty();
            }
            if (dispatchable.test(first.request())) {
                remove(first.request().requestId());
                return Optional.of(first.request());
            }
            tried.add(first.request().pool());
        }
    }

    @Override
    public Optional<RequestSpec> peek(Rank rank, String pool) {
        return Optional.empty();
    }

    @Override
    public boolean remove(String requestId) {
        Entry entry = entriesById.remove(requestId);
        if (entry == null) {
            return false;
        }
        deadlines.remove(entry.request());
        TreeSet<Entry> entries = entriesByPool.get(entry.request().pool());
        entries.remove(entry);
        if (entries.isEmpty()) {
            entriesByPool.remove(entry.request().pool());
        }
        return true;
    }

    @Override
    public List<RequestSpec> removeExpired(long nowMs) {
        List<RequestSpec> expired = new ArrayList<>();
        for (Optional<RequestSpec> next = deadlines.expired(nowMs); next.isPresent(); next = deadlines.expired(nowMs)) {
            expired.add(next.get());
            remove(next.get().requestId());
        }
        return expired;
    }

    @Override
    public void correctCharge(RequestSpec request, long usedTokens) {
        // The arrival order does not depend on the cost.
    }

    @Override
    public boolean isPolledForFloor(String requestId) {
        return false;
    }

    @Override
    public int size() {
        return entriesById.size();
    }

    private void add(Entry entry) {
        entriesById.put(entry.request().requestId(), entry);
        entriesByPool
                .computeIfAbsent(entry.request().pool(), pool -> new TreeSet<>(BY_SEQUENCE))
                .add(entry);
        deadlines.add(entry.request());
    }
}

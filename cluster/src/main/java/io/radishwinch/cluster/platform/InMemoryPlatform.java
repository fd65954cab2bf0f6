package io.radishwinch.cluster.platform;

import io.radishwinch.cluster.platform.PlatformException.Kind;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.MultiEmitter;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Deterministic platform in memory, for tests and for deployments in one process.
 *
 * <p>A call takes effect after half of its latency and returns after the other half. Faults are injected through
 * {@link #faults()}. Not thread-safe: all calls must come from the thread of the scheduler.
 */
public final class InMemoryPlatform implements PlatformClient {
    private static final int MAX_HISTORY_ENTRIES = 10_000;

    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final PlatformFaults faults = new PlatformFaults();
    private final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private final Deque<HistoryEntry> history = new ArrayDeque<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private List<Vm> vms = List.of();
    private long storeVersion;
    private long historyStartVersion;
    private long readCalls;
    private long writeCalls;

    /**
     * Creates an empty platform.
     *
     * @param random source of latencies and random faults
     */
    public InMemoryPlatform(Scheduler scheduler, RandomGenerator random) {
        this.scheduler = scheduler;
        this.random = random;
    }

    /** Returns the faults, which can be changed at any time. */
    public PlatformFaults faults() {
        return faults;
    }

    /** Sets the list of VMs. */
    public void setVms(List<Vm> newVms) {
        vms = List.copyOf(newVms);
    }

    /** Fails all watches, as a broken connection does. */
    public void breakWatches() {
        for (Watcher watcher : List.copyOf(watchers)) {
            watcher.fail(Kind.NO_EFFECT, "watch connection was closed");
        }
    }

    /** Discards the history, so that a watch from an earlier version fails with {@link Kind#HISTORY_EXPIRED}. */
    public void discardHistory() {
        history.clear();
        historyStartVersion = storeVersion;
    }

    /** Contents of the platform at an earlier moment. */
    public record Copy(Map<String, StoredObject> objects, long revision) {}

    /** Returns a copy to restore the platform from. */
    public Copy copy() {
        return new Copy(new TreeMap<>(objects), StoreVersion.revision(storeVersion));
    }

    /**
     * Restores an earlier copy: what was written since is lost, the next writes get the revisions of the lost ones, and
     * the era increases. Watches fail.
     */
    public void restore(Copy copy) {
        long era = StoreVersion.era(storeVersion) + 1;
        objects.clear();
        copy.objects.forEach((key, object) -> objects.put(
                key,
                new StoredObject(
                        key,
                        StoreVersion.of(era, StoreVersion.revision(object.version())),
                        object.value(),
                        object.nonce())));
        storeVersion = StoreVersion.of(era, copy.revision);
        discardHistory();
        breakWatches();
    }

    /** Returns a copy of the stored objects. Not counted as a call. */
    public Map<String, StoredObject> contents() {
        return new TreeMap<>(objects);
    }

    /** Returns the version of the last write. */
    public long storeVersion() {
        return storeVersion;
    }

    /** Returns the number of reads that reached the platform. */
    public long readCalls() {
        return readCalls;
    }

    /** Returns the number of writes that reached the platform. */
    public long writeCalls() {
        return writeCalls;
    }

    /** Returns the number of pending watches. */
    public int pendingWatches() {
        return watchers.size();
    }

    @Override
    public Uni<Optional<StoredObject>> get(String key) {
        return read(() -> Optional.ofNullable(readView().objects().get(key)));
    }

    @Override
    public Uni<Page> list(String prefix, String afterKey, int limit) {
        return read(() -> {
            View view = readView();
            List<StoredObject> page = new ArrayList<>();
            boolean startsInside = afterKey.compareTo(prefix) >= 0;
            for (StoredObject object : view.objects()
                    .tailMap(startsInside ? afterKey : prefix, !startsInside)
                    .values()) {
                if (!object.key().startsWith(prefix)) {
                    break;
                }
                if (page.size() == limit) {
                    return new Page(page, true, view.version());
                }
                page.add(object);
            }
            return new Page(page, false, view.version());
        });
    }

    @Override
    public Uni<PutResult> put(String key, long expectedVersion, byte[] value, String nonce) {
        if (value.length > MAX_VALUE_BYTES) {
            return Uni.createFrom()
                    .failure(new PlatformException(
                            Kind.NO_EFFECT, "value of " + key + " exceeds the limit of 1 MB", null));
        }
        return write(() -> {
            StoredObject current = objects.get(key);
            if ((current == null ? ABSENT : current.version()) != expectedVersion) {
                return new PutResult.Conflict(Optional.ofNullable(current));
            }
            return record(key, new StoredObject(key, storeVersion + 1, value.clone(), nonce), nonce);
        });
    }

    @Override
    public Uni<PutResult> delete(String key, long expectedVersion, String nonce) {
        return write(() -> {
            StoredObject current = objects.get(key);
            if (current == null || current.version() != expectedVersion) {
                return new PutResult.Conflict(Optional.ofNullable(current));
            }
            return record(key, null, nonce);
        });
    }

    @Override
    public Multi<Change> watch(String prefix, long fromVersion) {
        return Multi.createFrom().emitter(emitter -> {
            Watcher watcher = new Watcher(prefix, fromVersion, emitter);
            emitter.onTermination(() -> watchers.remove(watcher));
            scheduler.schedule(latencyMs(), watcher::start);
        });
    }

    @Override
    public Uni<List<Vm>> vms() {
        return read(() -> vms);
    }

    @Override
    public Uni<Void> ping(long timeoutMs) {
        return read(() -> null);
    }

    private <T> Uni<T> read(Supplier<T> operation) {
        return call(false, operation);
    }

    private <T> Uni<T> write(Supplier<T> operation) {
        return call(true, operation);
    }

    private <T> Uni<T> call(boolean isWrite, Supplier<T> operation) {
        return Uni.createFrom().emitter(emitter -> {
            long latencyMs = latencyMs();
            long requestMs = latencyMs / 2;
            scheduler.schedule(requestMs, () -> {
                if (faults.isDown()) {
                    scheduler.schedule(
                            latencyMs - requestMs,
                            () -> emitter.fail(new PlatformException(Kind.NO_EFFECT, "platform is unavailable", null)));
                    return;
                }
                if (isWrite) {
                    writeCalls++;
                } else {
                    readCalls++;
                }
                T response = operation.get();
                boolean isLost = faults.losesResponse(isWrite, random);
                scheduler.schedule(latencyMs - requestMs, () -> {
                    if (isLost) {
                        Kind kind = isWrite ? Kind.EFFECT_UNKNOWN : Kind.NO_EFFECT;
                        emitter.fail(new PlatformException(kind, "response of the platform was lost", null));
                    } else {
                        emitter.complete(response);
                    }
                });
            });
        });
    }

    private long latencyMs() {
        return faults.latencyMs(random);
    }

    /** Returns the state that a read sees: the current one, or an earlier one if reads are stale. */
    private View readView() {
        long lag = faults.staleVersionLag(random);
        if (lag == 0 || history.isEmpty()) {
            return new View(objects, storeVersion);
        }
        long seenVersion = Math.max(historyStartVersion, storeVersion - lag);
        TreeMap<String, StoredObject> earlier = new TreeMap<>(objects);
        Iterator<HistoryEntry> newestFirst = history.descendingIterator();
        while (newestFirst.hasNext()) {
            HistoryEntry entry = newestFirst.next();
            if (entry.change().version() <= seenVersion) {
                break;
            }
            if (entry.before() == null) {
                earlier.remove(entry.change().key());
            } else {
                earlier.put(entry.change().key(), entry.before());
            }
        }
        return new View(earlier, seenVersion);
    }

    private PutResult record(String key, StoredObject after, String nonce) {
        storeVersion++;
        StoredObject before = after == null ? objects.remove(key) : objects.put(key, after);
        Change change = new Change(key, storeVersion, Optional.ofNullable(after).map(StoredObject::value), nonce);
        history.addLast(new HistoryEntry(change, before));
        if (history.size() > MAX_HISTORY_ENTRIES) {
            historyStartVersion = history.removeFirst().change().version();
        }
        for (Watcher watcher : List.copyOf(watchers)) {
            watcher.offer(change);
        }
        return new PutResult.Written(storeVersion);
    }

    private record View(TreeMap<String, StoredObject> objects, long version) {}

    private record HistoryEntry(Change change, StoredObject before) {}

    private final class Watcher {
        private final String prefix;
        private final long fromVersion;
        private final MultiEmitter<? super Change> emitter;
        private long lastDeliveryMs;

        private Watcher(String prefix, long fromVersion, MultiEmitter<? super Change> emitter) {
            this.prefix = prefix;
            this.fromVersion = fromVersion;
            this.emitter = emitter;
        }

        private void start() {
            if (faults.isDown()) {
                fail(Kind.NO_EFFECT, "platform is unavailable");
            } else if (fromVersion < historyStartVersion) {
                fail(Kind.HISTORY_EXPIRED, "history after version " + fromVersion + " has expired");
            } else if (!emitter.isCancelled()) {
                watchers.add(this);
                for (HistoryEntry entry : history) {
                    offer(entry.change());
                }
            }
        }

        private void offer(Change change) {
            if (change.version() > fromVersion && change.key().startsWith(prefix)) {
                // A watch is one ordered stream, so a change is never delivered before an earlier one.
                lastDeliveryMs = Math.max(lastDeliveryMs, scheduler.nowMs() + latencyMs());
                scheduler.schedule(lastDeliveryMs - scheduler.nowMs(), () -> {
                    if (faults.isDown()) {
                        fail(Kind.NO_EFFECT, "platform is unavailable");
                    } else if (!faults.dropsChange()) {
                        emitter.emit(change);
                    }
                });
            }
        }

        private void fail(Kind kind, String message) {
            watchers.remove(this);
            emitter.fail(new PlatformException(kind, message, null));
        }
    }
}

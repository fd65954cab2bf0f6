package io.radishwinch.cluster.platform;

import io.radishwinch.cluster.platform.PlatformClient.Change;
import io.radishwinch.cluster.platform.PlatformClient.Page;
import io.radishwinch.cluster.platform.PlatformClient.StoredObject;
import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Follows the objects under a prefix: lists them, watches from the version of the listing, and lists them again when
 * the watch breaks, and at intervals in case the watch missed a change.
 *
 * <p>The receiver gets the versions of each key in increasing order only. A listing older than any version seen before
 * is discarded, so a stale read never lowers a version and never restores a deleted object.
 */
public final class WatchFollower {
    private static final int PAGE_OBJECTS = 200;
    private static final long INITIAL_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 10_000;
    private static final long RELIST_INTERVAL_MS = Duration.ofMinutes(5).toMillis();

    private final PlatformClient platform;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final String prefix;
    private final Receiver receiver;
    private final long maxBackoffMs;

    private final Map<String, Long> versions = new HashMap<>();
    private final Set<String> presentKeys = new HashSet<>();
    private long seenVersion;
    private long backoffMs = INITIAL_BACKOFF_MS;
    private boolean isRunning;
    private boolean isWatchWanted;
    private boolean isCurrent;
    private boolean isListingDiscarded;
    private Cancellable watch;
    private Scheduler.Timer timer;

    /** Receives the listings and changes. */
    @FunctionalInterface
    public interface Receiver {

        /** Called when a key changed. A key that a new listing lacks is reported as deleted. */
        void onChange(Change change);

        /**
         * Called after all objects under the prefix were listed and before their changes are reported. Objects that the
         * receiver knows from another source and that are missing were deleted.
         *
         * @param objects all objects
         * @param storeVersion lowest store version of all pages
         */
        default void onListing(Collection<StoredObject> objects, long storeVersion) {}

        /**
         * Called for the first of several listings in a row that are discarded because the store was read at an earlier
         * version than before.
         *
         * @param storeVersion lowest store version of all pages
         * @param neededVersion lowest store version of a listing that is accepted
         */
        default void onListingDiscarded(long storeVersion, long neededVersion) {}
    }

    /**
     * Creates a stopped follower.
     *
     * @param receiver receives every listing and change
     */
    public WatchFollower(
            PlatformClient platform, Scheduler scheduler, RandomGenerator random, String prefix, Receiver receiver) {
        this(platform, scheduler, random, prefix, receiver, MAX_BACKOFF_MS);
    }

    /**
     * Creates a stopped follower.
     *
     * @param receiver receives every listing and change
     * @param maxBackoffMs maximum backoff while the platform fails, in ms
     */
    public WatchFollower(
            PlatformClient platform,
            Scheduler scheduler,
            RandomGenerator random,
            String prefix,
            Receiver receiver,
            long maxBackoffMs) {
        this.platform = platform;
        this.scheduler = scheduler;
        this.random = random;
        this.prefix = prefix;
        this.receiver = receiver;
        this.maxBackoffMs = maxBackoffMs;
    }

    /** Starts listing and watching. */
    public void start() {
        isWatchWanted = true;
        run();
    }

    /** Lists the objects once, as often as needed until a listing succeeds, without watching them afterwards. */
    public void listOnce() {
        run();
    }

    private void run() {
        if (!isRunning) {
            isRunning = true;
            list();
        }
    }

    /** Stops listing and watching. The versions seen so far are kept for a later start. */
    public void stop() {
        isRunning = false;
        isWatchWanted = false;
        isCurrent = false;
        endWatch();
        if (timer != null) {
            timer.cancel();
        }
    }

    /** Returns whether the objects are watched and the platform has not failed since they were last listed. */
    public boolean isCurrent() {
        return isCurrent;
    }

    /** Returns the highest store version seen. */
    public long seenVersion() {
        return seenVersion;
    }

    private void list() {
        list("", new HashMap<>(), Long.MAX_VALUE, seenVersion);
    }

    private void list(String afterKey, Map<String, StoredObject> found, long lowestVersion, long neededVersion) {
        platform.list(prefix, afterKey, PAGE_OBJECTS)
                .subscribe()
                .with(page -> receivePage(page, found, lowestVersion, neededVersion), failure -> retry());
    }

    private void receivePage(Page page, Map<String, StoredObject> found, long lowestBefore, long neededVersion) {
        try {
            onPage(page, found, lowestBefore, neededVersion);
        } catch (RuntimeException e) {
            // Neither a watch nor a timer would continue a follower whose receiver failed.
            retry();
            throw e;
        }
    }

    private void onPage(Page page, Map<String, StoredObject> found, long lowestBefore, long neededVersion) {
        if (!isRunning) {
            return;
        }
        boolean isFirstPage = lowestBefore == Long.MAX_VALUE;
        if (!isFirstPage && StoreVersion.era(lowestBefore) != StoreVersion.era(page.storeVersion())) {
            // Pages read before and after a restore do not form one listing.
            retry();
            return;
        }
        long lowestVersion = Math.min(lowestBefore, page.storeVersion());
        List<StoredObject> objects = page.objects();
        objects.forEach(object -> found.put(object.key(), object));
        if (page.hasMore()) {
            list(objects.get(objects.size() - 1).key(), found, lowestVersion, neededVersion);
        } else if (lowestVersion < neededVersion) {
            if (!isListingDiscarded) {
                isListingDiscarded = true;
                receiver.onListingDiscarded(lowestVersion, neededVersion);
            }
            retry();
        } else {
            onListed(found, lowestVersion);
        }
    }

    private void onListed(Map<String, StoredObject> found, long listedVersion) {
        isListingDiscarded = false;
        receiver.onListing(found.values(), listedVersion);
        found.values()
                .forEach(object -> applyChange(
                        new Change(object.key(), object.version(), Optional.of(object.value()), object.nonce())));
        for (String key : Set.copyOf(presentKeys)) {
            if (!found.containsKey(key)) {
                applyChange(new Change(key, listedVersion, Optional.empty(), ""));
            }
        }
        seenVersion = Math.max(seenVersion, listedVersion);
        // Listings older than this one are discarded, so versions of objects deleted before it are no longer needed.
        versions.keySet().removeIf(key -> !presentKeys.contains(key) && versions.get(key) <= listedVersion);
        backoffMs = INITIAL_BACKOFF_MS;
        if (!isWatchWanted) {
            isRunning = false;
            return;
        }
        isCurrent = true;
        watchFrom(listedVersion);
        schedule(RELIST_INTERVAL_MS / 2 + random.nextLong(RELIST_INTERVAL_MS), this::list);
    }

    private void watchFrom(long version) {
        endWatch();
        watch = platform.watch(prefix, version).subscribe().with(this::applyChange, failure -> retry(), this::retry);
    }

    private void endWatch() {
        if (watch != null) {
            watch.cancel();
            watch = null;
        }
    }

    private void applyChange(Change change) {
        seenVersion = Math.max(seenVersion, change.version());
        if (change.version() <= versions.getOrDefault(change.key(), 0L)) {
            return;
        }
        backoffMs = INITIAL_BACKOFF_MS;
        versions.put(change.key(), change.version());
        if (change.value().isPresent()) {
            presentKeys.add(change.key());
        } else {
            presentKeys.remove(change.key());
        }
        receiver.onChange(change);
    }

    /** Lists again, because only a listing shows that no change was missed. */
    private void retry() {
        isCurrent = false;
        if (isRunning) {
            schedule(nextBackoffMs(), this::list);
        }
    }

    private long nextBackoffMs() {
        long delayMs = backoffMs / 2 + random.nextLong(backoffMs);
        backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
        return delayMs;
    }

    private void schedule(long delayMs, Runnable task) {
        if (timer != null) {
            timer.cancel();
        }
        timer = scheduler.schedule(delayMs, () -> {
            if (isRunning) {
                task.run();
            }
        });
    }
}

package io.radishwinch.cluster.configuration;

import io.radishwinch.cluster.membership.RendezvousHash;
import io.radishwinch.cluster.platform.PlatformClient;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Configuration in effect at one router.
 *
 * <p>The version of an object only increases, whatever the source and order of the offers. Deletions are kept as
 * tombstones with their version, so that a stale write cannot restore an object. An invalid object is rejected as a
 * whole, and its last valid version stays in effect. Not thread-safe.
 */
public final class ConfigurationStore {

    /** Maximum number of objects in effect. */
    public static final int MAX_OBJECTS = 10_000;

    /** Maximum number of tombstones. The oldest quarter is evicted above it. */
    public static final int MAX_TOMBSTONES = 10_000;

    /**
     * Maximum size of an object, in bytes. It exceeds the largest value of a platform, so that an object that the
     * platform accepted is not rejected for its size, also if its encoding here is longer.
     */
    public static final int MAX_OBJECT_BYTES = 2 * PlatformClient.MAX_VALUE_BYTES;

    /** Maximum total size of all objects, in bytes. */
    public static final long MAX_TOTAL_BYTES = 64L * 1024 * 1024;

    private static final int MAX_REJECTED = 1_000;

    private final ConfigurationValidator validator;
    private final ChangeListener listener;
    private final Consumer<String> evictedTombstoneListener;
    private final Consumer<RejectedObject> rejectionListener;
    private final Map<String, ConfigurationObject> objects = new TreeMap<>();
    private final Map<String, RejectedObject> rejected = new TreeMap<>();
    /** Highest version of an evicted tombstone, by kind of object; the versions of different kinds may not compare. */
    private final Map<String, Long> evictedTombstoneVersions = new HashMap<>();

    private long totalBytes;
    private int tombstoneCount;
    private long versionInEffect;
    private long fingerprint;

    /** Receives the objects and deletions that take effect. */
    @FunctionalInterface
    public interface ChangeListener {

        /**
         * Called for each object or deletion that takes effect.
         *
         * @param hasOtherContent false if only the version differs from that of the object before, as after a restore
         *     of the platform
         */
        void onChanged(ConfigurationObject object, boolean hasOtherContent);
    }

    /** Result of an offer. */
    public enum Outcome {
        /** The object took effect. */
        IN_EFFECT,
        /** The same or a higher version is in effect. */
        STALE,
        /** The object is invalid; the last valid version stays in effect. */
        INVALID,
        /** The object exceeds a limit on number or size; the last valid version stays in effect. */
        LIMIT_EXCEEDED
    }

    /**
     * Creates an empty store.
     *
     * @param validator validator of objects
     * @param listener called for each object or deletion that takes effect
     * @param evictedTombstoneListener called with the key of each evicted tombstone
     * @param rejectionListener called once for each version of an object that is rejected
     */
    public ConfigurationStore(
            ConfigurationValidator validator,
            ChangeListener listener,
            Consumer<String> evictedTombstoneListener,
            Consumer<RejectedObject> rejectionListener) {
        this.validator = validator;
        this.listener = listener;
        this.evictedTombstoneListener = evictedTombstoneListener;
        this.rejectionListener = rejectionListener;
    }

    /**
     * Offers an object from the platform or a peer.
     *
     * @param value content, or null for a deletion; must not be modified afterwards
     */
    public Outcome offer(String key, long version, byte[] value) {
        ConfigurationObject known = objects.get(key);
        if (known == null
                ? version <= evictedTombstoneVersions.getOrDefault(kindOf(key), 0L)
                : version <= known.version()) {
            return Outcome.STALE;
        }
        if (value != null) {
            Optional<String> violation = exceededLimit(known, value);
            if (violation.isPresent()) {
                reject(key, version, violation.get());
                return Outcome.LIMIT_EXCEEDED;
            }
            Optional<String> problem = validator.problem(key, value);
            if (problem.isPresent()) {
                reject(key, version, problem.get());
                return Outcome.INVALID;
            }
        }
        put(new ConfigurationObject(key, version, value));
        return Outcome.IN_EFFECT;
    }

    /**
     * Offers a complete listing. Known objects under the prefix that the listing lacks are deleted if their version is
     * lower than that of the listing.
     *
     * @param storeVersion lowest store version of all pages of the listing
     */
    public void offerListing(String prefix, List<ConfigurationObject> listing, long storeVersion) {
        Set<String> listed = new HashSet<>();
        for (ConfigurationObject object : listing) {
            listed.add(object.key());
            offer(object.key(), object.version(), object.value());
        }
        for (ConfigurationObject known : List.copyOf(objects.values())) {
            boolean isMissing = known.key().startsWith(prefix) && !listed.contains(known.key()) && !known.isDeleted();
            if (isMissing && known.version() < storeVersion) {
                offer(known.key(), storeVersion, null);
            }
        }
    }

    /** Returns an object in effect, or empty if there is none. */
    public Optional<ConfigurationObject> object(String key) {
        return Optional.ofNullable(objects.get(key)).filter(object -> !object.isDeleted());
    }

    /** Returns all objects in effect, ordered by key. */
    public List<ConfigurationObject> objects() {
        return objects.values().stream().filter(object -> !object.isDeleted()).toList();
    }

    /** Returns whether this version of the object or of its deletion is in effect. */
    public boolean hasVersion(String key, long version) {
        ConfigurationObject known = objects.get(key);
        return known != null && known.version() == version;
    }

    /** Returns the highest platform version that took effect, including deletions. */
    public long versionInEffect() {
        return versionInEffect;
    }

    /** Returns a hash of all keys and versions in effect, which is equal at routers with the same configuration. */
    public long fingerprint() {
        return fingerprint;
    }

    /** Returns the newest rejected version of each object, unless a later version took effect. */
    public List<RejectedObject> rejected() {
        return List.copyOf(rejected.values());
    }

    private Optional<String> exceededLimit(ConfigurationObject known, byte[] value) {
        boolean isAdded = known == null || known.isDeleted();
        long othersBytes = totalBytes - (isAdded ? 0 : known.value().length);
        if (value.length > MAX_OBJECT_BYTES) {
            return Optional.of("object has " + value.length + " bytes, expected at most " + MAX_OBJECT_BYTES);
        } else if (othersBytes + value.length > MAX_TOTAL_BYTES) {
            return Optional.of(
                    "all objects have " + (othersBytes + value.length) + " bytes, expected at most " + MAX_TOTAL_BYTES);
        } else if (isAdded && objects.size() - tombstoneCount >= MAX_OBJECTS) {
            return Optional.of("there are " + MAX_OBJECTS + " objects already, the maximum");
        }
        return Optional.empty();
    }

    private static String kindOf(String key) {
        int slash = key.indexOf('/');
        return slash < 0 ? "" : key.substring(0, slash);
    }

    private void reject(String key, long version, String problem) {
        RejectedObject before = rejected.get(key);
        boolean isNewer = before == null ? rejected.size() < MAX_REJECTED : before.version() < version;
        if (isNewer) {
            RejectedObject object = new RejectedObject(key, version, problem);
            rejected.put(key, object);
            rejectionListener.accept(object);
        }
    }

    private void put(ConfigurationObject object) {
        ConfigurationObject replaced = objects.put(object.key(), object);
        updateTotals(replaced, -1);
        updateTotals(object, 1);
        versionInEffect = Math.max(versionInEffect, object.version());
        RejectedObject before = rejected.get(object.key());
        if (before != null && before.version() <= object.version()) {
            rejected.remove(object.key());
        }
        if (tombstoneCount > MAX_TOMBSTONES) {
            evictOldTombstones();
        }
        listener.onChanged(object, replaced == null || !Arrays.equals(replaced.value(), object.value()));
    }

    private void updateTotals(ConfigurationObject object, int sign) {
        if (object == null) {
            return;
        }
        if (object.isDeleted()) {
            tombstoneCount += sign;
        } else {
            totalBytes += (long) sign * object.value().length;
        }
        fingerprint ^= RendezvousHash.mix(RendezvousHash.hash(object.key()) + RendezvousHash.mix(object.version()));
    }

    /** Evicts the oldest tombstones. Later offers of unknown objects up to their highest version are stale. */
    private void evictOldTombstones() {
        List<ConfigurationObject> deleted = new ArrayList<>();
        objects.values().stream().filter(ConfigurationObject::isDeleted).forEach(deleted::add);
        deleted.sort(Comparator.comparingLong(ConfigurationObject::version));
        for (ConfigurationObject object : deleted.subList(0, MAX_TOMBSTONES / 4)) {
            objects.remove(object.key());
            updateTotals(object, -1);
            evictedTombstoneListener.accept(object.key());
            evictedTombstoneVersions.merge(kindOf(object.key()), object.version(), Math::max);
        }
    }
}

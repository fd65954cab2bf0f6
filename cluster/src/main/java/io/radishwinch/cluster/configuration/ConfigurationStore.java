package io.radishwinch.cluster.configuration;

import io.radishwinch.cluster.membership.RendezvousHash;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The configuration in effect at one router.
 *
 * <p>Each object only ever moves to a higher platform version, whatever source offers it and in whatever order.
 * Deletions stay as tombstones with their version, so that an older write cannot bring an object back. An invalid
 * object is refused whole and the last good one stays in effect. Not thread-safe.
 */
public final class ConfigurationStore {

    /** Largest number of objects in effect. */
    public static final int MAX_OBJECTS = 10_000;

    /** Largest number of tombstones; the oldest quarter is dropped beyond it. */
    public static final int MAX_TOMBSTONES = 10_000;

    /** Largest object, in bytes. */
    public static final int MAX_OBJECT_BYTES = 1_000_000;

    /** Largest sum of all objects, in bytes. */
    public static final long MAX_TOTAL_BYTES = 64L * 1024 * 1024;

    private static final int MAX_REJECTED = 1_000;

    private final ConfigurationValidator validator;
    private final Consumer<ConfigurationObject> listener;
    private final Consumer<String> evictedTombstoneListener;
    private final Map<String, ConfigurationObject> objects = new TreeMap<>();
    private final Map<String, RejectedObject> rejected = new TreeMap<>();
    private long totalBytes;
    private int tombstoneCount;
    private long versionInEffect;
    private long evictedTombstoneVersion;
    private long fingerprint;

    /** Result of an offer. */
    public enum Outcome {
        /** The object is in effect now. */
        IN_EFFECT,
        /** The same or a higher version is in effect. */
        STALE,
        /** The object is invalid; the last good one stays. */
        INVALID,
        /** A bound on number or size is reached; the last good one stays. */
        LIMIT_EXCEEDED
    }

    /**
     * Creates an empty store.
     *
     * @param listener told about each object that took effect, deletions included
     * @param forgotten told the key of each tombstone that is dropped because there are too many
     */
    public ConfigurationStore(
            ConfigurationValidator validator, Consumer<ConfigurationObject> listener, Consumer<String> forgotten) {
        this.validator = validator;
        this.listener = listener;
        this.evictedTombstoneListener = forgotten;
    }

    // Inputs

    /**
     * Offers an object from the platform or a peer.
     *
     * @param value content, or null for a deletion; not modified afterwards
     */
    public Outcome offer(String key, long version, byte[] value) {
        ConfigurationObject known = objects.get(key);
        if (known == null ? version <= evictedTombstoneVersion : version <= known.version()) {
            return Outcome.STALE;
        }
        if (value != null) {
            Outcome bound = checkBounds(known, value);
            if (bound != null) {
                reject(key, version, "object is above the bound on number or size");
                return bound;
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
     * Offers a complete listing. Known objects under the prefix that are missing from it and not newer than the listing
     * were deleted.
     *
     * @param storeVersion version of the platform's store at the start of the listing, the lowest of all its pages
     */
    public void offerListing(String prefix, List<ConfigurationObject> listing, long storeVersion) {
        Set<String> listed = new HashSet<>();
        for (ConfigurationObject object : listing) {
            listed.add(object.key());
            offer(object.key(), object.version(), object.value());
        }
        for (ConfigurationObject known : List.copyOf(objects.values())) {
            boolean missing = known.key().startsWith(prefix) && !listed.contains(known.key()) && !known.isDeleted();
            if (missing && known.version() < storeVersion) {
                offer(known.key(), storeVersion, null);
            }
        }
    }

    // Views

    /** Returns an object in effect, or empty if there is none. */
    public Optional<ConfigurationObject> object(String key) {
        return Optional.ofNullable(objects.get(key)).filter(object -> !object.isDeleted());
    }

    /** Returns all objects in effect, by key. */
    public List<ConfigurationObject> objects() {
        return objects.values().stream().filter(object -> !object.isDeleted()).toList();
    }

    /** Returns whether this version of the object, or its deletion, is in effect. */
    public boolean hasVersion(String key, long version) {
        ConfigurationObject known = objects.get(key);
        return known != null && known.version() == version;
    }

    /** Returns the highest platform version that took effect, deletions included. */
    public long versionInEffect() {
        return versionInEffect;
    }

    /** Returns a hash of all keys and versions in effect; equal at routers with the same configuration. */
    public long fingerprint() {
        return fingerprint;
    }

    /** Returns the newest refused version of each object whose last good version is older. */
    public List<RejectedObject> rejected() {
        return List.copyOf(rejected.values());
    }

    // Internals

    private Outcome checkBounds(ConfigurationObject known, byte[] value) {
        int knownBytes = known == null || known.isDeleted() ? 0 : known.value().length;
        boolean adds = known == null || known.isDeleted();
        boolean above = value.length > MAX_OBJECT_BYTES
                || totalBytes - knownBytes + value.length > MAX_TOTAL_BYTES
                || (adds && objects.size() - tombstoneCount >= MAX_OBJECTS);
        return above ? Outcome.LIMIT_EXCEEDED : null;
    }

    private void reject(String key, long version, String problem) {
        RejectedObject before = rejected.get(key);
        boolean newer = before == null ? rejected.size() < MAX_REJECTED : before.version() < version;
        if (newer) {
            rejected.put(key, new RejectedObject(key, version, problem));
        }
    }

    private void put(ConfigurationObject object) {
        updateTotals(objects.put(object.key(), object), -1);
        updateTotals(object, 1);
        versionInEffect = Math.max(versionInEffect, object.version());
        RejectedObject before = rejected.get(object.key());
        if (before != null && before.version() <= object.version()) {
            rejected.remove(object.key());
        }
        if (tombstoneCount > MAX_TOMBSTONES) {
            evictOldTombstones();
        }
        listener.accept(object);
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

    /** Drops the oldest tombstones; unknown objects up to their versions are refused from then on. */
    private void evictOldTombstones() {
        List<ConfigurationObject> deleted = new ArrayList<>();
        objects.values().stream().filter(ConfigurationObject::isDeleted).forEach(deleted::add);
        deleted.sort(Comparator.comparingLong(ConfigurationObject::version));
        for (ConfigurationObject object : deleted.subList(0, MAX_TOMBSTONES / 4)) {
            objects.remove(object.key());
            updateTotals(object, -1);
            evictedTombstoneListener.accept(object.key());
            evictedTombstoneVersion = Math.max(evictedTombstoneVersion, object.version());
        }
    }
}

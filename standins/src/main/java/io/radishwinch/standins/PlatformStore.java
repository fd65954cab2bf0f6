package io.radishwinch.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Stores the objects of the platform stand-in with one version counter and a bounded history of changes. */
final class PlatformStore {
    private final int maxHistory;
    private final NavigableMap<String, StoredValue> objects = new TreeMap<>();
    private final ArrayDeque<StoredValue> history = new ArrayDeque<>();
    private long version;
    private long era;
    private long oldestWatchable;

    PlatformStore(int maxHistory) {
        this.maxHistory = maxHistory;
    }

    /** Contents of the store at an earlier moment. */
    record Copy(Map<String, StoredValue> objects, long version) {}

    /** Returns a copy to restore the store from. */
    Copy copy() {
        return new Copy(new TreeMap<>(objects), version);
    }

    /** Restores an earlier copy; the next writes get the versions of the lost ones, and the era increases. */
    void restore(Copy copy) {
        objects.clear();
        objects.putAll(copy.objects);
        version = copy.version;
        history.removeIf(change -> change.version > version);
        oldestWatchable = Math.min(oldestWatchable, version);
        era++;
    }

    /** Returns the number of times that the store was restored. */
    long era() {
        return era;
    }

    StoredValue get(String key) {
        return objects.get(key);
    }

    long version() {
        return version;
    }

    /** Returns the version of an object, or 0 if it does not exist. */
    long versionOf(String key) {
        StoredValue object = objects.get(key);
        return object == null ? 0 : object.version;
    }

    /** Writes an object, or deletes it if the value is null; returns the change. */
    StoredValue write(String key, byte[] value, String nonce) {
        StoredValue object = new StoredValue(key, ++version, value, nonce);
        if (value == null) {
            objects.remove(key);
        } else {
            objects.put(key, object);
        }
        history.add(object);
        trim(maxHistory);
        return object;
    }

    /** Drops the oldest changes until at most {@code maxChanges} remain. */
    void trim(int maxChanges) {
        while (history.size() > maxChanges) {
            oldestWatchable = history.remove().version;
        }
    }

    /** Returns whether the history holds all changes after the given version. */
    boolean isWatchable(long from) {
        return from >= oldestWatchable && from <= version;
    }

    List<StoredValue> changesAfter(long from, String prefix) {
        List<StoredValue> changes = new ArrayList<>();
        for (StoredValue change : history) {
            if (change.version > from && change.key.startsWith(prefix)) {
                changes.add(change);
            }
        }
        return changes;
    }

    /** Returns up to {@code limit + 1} objects; the additional one shows that there are more. */
    List<StoredValue> list(String prefix, String after, int limit) {
        List<StoredValue> page = new ArrayList<>();
        String start = after.compareTo(prefix) > 0 ? after : prefix;
        for (Map.Entry<String, StoredValue> entry : objects.tailMap(start, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix) || page.size() > limit) {
                break;
            }
            if (entry.getKey().compareTo(after) > 0) {
                page.add(entry.getValue());
            }
        }
        return page;
    }

    /** One version of an object; the value is null for a deletion. */
    record StoredValue(String key, long version, byte[] value, String nonce) {
        ObjectNode toJson() {
            ObjectNode node = Json.object();
            node.put("key", key);
            node.put("version", version);
            node.put("nonce", nonce);
            node.put("value", value == null ? null : Base64.getEncoder().encodeToString(value));
            return node;
        }
    }
}

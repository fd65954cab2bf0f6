package io.radishwinch.core.quarantine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Bounded map whose entries expire; evicts the oldest entry when it is full. */
final class ExpiringMap<V> {

    private record ExpiringValue<V>(V value, long expiresAtMs) {}

    private final int maxEntries;
    private final LinkedHashMap<String, ExpiringValue<V>> entries = new LinkedHashMap<>();

    ExpiringMap(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    /** Returns the value, or null if there is none or it has expired. */
    V get(String key, long nowMs) {
        ExpiringValue<V> timed = entries.get(key);
        if (timed != null && timed.expiresAtMs() <= nowMs) {
            entries.remove(key);
            return null;
        }
        return timed == null ? null : timed.value();
    }

    void put(String key, V value, long expiresAtMs) {
        entries.remove(key);
        entries.put(key, new ExpiringValue<>(value, expiresAtMs));
        if (entries.size() > maxEntries) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    void remove(String key) {
        entries.remove(key);
    }

    /** Removes expired entries in insertion order, up to the first one that has not expired. */
    void expire(long nowMs) {
        var iterator = entries.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<String, ExpiringValue<V>> oldest = iterator.next();
            if (oldest.getValue().expiresAtMs() > nowMs) {
                return;
            }
            iterator.remove();
        }
    }

    /** Returns the values in insertion order, including expired ones that have not been removed. */
    List<V> values() {
        return entries.values().stream().map(ExpiringValue::value).toList();
    }

    int size() {
        return entries.size();
    }
}

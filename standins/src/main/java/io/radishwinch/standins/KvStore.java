package io.radishwinch.standins;

import io.radishwinch.core.model.LayerRange;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Bounded KV cache, keyed by request, that evicts the least recently used request. */
final class KvStore {
    /** Size of the exported KV cache of one token, in bytes. */
    static final int EXPORT_BYTES_PER_TOKEN = 16;

    private static final int MAX_REQUESTS = 8_192;

    private final int maxTokens;
    private final Map<String, Entry> entries = new LinkedHashMap<>(64, 0.75f, true);
    private long totalTokens;

    KvStore(int maxTokens) {
        this.maxTokens = maxTokens;
    }

    /** Returns the number of cached tokens of a request, or 0 unless the cache covers all of the layers. */
    int heldTokens(String requestId, LayerRange layers) {
        Entry entry = entries.get(requestId);
        return entry == null || !entry.layers.contains(layers) ? 0 : entry.tokens;
    }

    /** Replaces the cached tokens of a request and evicts other requests beyond the capacity. */
    void put(String requestId, LayerRange layers, int newTokens) {
        Entry entry = entries.get(requestId);
        if (entry != null && entry.layers.equals(layers)) {
            totalTokens += newTokens - entry.tokens;
            entry.tokens = newTokens;
        } else {
            totalTokens += newTokens - (entry == null ? 0 : entry.tokens);
            entries.put(requestId, new Entry(layers, newTokens));
        }
        Iterator<Entry> oldest = entries.values().iterator();
        while (entries.size() > MAX_REQUESTS || (totalTokens > maxTokens && entries.size() > 1)) {
            totalTokens -= oldest.next().tokens;
            oldest.remove();
        }
    }

    long freeTokens() {
        return Math.max(0, maxTokens - totalTokens);
    }

    void clear() {
        entries.clear();
        totalTokens = 0;
    }

    /** The cached layers and tokens of one request. */
    private static final class Entry {
        private final LayerRange layers;
        private int tokens;

        Entry(LayerRange layers, int tokens) {
            this.layers = layers;
            this.tokens = tokens;
        }
    }
}

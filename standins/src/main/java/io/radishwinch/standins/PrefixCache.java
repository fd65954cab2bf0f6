package io.radishwinch.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bounded prompt-prefix cache that evicts the least recently used block.
 *
 * <p>Publishes its changes as events with a delay, and can lose events to produce gaps in their sequence numbers.
 */
final class PrefixCache {
    private static final int MAX_EVENTS = 4_096;
    private static final int MAX_EVENTS_PER_RESPONSE = 512;

    private final int maxBlocks;
    private final EngineConfig.Timing timing;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(64, 0.75f, true);
    private final ArrayDeque<CacheEvent> events = new ArrayDeque<>();
    private long nextSequence = 1;

    PrefixCache(int maxBlocks, EngineConfig.Timing timing) {
        this.maxBlocks = maxBlocks;
        this.timing = timing;
    }

    /** Returns the number of leading blocks that are cached, and caches the remaining blocks. */
    int lookUpAndAdd(List<Long> hashes, long nowMs) {
        int held = 0;
        while (held < hashes.size() && blocks.get(hashes.get(held)) != null) {
            held++;
        }
        List<Long> added = new ArrayList<>(hashes.subList(held, hashes.size()));
        if (added.isEmpty()) {
            return held;
        }
        added.forEach(hash -> blocks.put(hash, Boolean.TRUE));
        List<Long> removed = new ArrayList<>();
        Iterator<Long> oldest = blocks.keySet().iterator();
        while (blocks.size() > maxBlocks) {
            removed.add(oldest.next());
            oldest.remove();
        }
        long sequence = nextSequence++;
        boolean isLost = timing.cacheEventLossInterval() > 0 && sequence % timing.cacheEventLossInterval() == 0;
        if (!isLost) {
            events.add(new CacheEvent(sequence, added, removed, nowMs + timing.cacheEventDelayMs()));
            if (events.size() > MAX_EVENTS) {
                events.remove();
            }
        }
        return held;
    }

    int size() {
        return blocks.size();
    }

    void clear() {
        blocks.clear();
    }

    /** Returns the response body with the visible events after a sequence number. */
    ObjectNode eventsAfter(long from, long nowMs) {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("events");
        long next = from;
        boolean hasGap = from >= nextSequence;
        if (hasGap) {
            // The sequence number precedes a restart, so the events are returned from the first one.
            next = 0;
        }
        for (CacheEvent event : events) {
            if (event.sequence <= next) {
                continue;
            }
            if (event.visibleAtMs > nowMs || list.size() >= MAX_EVENTS_PER_RESPONSE) {
                break;
            }
            hasGap |= event.sequence != next + 1;
            next = event.sequence;
            ObjectNode node = list.addObject();
            node.put("seq", event.sequence);
            event.added.forEach(node.putArray("added")::add);
            event.removed.forEach(node.putArray("removed")::add);
        }
        body.put("gap", hasGap);
        body.put("next", next);
        return body;
    }

    /** Blocks that one lookup added and evicted. */
    private record CacheEvent(long sequence, List<Long> added, List<Long> removed, long visibleAtMs) {}
}

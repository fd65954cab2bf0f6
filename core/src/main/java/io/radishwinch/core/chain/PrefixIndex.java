package io.radishwinch.core.chain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Index of the prompt prefixes that endpoints are known to hold in their caches.
 *
 * <p>Cache reports are delayed, so a prefix counts as probably held as soon as this router sends it. Cache reports can
 * be lost, so each reported gap halves the confidence in all earlier information on the endpoint.
 */
final class PrefixIndex {

    /** Maximum number of prefixes for each endpoint; the oldest is evicted first. */
    static final int MAX_PREFIXES_PER_ENDPOINT = 512;

    /** Maximum number of endpoints for each prefix, and of matches returned to the planner. */
    static final int MAX_HOLDERS = 8;

    /** Maximum number of pairs of prefix and endpoint in the index, about 20 MB. */
    private static final int MAX_PAIRS = 200_000;

    /** Maximum number of prefixes looked up for one request, longest first. */
    private static final int MAX_LOOKUPS = 32;

    /**
     * Factor on the confidence for each gap, and for a prefix sent by this router that the endpoint has not confirmed.
     */
    private static final double CONFIDENCE_PER_GAP = 0.5;

    private final Map<Long, List<EndpointRow>> holders = new HashMap<>();
    private int pairCount;

    /**
     * Match of a prompt with the cache of an endpoint; {@code fraction} is the matching share of the prompt, weighted
     * by confidence.
     */
    record Match(EndpointRow row, double fraction) {}

    /** Applies a cache report. */
    void applyCacheReport(EndpointRow row, List<Long> added, List<Long> removed, boolean hasGap) {
        if (hasGap) {
            row.cacheGapCount++;
        }
        removed.forEach(hash -> remove(row, hash));
        added.forEach(hash -> add(row, hash, row.cacheGapCount));
    }

    /** Records prefixes that this router sent to an endpoint, with the same confidence as after one gap. */
    void recordSentPrefixes(EndpointRow row, List<Long> hashes) {
        for (Long hash : hashes) {
            if (!row.gapCountsByPrefixHash.containsKey(hash)) {
                add(row, hash, row.cacheGapCount - 1);
            }
        }
    }

    /** Removes all prefixes of an endpoint. */
    void removeAll(EndpointRow row) {
        List.copyOf(row.gapCountsByPrefixHash.keySet()).forEach(hash -> remove(row, hash));
    }

    /** Returns the endpoints with the longest matching prefixes, longest first. */
    List<Match> matches(List<Long> prefixHashes) {
        if (prefixHashes.isEmpty() || pairCount == 0) {
            return List.of();
        }
        List<Match> matches = new ArrayList<>();
        int shortest = Math.max(0, prefixHashes.size() - MAX_LOOKUPS);
        for (int i = prefixHashes.size() - 1; i >= shortest && matches.size() < MAX_HOLDERS; i--) {
            Long hash = prefixHashes.get(i);
            double fraction = (i + 1.0) / prefixHashes.size();
            for (EndpointRow row : holders.getOrDefault(hash, List.of())) {
                if (matches.size() < MAX_HOLDERS && matches.stream().noneMatch(match -> match.row() == row)) {
                    int gaps = row.cacheGapCount - row.gapCountsByPrefixHash.get(hash);
                    matches.add(new Match(row, fraction * Math.pow(CONFIDENCE_PER_GAP, gaps)));
                }
            }
        }
        return matches;
    }

    private void add(EndpointRow row, Long hash, int gapsBefore) {
        if (row.gapCountsByPrefixHash.containsKey(hash)) {
            row.gapCountsByPrefixHash.put(hash, Math.max(gapsBefore, row.gapCountsByPrefixHash.get(hash)));
            return;
        }
        List<EndpointRow> rows = holders.computeIfAbsent(hash, key -> new ArrayList<>(2));
        if (rows.size() == MAX_HOLDERS) {
            remove(rows.get(0), hash);
            rows = holders.computeIfAbsent(hash, key -> new ArrayList<>(2));
        }
        if (row.gapCountsByPrefixHash.size() >= MAX_PREFIXES_PER_ENDPOINT || pairCount >= MAX_PAIRS) {
            Iterator<Long> oldest = row.gapCountsByPrefixHash.keySet().iterator();
            if (!oldest.hasNext()) {
                return;
            }
            remove(row, oldest.next());
            rows = holders.computeIfAbsent(hash, key -> new ArrayList<>(2));
        }
        rows.add(row);
        row.gapCountsByPrefixHash.put(hash, gapsBefore);
        pairCount++;
    }

    private void remove(EndpointRow row, Long hash) {
        if (row.gapCountsByPrefixHash.remove(hash) == null) {
            return;
        }
        pairCount--;
        List<EndpointRow> rows = holders.get(hash);
        rows.remove(row);
        if (rows.isEmpty()) {
            holders.remove(hash);
        }
    }
}

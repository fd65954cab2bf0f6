package io.radishwinch.core.chain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Prompt prefixes that endpoints hold in their caches, as far as this router knows.
 *
 * <p>Events are late, so a prefix counts as probably held as soon as this router sends it. Events have gaps, so each
 * gap halves the confidence in everything learned before it.
 */
final class PrefixIndex {

    /** Prefixes remembered for each endpoint; the oldest is dropped first. */
    static final int MAX_PREFIXES_PER_ENDPOINT = 512;

    /** Endpoints remembered for each prefix, and matches given to the planner. */
    static final int MAX_HOLDERS = 8;

    /** Pairs of prefix and endpoint over the whole table, about 20 MB. */
    private static final int MAX_PAIRS = 200_000;

    /** Prefixes looked up for one request, longest first. */
    private static final int MAX_LOOKUPS = 32;

    /** Confidence that is lost with each gap, and until a prefix sent by this router is confirmed. */
    private static final double CONFIDENCE_PER_GAP = 0.5;

    private final Map<Long, List<EndpointRow>> holders = new HashMap<>();
    private int pairCount;

    /** A match of a request's prompt with an endpoint's cache; the fraction is weighted by confidence. */
    record Match(EndpointRow row, double fraction) {}

    /** Applies a cache event. */
    void applyCacheReport(EndpointRow row, List<Long> added, List<Long> removed, boolean gap) {
        if (gap) {
            row.cacheGapCount++;
        }
        removed.forEach(hash -> remove(row, hash));
        added.forEach(hash -> add(row, hash, row.cacheGapCount));
    }

    /** Notes prefixes that this router sent to an endpoint, with the confidence of one gap. */
    void recordSentPrefixes(EndpointRow row, List<Long> hashes) {
        for (Long hash : hashes) {
            if (!row.gapCountsByPrefixHash.containsKey(hash)) {
                add(row, hash, row.cacheGapCount - 1);
            }
        }
    }

    /** Drops everything known of an endpoint. */
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

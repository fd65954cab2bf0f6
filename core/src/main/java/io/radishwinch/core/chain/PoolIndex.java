package io.radishwinch.core.chain;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Index of the holdings of one pool by layer boundary.
 *
 * <p>A boundary is a layer at which a holding starts or ends; chains change endpoints only at boundaries. Each boundary
 * has one candidate list per data centre with the ranges that contain the layer after the boundary and have a free
 * slot. A decision reads only the first entries of these lists, so its cost depends on the number of boundaries and not
 * on the number of endpoints.
 */
final class PoolIndex {

    /** Smallest weight of a new sample in the moving averages. */
    private static final double MIN_SAMPLE_WEIGHT = 0.002;

    private final List<HeldRange> heldRanges = new ArrayList<>();
    private int[] startCounts = new int[16];
    private int[] endCounts = new int[16];
    private CandidateList[][] candidateLists = new CandidateList[16][];
    private int dataCentreCount = 1;
    private double meanRequestTokens;
    private double generationShare = 1;
    private int completionCount;
    private int requestCount;
    private double meanNewTokens;

    List<HeldRange> heldRanges() {
        return heldRanges;
    }

    /** Returns the mean prompt and generated tokens of a request, 0 before the first request. */
    double meanRequestTokens() {
        return meanRequestTokens;
    }

    /** Returns the share of slot time that generates tokens; the remainder processes prompts. */
    double generationShare() {
        return generationShare;
    }

    void recordTokenTimes(double firstTokenMs, double tokenIntervalMs) {
        double generationMs = tokenIntervalMs * Math.max(1, meanNewTokens);
        if (firstTokenMs > tokenIntervalMs && tokenIntervalMs > 0) {
            double share = generationMs / (generationMs + firstTokenMs - tokenIntervalMs);
            completionCount = Math.min(completionCount + 1, (int) (1 / MIN_SAMPLE_WEIGHT));
            generationShare += (share - generationShare) / completionCount;
        }
    }

    void recordRequestSize(long tokens, long newTokens) {
        requestCount = Math.min(requestCount + 1, (int) (1 / MIN_SAMPLE_WEIGHT));
        meanRequestTokens += (tokens - meanRequestTokens) / requestCount;
        meanNewTokens += (newTokens - meanNewTokens) / requestCount;
    }

    int dataCentreCount() {
        return dataCentreCount;
    }

    /** Returns whether a holding starts at the layer. */
    boolean isStart(int layer) {
        return layer < startCounts.length && startCounts[layer] > 0;
    }

    /** Returns the candidates of a data centre that hold the layer, or null if there is no list. */
    CandidateList candidates(int layer, int dataCentre) {
        CandidateList[] lists = layer < candidateLists.length ? candidateLists[layer] : null;
        return lists == null || dataCentre >= lists.length ? null : lists[dataCentre];
    }

    /** Adds a range, which becomes a candidate only by {@link #list}. */
    void add(HeldRange entry) {
        heldRanges.add(entry);
        dataCentreCount = Math.max(dataCentreCount, entry.row.dataCentreIndex() + 1);
        ensureCapacity(entry.end + 1);
        startCounts[entry.first]++;
        endCounts[entry.end]++;
        addBoundary(entry.first);
        addBoundary(entry.end);
    }

    /** Removes a range from the index and from the candidate lists. */
    void remove(HeldRange entry) {
        unlist(entry);
        heldRanges.remove(entry);
        startCounts[entry.first]--;
        endCounts[entry.end]--;
        removeUnusedBoundary(entry.first);
        removeUnusedBoundary(entry.end);
    }

    /** Adds a range to the candidate lists with the given score, or moves it if its score changed. */
    void list(HeldRange entry, double score) {
        if (entry.isListed && entry.score == score) {
            return;
        }
        unlist(entry);
        entry.score = score;
        entry.isListed = true;
        for (int layer = entry.first; layer < entry.end; layer++) {
            if (candidateLists[layer] != null) {
                candidateList(layer, entry.row.dataCentreIndex()).add(entry);
            }
        }
    }

    /** Removes a range from the candidate lists, for example because its last slot is in use. */
    void unlist(HeldRange entry) {
        if (!entry.isListed) {
            return;
        }
        for (int layer = entry.first; layer < entry.end; layer++) {
            if (candidateLists[layer] != null) {
                candidateList(layer, entry.row.dataCentreIndex()).remove(entry);
            }
        }
        entry.isListed = false;
    }

    private CandidateList candidateList(int layer, int dataCentre) {
        if (dataCentre >= candidateLists[layer].length) {
            candidateLists[layer] = Arrays.copyOf(candidateLists[layer], dataCentre + 1);
        }
        if (candidateLists[layer][dataCentre] == null) {
            candidateLists[layer][dataCentre] = new CandidateList();
        }
        return candidateLists[layer][dataCentre];
    }

    private void addBoundary(int layer) {
        if (candidateLists[layer] != null) {
            return;
        }
        candidateLists[layer] = new CandidateList[dataCentreCount];
        for (HeldRange entry : heldRanges) {
            if (entry.isListed && entry.first <= layer && layer < entry.end) {
                candidateList(layer, entry.row.dataCentreIndex()).add(entry);
            }
        }
    }

    private void removeUnusedBoundary(int layer) {
        if (startCounts[layer] == 0 && endCounts[layer] == 0) {
            candidateLists[layer] = null;
        }
    }

    private void ensureCapacity(int size) {
        if (size > startCounts.length) {
            int newSize = Math.max(size, startCounts.length * 2);
            startCounts = Arrays.copyOf(startCounts, newSize);
            endCounts = Arrays.copyOf(endCounts, newSize);
            candidateLists = Arrays.copyOf(candidateLists, newSize);
        }
    }
}

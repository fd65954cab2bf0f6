package io.radishwinch.core.chain;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Holdings of one pool, indexed by layer boundary.
 *
 * <p>A boundary is a layer at which some holding starts or ends; chains change endpoints only there. Each boundary has
 * one candidate list for each data centre, with the entries that hold the layer behind the boundary and have a free
 * slot. A decision reads the heads of these lists, so that its cost depends on the number of boundaries and not on the
 * number of endpoints.
 */
final class PoolIndex {

    /** Smallest weight of a request in the mean request size. */
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

    /** Returns the mean size of a request, prompt and answer, in tokens; 0 before the first one. */
    double meanRequestTokens() {
        return meanRequestTokens;
    }

    /** Returns the share of slot time in which answer tokens are produced; the rest goes to prompts. */
    double generationShare() {
        return generationShare;
    }

    void recordTokenTimes(double firstTokenMs, double tokenIntervalMs) {
        double answerMs = tokenIntervalMs * Math.max(1, meanNewTokens);
        if (firstTokenMs > tokenIntervalMs && tokenIntervalMs > 0) {
            double share = answerMs / (answerMs + firstTokenMs - tokenIntervalMs);
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

    /** Returns whether some holding starts at the layer. */
    boolean isStart(int layer) {
        return layer < startCounts.length && startCounts[layer] > 0;
    }

    /** Returns the candidates of a data centre that hold the layer, or null if there are none. */
    CandidateList candidates(int layer, int zone) {
        CandidateList[] zones = layer < candidateLists.length ? candidateLists[layer] : null;
        return zones == null || zone >= zones.length ? null : zones[zone];
    }

    /** Adds an entry; it is listed as a candidate by {@link #list}. */
    void add(HeldRange entry) {
        heldRanges.add(entry);
        dataCentreCount = Math.max(dataCentreCount, entry.row.dataCentreIndex() + 1);
        ensureCapacity(entry.end + 1);
        startCounts[entry.first]++;
        endCounts[entry.end]++;
        addBoundary(entry.first);
        addBoundary(entry.end);
    }

    /** Removes an entry and its candidates. */
    void remove(HeldRange entry) {
        unlist(entry);
        heldRanges.remove(entry);
        startCounts[entry.first]--;
        endCounts[entry.end]--;
        removeUnusedBoundary(entry.first);
        removeUnusedBoundary(entry.end);
    }

    /** Lists an entry with its current score, or moves it if it is listed with another. */
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

    /** Takes an entry out of the candidate lists, for example because its last slot was taken. */
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

    private CandidateList candidateList(int layer, int zone) {
        if (zone >= candidateLists[layer].length) {
            candidateLists[layer] = Arrays.copyOf(candidateLists[layer], zone + 1);
        }
        if (candidateLists[layer][zone] == null) {
            candidateLists[layer][zone] = new CandidateList();
        }
        return candidateLists[layer][zone];
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

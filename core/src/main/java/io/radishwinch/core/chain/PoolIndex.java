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
    private static final double REQUEST_GAIN = 0.002;

    private final List<HeldRange> entries = new ArrayList<>();
    private int[] starts = new int[16];
    private int[] ends = new int[16];
    private CandidateList[][] lists = new CandidateList[16][];
    private int zoneCount = 1;
    private double meanRequestTokens;
    private double answerShare = 1;
    private int answers;
    private int requests;
    private double meanNewTokens;

    List<HeldRange> entries() {
        return entries;
    }

    /** Returns the mean size of a request, prompt and answer, in tokens; 0 before the first one. */
    double meanRequestTokens() {
        return meanRequestTokens;
    }

    /** Returns the share of slot time in which answer tokens are produced; the rest goes to prompts. */
    double answerShare() {
        return answerShare;
    }

    void measureAnswer(double firstTokenMs, double tokenIntervalMs) {
        double answerMs = tokenIntervalMs * Math.max(1, meanNewTokens);
        if (firstTokenMs > tokenIntervalMs && tokenIntervalMs > 0) {
            double share = answerMs / (answerMs + firstTokenMs - tokenIntervalMs);
            answers = Math.min(answers + 1, (int) (1 / REQUEST_GAIN));
            answerShare += (share - answerShare) / answers;
        }
    }

    void measureRequest(long tokens, long newTokens) {
        requests = Math.min(requests + 1, (int) (1 / REQUEST_GAIN));
        meanRequestTokens += (tokens - meanRequestTokens) / requests;
        meanNewTokens += (newTokens - meanNewTokens) / requests;
    }

    int zoneCount() {
        return zoneCount;
    }

    /** Returns whether some holding starts at the layer. */
    boolean isStart(int layer) {
        return layer < starts.length && starts[layer] > 0;
    }

    /** Returns the candidates of a data centre that hold the layer, or null if there are none. */
    CandidateList candidates(int layer, int zone) {
        CandidateList[] zones = layer < lists.length ? lists[layer] : null;
        return zones == null || zone >= zones.length ? null : zones[zone];
    }

    /** Adds an entry; it is listed as a candidate by {@link #list}. */
    void add(HeldRange entry) {
        entries.add(entry);
        zoneCount = Math.max(zoneCount, entry.row.zone() + 1);
        growTo(entry.end + 1);
        starts[entry.first]++;
        ends[entry.end]++;
        openBoundary(entry.first);
        openBoundary(entry.end);
    }

    /** Removes an entry and its candidates. */
    void remove(HeldRange entry) {
        unlist(entry);
        entries.remove(entry);
        starts[entry.first]--;
        ends[entry.end]--;
        closeBoundary(entry.first);
        closeBoundary(entry.end);
    }

    /** Lists an entry with its current score, or moves it if it is listed with another. */
    void list(HeldRange entry, double score) {
        if (entry.listed && entry.score == score) {
            return;
        }
        unlist(entry);
        entry.score = score;
        entry.listed = true;
        for (int layer = entry.first; layer < entry.end; layer++) {
            if (lists[layer] != null) {
                zoneList(layer, entry.row.zone()).add(entry);
            }
        }
    }

    /** Takes an entry out of the candidate lists, for example because its last slot was taken. */
    void unlist(HeldRange entry) {
        if (!entry.listed) {
            return;
        }
        for (int layer = entry.first; layer < entry.end; layer++) {
            if (lists[layer] != null) {
                zoneList(layer, entry.row.zone()).remove(entry);
            }
        }
        entry.listed = false;
    }

    private CandidateList zoneList(int layer, int zone) {
        if (zone >= lists[layer].length) {
            lists[layer] = Arrays.copyOf(lists[layer], zone + 1);
        }
        if (lists[layer][zone] == null) {
            lists[layer][zone] = new CandidateList();
        }
        return lists[layer][zone];
    }

    private void openBoundary(int layer) {
        if (lists[layer] != null) {
            return;
        }
        lists[layer] = new CandidateList[zoneCount];
        for (HeldRange entry : entries) {
            if (entry.listed && entry.first <= layer && layer < entry.end) {
                zoneList(layer, entry.row.zone()).add(entry);
            }
        }
    }

    private void closeBoundary(int layer) {
        if (starts[layer] == 0 && ends[layer] == 0) {
            lists[layer] = null;
        }
    }

    private void growTo(int size) {
        if (size > starts.length) {
            int newSize = Math.max(size, starts.length * 2);
            starts = Arrays.copyOf(starts, newSize);
            ends = Arrays.copyOf(ends, newSize);
            lists = Arrays.copyOf(lists, newSize);
        }
    }
}

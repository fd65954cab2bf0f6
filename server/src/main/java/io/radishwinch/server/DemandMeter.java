package io.radishwinch.server;

import io.radishwinch.cluster.allotment.LoadVector;
import io.radishwinch.core.model.RequestSpec;
import java.util.HashMap;
import java.util.Map;

/** Measures the load that each caller offers to this router; must be used on the control thread. */
final class DemandMeter {
    private static final double MS_PER_S = 1000.0;

    private final Map<String, CallerCounts> countsByCaller = new HashMap<>();
    private final Map<String, String> callersByRequest = new HashMap<>();
    private Map<String, LoadVector> latestRates = Map.of();
    private long lastReadMs;

    DemandMeter(long nowMs) {
        lastReadMs = nowMs;
    }

    /** Counts of one caller since the last reset, and its open requests. */
    private static final class CallerCounts {
        private long requests;
        private long tokens;
        private int openRequests;
        private int peakOpenRequests;
    }

    void requestArrived(RequestSpec request) {
        CallerCounts counts = countsByCaller.computeIfAbsent(request.caller(), caller -> new CallerCounts());
        counts.requests++;
        counts.tokens += request.costTokens();
        counts.openRequests++;
        counts.peakOpenRequests = Math.max(counts.peakOpenRequests, counts.openRequests);
        callersByRequest.put(request.requestId(), request.caller());
    }

    void requestFinished(String requestId) {
        String caller = callersByRequest.remove(requestId);
        if (caller != null) {
            countsByCaller.get(caller).openRequests--;
        }
    }

    /** Returns the rates by caller since the last call, and resets the counts. */
    Map<String, LoadVector> readAndReset(long nowMs) {
        double elapsedS = Math.max(1, nowMs - lastReadMs) / MS_PER_S;
        lastReadMs = nowMs;
        Map<String, LoadVector> offered = new HashMap<>();
        countsByCaller.forEach((caller, counts) -> {
            offered.put(
                    caller,
                    new LoadVector(counts.requests / elapsedS, counts.tokens / elapsedS, counts.peakOpenRequests));
            counts.requests = 0;
            counts.tokens = 0;
            counts.peakOpenRequests = counts.openRequests;
        });
        countsByCaller.values().removeIf(counts -> counts.openRequests == 0 && counts.peakOpenRequests == 0);
        latestRates = offered;
        return offered;
    }

    /** Returns the rates of a caller that the last call of {@link #readAndReset} returned. */
    LoadVector latestRates(String caller) {
        return latestRates.getOrDefault(caller, LoadVector.ZERO);
    }
}

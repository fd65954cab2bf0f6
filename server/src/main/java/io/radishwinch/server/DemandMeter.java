package io.radishwinch.server;

import io.radishwinch.cluster.allotment.Amounts;
import io.radishwinch.core.model.RequestSpec;
import java.util.HashMap;
import java.util.Map;

/** Measures the load that each caller offers to this router; used on the control thread. */
final class DemandMeter {
    private static final double MS_PER_S = 1000.0;

    private final Map<String, CallerCounts> countsByCaller = new HashMap<>();
    private final Map<String, String> callersByRequest = new HashMap<>();
    private Map<String, Amounts> latestRates = Map.of();
    private long lastReadMs;

    DemandMeter(long nowMs) {
        lastReadMs = nowMs;
    }

    /** Counts of one caller since the last reading, and its open requests. */
    private static final class CallerCounts {
        private long requests;
        private long tokens;
        private int openRequests;
        private int peakOpenRequests;
    }

    void requestArrived(RequestSpec request) {
        CallerCounts row = countsByCaller.computeIfAbsent(request.caller(), caller -> new CallerCounts());
        row.requests++;
        row.tokens += request.costTokens();
        row.openRequests++;
        row.peakOpenRequests = Math.max(row.peakOpenRequests, row.openRequests);
        callersByRequest.put(request.requestId(), request.caller());
    }

    void requestFinished(String requestId) {
        String caller = callersByRequest.remove(requestId);
        if (caller != null) {
            countsByCaller.get(caller).openRequests--;
        }
    }

    /** Returns the load since the last reading by caller, in rates, and starts anew. */
    Map<String, Amounts> readAndReset(long nowMs) {
        double elapsedS = Math.max(1, nowMs - lastReadMs) / MS_PER_S;
        lastReadMs = nowMs;
        Map<String, Amounts> offered = new HashMap<>();
        countsByCaller.forEach((caller, row) -> {
            offered.put(caller, new Amounts(row.requests / elapsedS, row.tokens / elapsedS, row.peakOpenRequests));
            row.requests = 0;
            row.tokens = 0;
            row.peakOpenRequests = row.openRequests;
        });
        countsByCaller.values().removeIf(row -> row.openRequests == 0 && row.peakOpenRequests == 0);
        latestRates = offered;
        return offered;
    }

    /** Returns the load that the caller offered in the interval before the latest reading. */
    Amounts latestRates(String caller) {
        return latestRates.getOrDefault(caller, Amounts.ZERO);
    }
}

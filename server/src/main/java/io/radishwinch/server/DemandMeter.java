package io.radishwinch.server;

import io.radishwinch.cluster.allotment.Amounts;
import io.radishwinch.core.model.RequestSpec;
import java.util.HashMap;
import java.util.Map;

/** Measures the load that each caller offers to this router; used on the control thread. */
final class DemandMeter {
    private static final double MS_PER_S = 1000.0;

    private final Map<String, Row> rows = new HashMap<>();
    private final Map<String, String> callers = new HashMap<>();
    private Map<String, Amounts> latest = Map.of();
    private long lastReadMs;

    DemandMeter(long nowMs) {
        lastReadMs = nowMs;
    }

    /** Counts of one caller since the last reading, and its open requests. */
    private static final class Row {
        private long requests;
        private long tokens;
        private int open;
        private int mostOpen;
    }

    void arrived(RequestSpec request) {
        Row row = rows.computeIfAbsent(request.caller(), caller -> new Row());
        row.requests++;
        row.tokens += request.costTokens();
        row.open++;
        row.mostOpen = Math.max(row.mostOpen, row.open);
        callers.put(request.requestId(), request.caller());
    }

    void finished(String requestId) {
        String caller = callers.remove(requestId);
        if (caller != null) {
            rows.get(caller).open--;
        }
    }

    /** Returns the load since the last reading by caller, in rates, and starts anew. */
    Map<String, Amounts> read(long nowMs) {
        double elapsedS = Math.max(1, nowMs - lastReadMs) / MS_PER_S;
        lastReadMs = nowMs;
        Map<String, Amounts> offered = new HashMap<>();
        rows.forEach((caller, row) -> {
            offered.put(caller, new Amounts(row.requests / elapsedS, row.tokens / elapsedS, row.mostOpen));
            row.requests = 0;
            row.tokens = 0;
            row.mostOpen = row.open;
        });
        rows.values().removeIf(row -> row.open == 0 && row.mostOpen == 0);
        latest = offered;
        return offered;
    }

    /** Returns the load that the caller offered in the interval before the latest reading. */
    Amounts latest(String caller) {
        return latest.getOrDefault(caller, Amounts.ZERO);
    }
}

package io.radishwinch.core.chain;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Measures the token rate that this router delivers in each pool, over a sliding window of ten seconds. */
final class DeliveredTokenRates {

    private static final int WINDOW_S = 10;

    /**
     * Maximum number of tracked requests. The one that started first is evicted, and its remaining tokens are not
     * counted.
     */
    private static final int MAX_REQUESTS = 20_000;

    private final LinkedHashMap<String, Request> requests = new LinkedHashMap<>();
    private final Map<String, SlidingWindow> windows = new HashMap<>();

    private static final class Request {
        private final String pool;
        private int tokens;

        Request(String pool) {
            this.pool = pool;
        }
    }

    /** Ring buffer of token counts by second. */
    private static final class SlidingWindow {
        private final long[] seconds = new long[WINDOW_S];
        private final long[] tokens = new long[WINDOW_S];
    }

    void trackRequest(String requestId, String pool) {
        requests.putIfAbsent(requestId, new Request(pool));
        if (requests.size() > MAX_REQUESTS) {
            requests.remove(requests.keySet().iterator().next());
        }
    }

    void recordDelivered(String requestId, int deliveredTokens, long nowMs) {
        Request request = requests.get(requestId);
        if (request == null || deliveredTokens <= request.tokens) {
            return;
        }
        SlidingWindow window = windows.computeIfAbsent(request.pool, key -> new SlidingWindow());
        long second = nowMs / 1_000;
        int slot = (int) (second % WINDOW_S);
        if (window.seconds[slot] != second) {
            window.seconds[slot] = second;
            window.tokens[slot] = 0;
        }
        window.tokens[slot] += deliveredTokens - request.tokens;
        request.tokens = deliveredTokens;
    }

    double tokensPerS(String pool, long nowMs) {
        SlidingWindow window = windows.get(pool);
        long sum = 0;
        for (int i = 0; window != null && i < WINDOW_S; i++) {
            sum += nowMs / 1_000 - window.seconds[i] < WINDOW_S ? window.tokens[i] : 0;
        }
        return (double) sum / WINDOW_S;
    }
}

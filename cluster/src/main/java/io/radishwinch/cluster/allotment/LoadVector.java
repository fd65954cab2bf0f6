package io.radishwinch.cluster.allotment;

/**
 * Load of one caller in three dimensions: its demand, its limits or a share of them.
 *
 * @param requestsPerS requests/s
 * @param tokensPerS prompt and generated tokens/s
 * @param concurrentRequests requests that are queued or running at the same time
 */
public record LoadVector(double requestsPerS, double tokensPerS, double concurrentRequests) {

    /** No load. */
    public static final LoadVector ZERO = new LoadVector(0, 0, 0);

    /** Number of dimensions. */
    static final int DIMENSION_COUNT = 3;

    /** Returns one dimension: 0 for requests, 1 for tokens, 2 for concurrency. */
    double get(int dimension) {
        return dimension == 0 ? requestsPerS : dimension == 1 ? tokensPerS : concurrentRequests;
    }

    static LoadVector of(double[] values) {
        return new LoadVector(values[0], values[1], values[2]);
    }

    LoadVector plus(LoadVector other) {
        return new LoadVector(
                requestsPerS + other.requestsPerS,
                tokensPerS + other.tokensPerS,
                concurrentRequests + other.concurrentRequests);
    }

    LoadVector times(double factor) {
        return new LoadVector(requestsPerS * factor, tokensPerS * factor, concurrentRequests * factor);
    }

    /** Returns whether this differs from the other by more than a fraction of the scale in at least one dimension. */
    boolean differsBy(double fraction, LoadVector other, LoadVector scale) {
        for (int i = 0; i < DIMENSION_COUNT; i++) {
            if (Math.abs(get(i) - other.get(i)) > fraction * scale.get(i)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether this is greater than the other in at least one dimension. */
    boolean exceeds(LoadVector other) {
        return requestsPerS > other.requestsPerS
                || tokensPerS > other.tokensPerS
                || concurrentRequests > other.concurrentRequests;
    }

    /** Returns whether the load is too small to be distinguished from no load. */
    boolean isNegligible() {
        return requestsPerS < 1e-3 && tokensPerS < 1 && concurrentRequests < 1e-3;
    }
}

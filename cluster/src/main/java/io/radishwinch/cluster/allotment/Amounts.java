package io.radishwinch.cluster.allotment;

/**
 * Rates of one caller: offered load, limits or a share of them.
 *
 * @param requestsPerS requests/s
 * @param tokensPerS prompt and answer tokens/s
 * @param concurrent requests queued or running at the same time
 */
public record Amounts(double requestsPerS, double tokensPerS, double concurrent) {

    /** Nothing. */
    public static final Amounts ZERO = new Amounts(0, 0, 0);

    /** Number of dimensions. */
    static final int DIMENSIONS = 3;

    /** Returns one dimension: 0 requests, 1 tokens, 2 concurrency. */
    double get(int dimension) {
        return dimension == 0 ? requestsPerS : dimension == 1 ? tokensPerS : concurrent;
    }

    static Amounts of(double[] values) {
        return new Amounts(values[0], values[1], values[2]);
    }

    Amounts plus(Amounts other) {
        return new Amounts(
                requestsPerS + other.requestsPerS, tokensPerS + other.tokensPerS, concurrent + other.concurrent);
    }

    Amounts times(double factor) {
        return new Amounts(requestsPerS * factor, tokensPerS * factor, concurrent * factor);
    }

    /** Returns whether this differs from the other by more than a fraction of the scale in any dimension. */
    boolean differsBy(double fraction, Amounts other, Amounts scale) {
        for (int i = 0; i < DIMENSIONS; i++) {
            if (Math.abs(get(i) - other.get(i)) > fraction * scale.get(i)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether this is greater than the other in any dimension. */
    boolean exceeds(Amounts other) {
        return requestsPerS > other.requestsPerS || tokensPerS > other.tokensPerS || concurrent > other.concurrent;
    }

    /** Returns whether the load is too small to be distinguished from none. */
    boolean isNegligible() {
        return requestsPerS < 1e-3 && tokensPerS < 1 && concurrent < 1e-3;
    }
}

package io.radishwinch.core.chain;

/** Measured properties of the link from one endpoint to another, and this router's streams on it. */
final class Link {

    /** Weight of a new measurement in the moving average of the delay. */
    private static final double GAIN = 0.3;

    final EndpointRow to;
    double delayUs;
    double tokensPerS;
    long measuredAtMs;
    boolean inferred;
    int streams;

    Link(EndpointRow to, double delayUs, double tokensPerS, long measuredAtMs) {
        this.to = to;
        this.delayUs = delayUs;
        this.tokensPerS = tokensPerS;
        this.measuredAtMs = measuredAtMs;
    }

    void measure(double newDelayUs, double newTokensPerS, long nowMs) {
        delayUs += GAIN * (newDelayUs - delayUs);
        tokensPerS = newTokensPerS;
        measuredAtMs = nowMs;
        inferred = false;
    }
}

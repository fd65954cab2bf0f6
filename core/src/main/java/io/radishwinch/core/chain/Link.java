package io.radishwinch.core.chain;

/** Measured properties of the link from one endpoint to another, and the number of local streams on it. */
final class Link {

    /** Weight of a new measurement in the moving average of the delay. */
    private static final double DELAY_GAIN = 0.3;

    final EndpointRow to;
    double delayUs;
    double capacityTokensPerS;
    long measuredAtMs;
    boolean isInferred;
    int localStreams;

    Link(EndpointRow to, double delayUs, double tokensPerS, long measuredAtMs) {
        this.to = to;
        this.delayUs = delayUs;
        this.capacityTokensPerS = tokensPerS;
        this.measuredAtMs = measuredAtMs;
    }

    void recordMeasurement(double newDelayUs, double newTokensPerS, long nowMs) {
        delayUs += DELAY_GAIN * (newDelayUs - delayUs);
        capacityTokensPerS = newTokensPerS;
        measuredAtMs = nowMs;
        isInferred = false;
    }
}

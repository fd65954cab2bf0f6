package io.radishwinch.core.health;

/**
 * Limits of {@link EndpointHealth}.
 *
 * @param consecutiveFailures failures in a row after which an endpoint is ejected
 * @param slowFactor ratio of an endpoint's layer time to the median of its kind from which it counts as slow
 * @param minSlowMs time for which an endpoint must be slow before it is ejected, in ms
 * @param baseEjectionMs length of the first ejection, in ms; each repetition adds the same again
 * @param maxEjectionMs longest ejection, in ms
 * @param readmissionStepMs time at each step of reinstatement, in ms
 * @param slowStartMs time in which a new endpoint reaches its full share, in ms
 * @param maxEjectedShare largest share of a pool that may be ejected at once
 */
public record HealthSettings(
        int consecutiveFailures,
        double slowFactor,
        long minSlowMs,
        long baseEjectionMs,
        long maxEjectionMs,
        long readmissionStepMs,
        long slowStartMs,
        double maxEjectedShare) {

    /**
     * Returns the defaults.
     *
     * <p>Three failures in a row are unlikely on a healthy endpoint. Measured layer times vary by less than a factor of
     * two under load, so that a factor of three separates slow accelerators; the target is a factor of ten.
     */
    public static HealthSettings defaults() {
        return new HealthSettings(3, 3, 2_000, 5_000, 300_000, 3_000, 15_000, 1.0 / 3);
    }

    /** Returns a copy with another length of slow start, in ms; 0 turns it off. */
    public HealthSettings withSlowStartMs(long newSlowStartMs) {
        return new HealthSettings(
                consecutiveFailures,
                slowFactor,
                minSlowMs,
                baseEjectionMs,
                maxEjectionMs,
                readmissionStepMs,
                newSlowStartMs,
                maxEjectedShare);
    }
}

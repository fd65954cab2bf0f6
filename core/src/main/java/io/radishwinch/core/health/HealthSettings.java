package io.radishwinch.core.health;

/**
 * Settings of {@link EndpointHealth}.
 *
 * @param consecutiveFailures consecutive failures after which an endpoint is ejected
 * @param slowFactor ratio of an endpoint's layer time to the median of its accelerator kind above which it counts as
 *     slow
 * @param minSlowMs time for which an endpoint must be slow before it is ejected, in ms
 * @param baseEjectionMs length of the first ejection, in ms; each further ejection is longer by the same time
 * @param maxEjectionMs longest ejection, in ms
 * @param readmissionStepMs length of each step of readmission, in ms
 * @param slowStartMs length of slow start, in ms
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
     * Returns the default settings.
     *
     * <p>Three consecutive failures are unlikely on a healthy endpoint. Layer times vary by less than a factor of two
     * under load, so a factor of three identifies slow accelerators without false ejections. Accelerators that are ten
     * times slower must be ejected.
     */
    public static HealthSettings defaults() {
        return new HealthSettings(3, 3, 2_000, 5_000, 300_000, 3_000, 15_000, 1.0 / 3);
    }

    /** Returns a copy with the given length of slow start, in ms; 0 disables slow start. */
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

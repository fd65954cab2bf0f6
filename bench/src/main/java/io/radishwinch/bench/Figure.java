package io.radishwinch.bench;

/**
 * One measured figure.
 *
 * @param name name with the group in front, for example {@code core.throughput}
 * @param value measured value
 * @param target target of docs/design.md
 * @param unit unit of value, target and baseline
 * @param baseline value of the baseline in the same run, or null if there is none
 */
record Figure(String name, double value, Target target, String unit, Double baseline) {

    /**
     * Bound on a value.
     *
     * @param bound bound, or null if the design page has none
     * @param atLeast whether the value must be at least the bound, otherwise at most
     */
    record Target(Double bound, boolean atLeast) {
        static final Target NONE = new Target(null, false);

        static Target atLeast(double bound) {
            return new Target(bound, true);
        }

        static Target atMost(double bound) {
            return new Target(bound, false);
        }
    }

    static Figure of(String name, double value, Target target, String unit) {
        return new Figure(name, value, target, unit, null);
    }

    static Figure of(String name, double value, Target target, String unit, double baseline) {
        return new Figure(name, value, target, unit, baseline);
    }

    /** Returns whether the value meets its target, or null if it has none; a value that is not a number does not. */
    Boolean meetsTarget() {
        if (target.bound() == null) {
            return null;
        }
        return target.atLeast() ? value >= target.bound() : value <= target.bound();
    }
}

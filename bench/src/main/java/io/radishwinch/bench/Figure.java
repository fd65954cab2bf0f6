package io.radishwinch.bench;

/**
 * A measured figure.
 *
 * @param name name that starts with the name of the group, for example {@code core.throughput}
 * @param value measured value
 * @param target target of docs/design.md
 * @param unit unit of the value, the target and the baseline
 * @param baseline value of the baseline, or null if there is none
 */
record Figure(String name, double value, Target target, String unit, Double baseline) {

    /**
     * A lower or upper bound on a value.
     *
     * @param bound bound, or null if the design page specifies none
     * @param atLeast whether the bound is a lower bound; otherwise it is an upper bound
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

    /** Returns whether the value meets its target, or null if there is no target; NaN meets no target. */
    Boolean meetsTarget() {
        if (target.bound() == null) {
            return null;
        }
        return target.atLeast() ? value >= target.bound() : value <= target.bound();
    }
}

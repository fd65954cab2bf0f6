package io.radishwinch.core.model;

import java.util.Locale;

/** Says whether a request may have run; every failure carries one. */
public enum Verdict {
    /** The request did not run anywhere; it may be sent again freely. */
    NOT_RUN,
    /** The request may have run, in whole or in part; only an idempotent request may be sent again. */
    MAY_HAVE_RUN,
    /** The request ran to completion. */
    RAN;

    private final String wireName = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /** Returns the name used in error answers and metrics, for example {@code not-run}. */
    public String wireName() {
        return wireName;
    }

    /** Returns the less certain of two verdicts about parts of the same request. */
    public Verdict combine(Verdict other) {
        return this == other ? this : MAY_HAVE_RUN;
    }
}

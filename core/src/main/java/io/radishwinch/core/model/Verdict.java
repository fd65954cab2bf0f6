package io.radishwinch.core.model;

import java.util.Locale;

/** Whether a request may have run. Every failure has a verdict. */
public enum Verdict {
    /** The request did not run on any endpoint; every request may be retried. */
    NOT_RUN,
    /** The request may have run completely or partly; only an idempotent request may be retried. */
    MAY_HAVE_RUN,
    /** The request ran to completion. */
    RAN;

    private final String wireName = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /** Returns the name used in error responses and metrics, for example {@code not-run}. */
    public String wireName() {
        return wireName;
    }

    /**
     * Returns the combined verdict of two parts of the same request: the common verdict, or {@link #MAY_HAVE_RUN} if
     * they differ.
     */
    public Verdict combine(Verdict other) {
        return this == other ? this : MAY_HAVE_RUN;
    }
}

package io.radishwinch.cluster.platform;

/** Notices by the eras of versions that the store was restored from an older copy. Not thread-safe. */
public final class RestoreDetector {
    private static final long UNKNOWN_ERA = -1;

    private long latestEra = UNKNOWN_ERA;

    /** Observes an era, and returns whether it is later than one that was observed before. */
    public boolean observe(long era) {
        boolean isRestored = latestEra != UNKNOWN_ERA && era > latestEra;
        latestEra = Math.max(latestEra, era);
        return isRestored;
    }
}

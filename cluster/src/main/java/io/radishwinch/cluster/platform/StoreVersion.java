package io.radishwinch.cluster.platform;

/**
 * Encodes the era and the revision of a store as one version, ordered by the era first.
 *
 * <p>A store counts its writes in revisions. When it is restored from an older copy, its revisions go back and are
 * given out again, and its era increases. A revision alone therefore neither orders two writes nor names one. A version
 * does both: all writes after a restore have higher versions than those before it, and no version is given out twice.
 */
public final class StoreVersion {

    private static final int REVISION_BITS = 40;

    /** Highest revision that a version can contain. */
    public static final long MAX_REVISION = (1L << REVISION_BITS) - 1;

    /** Highest era that a version can contain. */
    public static final long MAX_ERA = (1L << (Long.SIZE - 1 - REVISION_BITS)) - 1;

    private StoreVersion() {}

    /**
     * Returns the version of a revision.
     *
     * @throws IllegalArgumentException if the era or the revision is negative or too high
     */
    public static long of(long era, long revision) {
        checkRange("era", era, MAX_ERA);
        checkRange("revision", revision, MAX_REVISION);
        return era << REVISION_BITS | revision;
    }

    /** Returns the era of a version. */
    public static long era(long version) {
        return version >> REVISION_BITS;
    }

    /** Returns the revision of a version, which is unique within its era only. */
    public static long revision(long version) {
        return version & MAX_REVISION;
    }

    /** Returns a version as text for logs: the era, a dot and the revision. */
    public static String toString(long version) {
        return era(version) + "." + revision(version);
    }

    private static void checkRange(String name, long value, long max) {
        if (value < 0 || value > max) {
            throw new IllegalArgumentException(name + " is " + value + ", expected 0 to " + max);
        }
    }
}

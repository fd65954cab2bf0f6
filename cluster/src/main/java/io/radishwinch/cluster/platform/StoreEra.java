package io.radishwinch.cluster.platform;

import io.radishwinch.cluster.platform.PlatformException.Kind;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Highest era that the responses of a store have named. Thread-safe.
 *
 * <p>Responses overtake each other, so one of an earlier era may arrive after the restore was noticed. What it says no
 * longer holds.
 */
public final class StoreEra {
    private final AtomicLong latest = new AtomicLong();

    /** Returns the highest era that a response has named, initially 0. */
    public long latest() {
        return latest.get();
    }

    /**
     * Records the era that a response names.
     *
     * @param header value of the era header, or null if the store does not name its era, which is then 0
     * @return the era of the response
     * @throws IllegalArgumentException if the header is not an era
     * @throws PlatformException with {@link Kind#STORE_RESTORED} if a response of a later era was received before
     */
    public long observe(String header) {
        long era = header == null ? 0 : parse(header);
        long highest = latest.accumulateAndGet(era, Math::max);
        if (era < highest) {
            throw restored("response of era " + era + " after one of era " + highest);
        }
        return era;
    }

    /** Returns whether a version was read in the latest era, so that a write may be conditional on it. */
    public boolean isCurrent(long version) {
        return version == PlatformClient.ABSENT || StoreVersion.era(version) == latest();
    }

    /**
     * Checks that the store was not restored between the read of a version and a response to a call that names it.
     *
     * @param responseEra era of the response
     * @throws PlatformException with {@link Kind#STORE_RESTORED} if it was
     */
    public static void requireSame(long version, long responseEra) {
        if (version != PlatformClient.ABSENT && StoreVersion.era(version) != responseEra) {
            throw restored(
                    "call names version " + StoreVersion.toString(version) + ", response is of era " + responseEra);
        }
    }

    private static PlatformException restored(String message) {
        return new PlatformException(
                Kind.STORE_RESTORED, "the store was restored from an older copy: " + message, null);
    }

    private static long parse(String header) {
        try {
            long era = Long.parseLong(header);
            if (era >= 0 && era <= StoreVersion.MAX_ERA) {
                return era;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("era of the store: expected a number, found " + header, e);
        }
        throw new IllegalArgumentException(
                "era of the store: expected 0 to " + StoreVersion.MAX_ERA + ", found " + header);
    }
}

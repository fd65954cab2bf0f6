package io.radishwinch.cluster.gossip;

import io.radishwinch.cluster.configuration.ConfigurationStore;
import io.radishwinch.protocol.generated.EntryKind;

/**
 * Bounds and dissemination of one kind of entries.
 *
 * @param isFleetWide whether entries spread between data centres
 * @param isDurable whether digests cover the kind; entries of other kinds are refreshed by their origin instead
 * @param isUrgent whether entries are sent on the next tick, even without tokens in the byte budget
 * @param maxEntries maximum number of entries, including tombstones
 * @param maxValueBytes maximum size of a value, in bytes
 * @param maxLifetimeMs maximum lifetime, in ms; 0 if entries need no deadline
 */
public record KindPolicy(
        boolean isFleetWide,
        boolean isDurable,
        boolean isUrgent,
        int maxEntries,
        int maxValueBytes,
        long maxLifetimeMs) {

    private static final long SECOND_MS = 1_000;
    private static final long MINUTE_MS = 60 * SECOND_MS;
    private static final long HOUR_MS = 60 * MINUTE_MS;

    private static final KindPolicy CONFIGURATION =
            new KindPolicy(true, true, true, 20_000, ConfigurationStore.MAX_OBJECT_BYTES, 0);
    private static final KindPolicy QUARANTINE = new KindPolicy(true, true, true, 10_000, 512, 24 * HOUR_MS);
    private static final KindPolicy CRASH = new KindPolicy(true, true, true, 10_000, 1_024, HOUR_MS);
    private static final KindPolicy PROMPT_CRASH = new KindPolicy(true, true, true, 1_000, 512, HOUR_MS);
    private static final KindPolicy PROVEN_PART = new KindPolicy(true, true, true, 1_000, 512, HOUR_MS);
    private static final KindPolicy REQUEST_LIMIT = new KindPolicy(true, true, true, 8_192, 16, HOUR_MS);
    private static final KindPolicy EJECTION = new KindPolicy(false, true, false, 8_192, 512, HOUR_MS);
    private static final KindPolicy LEAVING = new KindPolicy(false, true, true, 8_192, 512, 24 * HOUR_MS);
    private static final KindPolicy ENDPOINT_LOAD = new KindPolicy(false, false, false, 8_192, 8_192, MINUTE_MS);
    private static final KindPolicy PLACEMENT = new KindPolicy(true, true, true, 8_192, 512, HOUR_MS);
    private static final KindPolicy DEMAND = new KindPolicy(false, false, false, 2_048, 2_048, MINUTE_MS);
    private static final KindPolicy DAY_COUNTERS = new KindPolicy(false, true, false, 1_024, 65_536, 48 * HOUR_MS);
    private static final KindPolicy DIRECTORY = new KindPolicy(true, true, false, 64, 65_536, 0);

    /** Returns the policy of a kind. */
    public static KindPolicy of(EntryKind kind) {
        return switch (kind) {
            case CONFIGURATION -> CONFIGURATION;
            case QUARANTINE -> QUARANTINE;
            case CRASH -> CRASH;
            case PROMPT_CRASH -> PROMPT_CRASH;
            case PROVEN_PART -> PROVEN_PART;
            case REQUEST_LIMIT -> REQUEST_LIMIT;
            case EJECTION -> EJECTION;
            case LEAVING -> LEAVING;
            case ENDPOINT_LOAD -> ENDPOINT_LOAD;
            case PLACEMENT -> PLACEMENT;
            case DEMAND -> DEMAND;
            case DAY_COUNTERS -> DAY_COUNTERS;
            case DIRECTORY -> DIRECTORY;
        };
    }
}

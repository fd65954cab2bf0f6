package io.radishwinch.cluster.membership;

import io.radishwinch.protocol.generated.Member;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Membership updates to piggyback on probes, least often sent first.
 *
 * <p>Each update is sent a number of times logarithmic in the number of members (Das, Gupta and Motivala 2002, section
 * 4.1), after which all members know it with high probability.
 */
final class MembershipUpdateQueue {

    /** Maximum number of updates in one message, which keeps a probe below 400 bytes. */
    private static final int MAX_PER_MESSAGE = 6;

    /**
     * Transmissions per doubling of the number of members. 1 is enough, because updates are also pushed immediately.
     */
    private static final int TRANSMISSIONS_PER_LOG2 = 1;

    private final Map<String, QueuedUpdate> byId = new HashMap<>();

    private static final class QueuedUpdate {
        private final MemberInfo info;
        private int sendCount;

        QueuedUpdate(MemberInfo info) {
            this.info = info;
        }
    }

    void add(MemberInfo info) {
        byId.put(info.id(), new QueuedUpdate(info));
    }

    /** Returns the updates for the next message. */
    List<Member> take(int members) {
        if (byId.isEmpty()) {
            return new ArrayList<>(1);
        }
        int limit = TRANSMISSIONS_PER_LOG2 * (32 - Integer.numberOfLeadingZeros(members + 1));
        List<QueuedUpdate> least = byId.values().stream()
                .sorted(Comparator.<QueuedUpdate>comparingInt(update -> update.sendCount)
                        .thenComparing(update -> update.info.id()))
                .limit(MAX_PER_MESSAGE)
                .toList();
        List<Member> taken = new ArrayList<>(least.size());
        for (QueuedUpdate update : least) {
            taken.add(update.info.toThrift());
            if (++update.sendCount >= limit) {
                byId.remove(update.info.id());
            }
        }
        return taken;
    }
}

package io.radishwinch.cluster.membership;

import io.radishwinch.protocol.generated.Member;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Changes of members that ride on probes, least often sent first.
 *
 * <p>Each change is sent a number of times logarithmic in the number of members (Das, Gupta and Motivala 2002, section
 * 4.1), after which all members know it with high probability.
 */
final class MembershipUpdateQueue {

    /** Changes on one message; a probe stays below 400 bytes. */
    private static final int MAX_PER_MESSAGE = 6;

    /** Factor of the logarithm; 1 suffices, because news are also pushed at once. */
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

    /** Returns the changes for the next message. */
    List<Member> take(int members) {
        if (byId.isEmpty()) {
            return new ArrayList<>(1);
        }
        int limit = TRANSMISSIONS_PER_LOG2 * (32 - Integer.numberOfLeadingZeros(members + 1));
        List<QueuedUpdate> least = byId.values().stream()
                .sorted(Comparator.<QueuedUpdate>comparingInt(news -> news.sendCount)
                        .thenComparing(news -> news.info.id()))
                .limit(MAX_PER_MESSAGE)
                .toList();
        List<Member> taken = new ArrayList<>(least.size());
        for (QueuedUpdate news : least) {
            taken.add(news.info.toThrift());
            if (++news.sendCount >= limit) {
                byId.remove(news.info.id());
            }
        }
        return taken;
    }
}

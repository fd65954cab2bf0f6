package io.radishwinch.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides when engines of a group that hold layers may be moved: when its layout is narrow and its members have been
 * the same for a while.
 *
 * <p>The widening of a narrow layout ends when no move restores enough capacity, not when the layout has left the
 * threshold at which it began.
 */
final class WideningSchedule {

    private final LayoutSettings settings;
    private final Map<String, Group> groups = new HashMap<>();

    /** What was last seen of a group, and the earliest time of the next search. */
    private record Group(int memberCount, boolean isWidening, long dueAtMs) {}

    WideningSchedule(LayoutSettings settings) {
        this.settings = settings;
    }

    /** Forgets a group that another router plans. */
    void forget(String key) {
        groups.remove(key);
    }

    /**
     * Returns whether a move should be searched, which is called on each tick with a complete layout and no pending
     * orders. Silent members are missing, so the delay begins when the number of members changes.
     *
     * @param capacityShare smallest capacity over the layers, relative to the target capacity
     */
    boolean isDue(String key, Collection<PlacementEndpoint> members, double capacityShare, long nowMs) {
        Group last = groups.get(key);
        boolean isWidening = last != null && last.isWidening;
        if (last != null && last.memberCount == members.size()) {
            boolean isDue = nowMs >= last.dueAtMs && (isWidening || capacityShare < settings.narrowShare());
            if (!isDue || members.stream().noneMatch(PlacementEndpoint::isEjected)) {
                return isDue;
            }
        }
        groups.put(key, new Group(members.size(), isWidening, nowMs + settings.wideningDelayMs()));
        return false;
    }

    /** Records a search and whether it found a move. */
    void searched(String key, boolean isFound, long nowMs) {
        groups.computeIfPresent(
                key, (ignored, group) -> new Group(group.memberCount, isFound, nowMs + settings.wideningDelayMs()));
    }
}

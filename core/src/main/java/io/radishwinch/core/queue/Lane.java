package io.radishwinch.core.queue;

import io.radishwinch.core.model.Rank;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** Non-empty flows of one rank and pool, ordered by start tag, and by floor tag if they have a floor. */
final class Lane {

    private static final Comparator<Flow> BY_START =
            Comparator.<Flow>comparingDouble(flow -> flow.startTag).thenComparing(flow -> flow.account.caller);
    private static final Comparator<Flow> BY_FLOOR = Comparator.<Flow>comparingDouble(flow -> flow.account.floorTagMs)
            .thenComparing(flow -> flow.account.caller);

    final Rank rank;
    final String pool;
    final Map<String, Flow> flowsByCaller = new HashMap<>();
    private final TreeSet<Flow> byStart = new TreeSet<>(BY_START);
    private final TreeSet<Flow> byFloor = new TreeSet<>(BY_FLOOR);
    /** Virtual time: the largest start tag that was the minimum of the lane when a request was polled. */
    double virtualTime;

    Lane(Rank rank, String pool) {
        this.rank = rank;
        this.pool = pool;
    }

    boolean isEmpty() {
        return byStart.isEmpty();
    }

    Flow nextInFairOrder() {
        return byStart.first();
    }

    /** Advances the virtual time to the smallest start tag of the flows with queued requests. */
    void advanceVirtualTime() {
        virtualTime = Math.max(virtualTime, byStart.first().startTag);
    }

    /** Returns the flow that has been below its floor for the longest time, or null if there is none. */
    Flow nextBelowFloor(long nowMs) {
        return byFloor.isEmpty() || byFloor.first().account.floorTagMs > nowMs ? null : byFloor.first();
    }

    /** Removes a flow from the ordered sets; required before one of its tags changes. */
    void detach(Flow flow) {
        byStart.remove(flow);
        byFloor.remove(flow);
    }

    /** Adds a flow to the ordered sets if it has queued requests. */
    void attach(Flow flow) {
        if (!flow.queued.isEmpty()) {
            byStart.add(flow);
            if (flow.account.floorTokensPerS > 0) {
                byFloor.add(flow);
            }
        }
    }

    /** Removes flows without requests whose start tags no longer affect the order. */
    void removeIdleFlows() {
        flowsByCaller.values().removeIf(flow -> {
            boolean isIdle = flow.queued.isEmpty() && (isEmpty() || flow.startTag <= virtualTime);
            if (isIdle) {
                flow.account.flows.remove(flow);
            }
            return isIdle;
        });
    }
}

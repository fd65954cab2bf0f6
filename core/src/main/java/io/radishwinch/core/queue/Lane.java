package io.radishwinch.core.queue;

import io.radishwinch.core.model.Rank;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** Flows of one rank and pool in order of their start tags, and those with a floor in order of their floor tags. */
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
    /** Largest of the smallest start tags at which a request was polled. */
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

    /** Advances the virtual time to the smallest start tag of the waiting flows. */
    void advanceVirtualTime() {
        virtualTime = Math.max(virtualTime, byStart.first().startTag);
    }

    /** Returns the flow that is below its floor for the longest time, or null if there is none. */
    Flow nextBelowFloor(long nowMs) {
        return byFloor.isEmpty() || byFloor.first().account.floorTagMs > nowMs ? null : byFloor.first();
    }

    /** Removes a flow from the order, before one of its tags changes. */
    void detach(Flow flow) {
        byStart.remove(flow);
        byFloor.remove(flow);
    }

    /** Puts a flow with waiting requests into the order of its tags. */
    void attach(Flow flow) {
        if (!flow.queued.isEmpty()) {
            byStart.add(flow);
            if (flow.account.floorTokensPerS > 0) {
                byFloor.add(flow);
            }
        }
    }

    /** Removes flows without requests whose tags no longer matter. */
    void removeIdleFlows() {
        flowsByCaller.values().removeIf(flow -> {
            boolean idle = flow.queued.isEmpty() && (isEmpty() || flow.startTag <= virtualTime);
            if (idle) {
                flow.account.flows.remove(flow);
            }
            return idle;
        });
    }
}

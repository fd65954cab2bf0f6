package io.radishwinch.server.proxy;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Counts the endpoints that have run a request, here and at the routers that it was relayed to.
 *
 * <p>A router may use as many further endpoints as are left when a request is relayed to it. It names them in its
 * response; those that it may have used without naming them stay used up.
 */
final class EndpointUse {
    private final int maxEndpoints;
    private final Set<String> endpointIds = new LinkedHashSet<>();

    /** Number of endpoints that routers may have used without naming them. */
    private long unnamed;

    /** Number of further endpoints that the router may use to which the request is relayed. */
    private long granted;

    /**
     * Creates the state of a request that has not run.
     *
     * @param maxEndpoints maximum number of endpoints that may run it
     */
    EndpointUse(int maxEndpoints) {
        this.maxEndpoints = maxEndpoints;
    }

    /** Records that an endpoint may have run the request. Returns whether it is the first run there. */
    boolean add(String endpointId) {
        return endpointIds.add(endpointId);
    }

    /** Withdraws an endpoint whose only run did not take place. */
    void remove(String endpointId) {
        endpointIds.remove(endpointId);
    }

    /** Returns the known endpoints that may have run the request. */
    List<String> endpointIds() {
        return List.copyOf(endpointIds);
    }

    /** Returns how many further endpoints may run the request. */
    int remaining() {
        return (int) Math.max(0, maxEndpoints - endpointIds.size() - unnamed);
    }

    /** Returns whether a begun response may be continued, by a further endpoint or by one that has run the request. */
    boolean allowsContinuation() {
        return remaining() > 0 || !endpointIds.isEmpty();
    }

    /**
     * Records that the request is relayed.
     *
     * @param maxFurther number of further endpoints that the router may use
     */
    void relayed(int maxFurther) {
        granted = maxFurther;
    }

    /** Records endpoints that the router names. */
    void named(List<String> ids) {
        for (String id : ids) {
            if (endpointIds.add(id)) {
                granted--;
            }
        }
    }

    /** Records that the router was lost, so that it may have used all endpoints that it was allowed to. */
    void relayLost() {
        unnamed += Math.max(0, granted);
        granted = 0;
    }
}

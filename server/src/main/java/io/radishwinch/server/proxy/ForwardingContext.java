package io.radishwinch.server.proxy;

import java.util.List;

/**
 * What the router adds to a request for an endpoint.
 *
 * @param caller name of the client account, or an empty string on a public route
 * @param firstStage endpoint that receives the request
 * @param hops parts of the chain in order, or an empty list if the endpoint serves the request alone
 * @param remainingMs time left for the answer, in ms
 * @param priority urgency, 0 is the most urgent
 * @param resumeAfterEventId event behind which the stream goes on, or {@link RequestHead#NONE}
 */
public record ForwardingContext(
        String caller,
        EndpointContact firstStage,
        List<Hop> hops,
        long remainingMs,
        int priority,
        long resumeAfterEventId) {

    /** Copies the list. */
    public ForwardingContext {
        hops = List.copyOf(hops);
    }

    /**
     * One part of a chain.
     *
     * @param contact endpoint
     * @param firstLayer first layer that it runs
     * @param endLayer layer after the last one
     */
    public record Hop(EndpointContact contact, int firstLayer, int endLayer) {}
}

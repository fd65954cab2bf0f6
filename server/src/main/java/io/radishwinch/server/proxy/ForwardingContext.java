package io.radishwinch.server.proxy;

import java.util.List;

/**
 * Values that the router adds to a request when it forwards it to an endpoint.
 *
 * @param caller name of the client account, or an empty string for a public route
 * @param firstStage endpoint that receives the request
 * @param hops stages of the chain in order, or an empty list if the endpoint serves the request alone
 * @param remainingMs time until the deadline of the response, in ms
 * @param priority priority; 0 is the highest
 * @param resumeAfterEventId identifier of the event after which the stream resumes, or {@link RequestHead#NONE}
 */
public record ForwardingContext(
        String caller,
        EndpointContact firstStage,
        List<Hop> hops,
        long remainingMs,
        int priority,
        long resumeAfterEventId) {

    /** Creates a context with an immutable copy of the hops. */
    public ForwardingContext {
        hops = List.copyOf(hops);
    }

    /**
     * One stage of a chain.
     *
     * @param contact endpoint that runs the stage
     * @param firstLayer first layer of the stage, inclusive
     * @param endLayer end of the layers of the stage, exclusive
     */
    public record Hop(EndpointContact contact, int firstLayer, int endLayer) {}
}

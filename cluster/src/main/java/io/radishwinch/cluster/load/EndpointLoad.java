package io.radishwinch.cluster.load;

/**
 * Load on one endpoint.
 *
 * @param running number of running attempts
 * @param kvBytes KV cache memory reserved for them, in bytes
 */
public record EndpointLoad(int running, long kvBytes) {

    /** No load. */
    public static final EndpointLoad NONE = new EndpointLoad(0, 0);

    /** Returns the sum of both loads. */
    public EndpointLoad plus(EndpointLoad other) {
        return new EndpointLoad(running + other.running, kvBytes + other.kvBytes);
    }

    /** Returns this load without a part of it, at least {@link #NONE}. */
    public EndpointLoad minus(EndpointLoad part) {
        return new EndpointLoad(Math.max(0, running - part.running), Math.max(0, kvBytes - part.kvBytes));
    }
}

package io.radishwinch.server.engine;

/**
 * Bounds and timeouts of the clients towards endpoints.
 *
 * @param connectTimeoutMs time to open a connection, in ms
 * @param callTimeoutMs time for one short call (load, orders, cancel, cache events), in ms
 * @param idleTimeoutMs time without a byte after which a stream fails, in ms; engines send an empty line at least every
 *     {@link #KEEP_ALIVE_MS}
 * @param keepAliveTimeoutS time after which an unused connection is closed, in s; shorter than the endpoints' own, so
 *     that a call rarely meets a connection that its endpoint is closing
 * @param maxConnectionsPerEndpoint bound on connections to one endpoint
 * @param maxWaitQueueSize bound on calls that wait for a connection, over all endpoints
 * @param maxLineBytes bound on one line of a stream, in bytes
 * @param maxResponseBytes bound on the answer to a short call, in bytes
 * @param maxServiceBodyBytes bound on the body of a service's answer, in bytes
 */
public record ClientOptions(
        int connectTimeoutMs,
        long callTimeoutMs,
        long idleTimeoutMs,
        int keepAliveTimeoutS,
        int maxConnectionsPerEndpoint,
        int maxWaitQueueSize,
        int maxLineBytes,
        int maxResponseBytes,
        long maxServiceBodyBytes) {

    /** Longest pause of an engine's stream, in ms. */
    public static final long KEEP_ALIVE_MS = 500;

    /** Returns the default options. */
    public static ClientOptions defaults() {
        return new ClientOptions(500, 2_000, 3 * KEEP_ALIVE_MS, 10, 512, 4_096, 64 << 10, 1 << 20, 64L << 20);
    }

    /** Returns a copy with another silence timeout, in ms. */
    public ClientOptions withIdleTimeoutMs(long newSilenceTimeoutMs) {
        return new ClientOptions(
                connectTimeoutMs,
                callTimeoutMs,
                newSilenceTimeoutMs,
                keepAliveTimeoutS,
                maxConnectionsPerEndpoint,
                maxWaitQueueSize,
                maxLineBytes,
                maxResponseBytes,
                maxServiceBodyBytes);
    }

    /** Returns a copy with another timeout of short calls, in ms. */
    public ClientOptions withCallTimeoutMs(long newCallTimeoutMs) {
        return new ClientOptions(
                connectTimeoutMs,
                newCallTimeoutMs,
                idleTimeoutMs,
                keepAliveTimeoutS,
                maxConnectionsPerEndpoint,
                maxWaitQueueSize,
                maxLineBytes,
                maxResponseBytes,
                maxServiceBodyBytes);
    }

    /** Returns a copy with another bound on the body of a service's answer, in bytes. */
    public ClientOptions withMaxServiceBodyBytes(long newMaxServiceBodyBytes) {
        return new ClientOptions(
                connectTimeoutMs,
                callTimeoutMs,
                idleTimeoutMs,
                keepAliveTimeoutS,
                maxConnectionsPerEndpoint,
                maxWaitQueueSize,
                maxLineBytes,
                maxResponseBytes,
                newMaxServiceBodyBytes);
    }
}

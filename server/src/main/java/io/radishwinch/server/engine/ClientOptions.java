package io.radishwinch.server.engine;

/**
 * Limits and timeouts of the clients of endpoints.
 *
 * @param connectTimeoutMs timeout for opening a connection, in ms
 * @param callTimeoutMs timeout of a short call (load, orders, cancel, cache events), in ms
 * @param idleTimeoutMs time without data after which a stream fails, in ms; engines send an empty line at least every
 *     {@link #KEEP_ALIVE_MS}
 * @param keepAliveTimeoutS time after which an unused connection is closed, in s; shorter than the endpoints' own
 *     timeout, so that calls rarely use a connection that the endpoint is closing
 * @param maxConnectionsPerEndpoint maximum number of connections to one endpoint
 * @param maxWaitQueueSize maximum number of calls that wait for a connection, over all endpoints
 * @param maxLineBytes maximum size of a line of a stream, in bytes
 * @param maxResponseBytes maximum size of the response body of a short call, in bytes
 * @param maxServiceBodyBytes maximum size of the response body of a service, in bytes
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

    /** Interval of the empty lines that an engine sends on a stream without tokens, in ms. */
    public static final long KEEP_ALIVE_MS = 500;

    /** Returns the default options. */
    public static ClientOptions defaults() {
        return new ClientOptions(500, 2_000, 3 * KEEP_ALIVE_MS, 10, 512, 4_096, 64 << 10, 1 << 20, 64L << 20);
    }

    /** Returns a copy with another idle timeout of streams, in ms. */
    public ClientOptions withIdleTimeoutMs(long newIdleTimeoutMs) {
        return new ClientOptions(
                connectTimeoutMs,
                callTimeoutMs,
                newIdleTimeoutMs,
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

    /** Returns a copy with another maximum size of the response body of a service, in bytes. */
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

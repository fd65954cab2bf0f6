package io.radishwinch.server.route;

/**
 * Size and time limits of caller connections.
 *
 * @param maxHeaderBytes maximum size of a request head, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headTimeoutMs maximum time for a request to arrive, in ms
 * @param idleTimeoutMs maximum time without a request on an open connection, in ms
 */
public record ConnectionLimits(int maxHeaderBytes, int maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {

    /** Returns the limits that apply until a configuration is in effect. */
    public static ConnectionLimits defaults() {
        return new ConnectionLimits(16 << 10, 4 << 20, 10_000, 60_000);
    }
}

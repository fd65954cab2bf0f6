package io.radishwinch.server.route;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes largest request head, in bytes
 * @param maxBodyBytes largest request body, in bytes
 * @param headTimeoutMs longest time for a request to arrive, in ms
 * @param idleTimeoutMs longest time without a request on an open connection, in ms
 */
public record ConnectionLimits(int maxHeaderBytes, int maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {

    /** Returns the limits that hold until a configuration is in force. */
    public static ConnectionLimits defaults() {
        return new ConnectionLimits(16 << 10, 4 << 20, 10_000, 60_000);
    }
}

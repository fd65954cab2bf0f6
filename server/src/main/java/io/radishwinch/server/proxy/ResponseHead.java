package io.radishwinch.server.proxy;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Parsed status and headers of an endpoint's response.
 *
 * @param status HTTP status
 * @param isNotRun whether the endpoint reports that it did not run the request
 * @param seal seal that endpoints add to their own responses, which differs between their runs; empty if there is none
 * @param requestId identifier of the request that the response belongs to, if present
 * @param faultAddress address of the failed endpoint if it is another endpoint of the chain
 * @param keepAliveMs keep-alive time that the endpoint announces in ms, or 0 if it announces none
 * @param isClosing whether the endpoint closes the connection after the response
 * @param requestLimitPerS requests/s that the endpoint takes from all routers together, or empty if it names no limit
 * @param isLeaving whether the endpoint announces that it leaves
 * @param pauseMs time for which the endpoint wants no requests of this router, in ms, or 0 if it asks for no pause
 */
public record ResponseHead(
        int status,
        boolean isNotRun,
        Optional<String> seal,
        Optional<String> requestId,
        Optional<String> faultAddress,
        long keepAliveMs,
        boolean isClosing,
        OptionalDouble requestLimitPerS,
        boolean isLeaving,
        long pauseMs) {

    private static final int MISDIRECTED = 421;
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    /**
     * Returns whether the endpoint reports that the request was intended for another one (RFC 9110, section 15.5.20).
     */
    public boolean isMisdirected() {
        return status == MISDIRECTED;
    }

    /** Returns whether the response carries the seal of an endpoint. */
    public boolean isSealed() {
        return seal.isPresent();
    }

    /** Returns whether the status is a success status (2xx). */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
}

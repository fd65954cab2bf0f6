package io.radishwinch.server.proxy;

import java.util.Optional;

/**
 * What an endpoint says in the head of its answer.
 *
 * @param status HTTP status
 * @param isNotRun whether the endpoint says that it did not run the request
 * @param isSealed whether the answer carries the mark of an answer that an endpoint made
 * @param requestId request that the answer belongs to, if it says so
 * @param faultAddress address of the endpoint at fault if it is another one of the chain
 * @param keepAliveMs time for which the endpoint keeps the connection without a request in ms, or 0 if unknown
 * @param isClosing whether the endpoint closes the connection after the answer
 */
public record ResponseHead(
        int status,
        boolean isNotRun,
        boolean isSealed,
        Optional<String> requestId,
        Optional<String> faultAddress,
        long keepAliveMs,
        boolean isClosing) {

    private static final int MISDIRECTED = 421;
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    /** Returns whether the endpoint says that the request was meant for another one, RFC 9110 section 15.5.20. */
    public boolean isMisdirected() {
        return status == MISDIRECTED;
    }

    /** Returns whether the request succeeded. */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
}

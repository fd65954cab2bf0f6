package io.radishwinch.server.engine;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;

/** Thrown if a call to an endpoint fails; the verdict tells whether the call may have run. */
public final class EndpointException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String endpointId;
    private final Reason reason;
    private final Verdict verdict;

    /** Creates an exception whose message starts with the endpoint identifier. */
    public EndpointException(String endpointId, Reason reason, Verdict verdict, String message, Throwable cause) {
        super(endpointId + ": " + message, cause);
        this.endpointId = endpointId;
        this.reason = reason;
        this.verdict = verdict;
    }

    /** Returns the identifier of the called endpoint. */
    public String endpointId() {
        return endpointId;
    }

    /** Returns the reason of the failure. */
    public Reason reason() {
        return reason;
    }

    /** Returns whether the call may have run. */
    public Verdict verdict() {
        return verdict;
    }
}

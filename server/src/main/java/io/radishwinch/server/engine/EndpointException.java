package io.radishwinch.server.engine;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;

/** A call to an endpoint failed; the verdict says whether it may have run. */
public final class EndpointException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String endpointId;
    private final Reason reason;
    private final Verdict verdict;

    /** Creates an exception. */
    public EndpointException(String endpointId, Reason reason, Verdict verdict, String message, Throwable cause) {
        super(endpointId + ": " + message, cause);
        this.endpointId = endpointId;
        this.reason = reason;
        this.verdict = verdict;
    }

    /** Returns the endpoint that was called. */
    public String endpointId() {
        return endpointId;
    }

    /** Returns what happened. */
    public Reason reason() {
        return reason;
    }

    /** Returns whether the call may have run. */
    public Verdict verdict() {
        return verdict;
    }
}

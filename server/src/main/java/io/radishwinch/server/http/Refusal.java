package io.radishwinch.server.http;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;

/**
 * Reason for which a request is refused or failed.
 *
 * @param reason machine-readable reason
 * @param verdict whether the request ran, may have run or did not run
 * @param message human-readable message without secrets
 * @param retryAfterMs suggested delay before a retry in ms, or 0 for none
 */
public record Refusal(Reason reason, Verdict verdict, String message, long retryAfterMs) {

    /** Delay suggested to callers before the first configuration arrives, in ms; a start takes about a second. */
    private static final long NOT_CONFIGURED_RETRY_MS = 500;

    /** Returns the refusal of a request at a router that has just started and has no configuration yet. */
    public static Refusal notConfigured() {
        return new Refusal(
                Reason.NO_CAPACITY, Verdict.NOT_RUN, "the router has no configuration yet", NOT_CONFIGURED_RETRY_MS);
    }

    /** Returns a refusal of a request that did not run. */
    public static Refusal notRun(Reason reason, String message) {
        return new Refusal(reason, Verdict.NOT_RUN, message, 0);
    }
}

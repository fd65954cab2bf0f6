package io.radishwinch.server.http;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;

/**
 * Why a caller gets an error.
 *
 * @param reason machine-readable reason
 * @param verdict whether the request may have run
 * @param message text for people, without secrets
 * @param retryAfterMs suggested wait before sending again in ms, or 0
 */
public record Refusal(Reason reason, Verdict verdict, String message, long retryAfterMs) {

    /** Returns a refusal of a request that did not run. */
    public static Refusal notRun(Reason reason, String message) {
        return new Refusal(reason, Verdict.NOT_RUN, message, 0);
    }
}

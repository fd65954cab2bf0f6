package io.radishwinch.server.proxy;

import java.util.List;

/**
 * Parsed headers of a caller's request.
 *
 * @param requestId identifier that the caller assigned to this attempt
 * @param timeoutMs time for which the caller waits for its response in ms, or {@link #NONE}
 * @param promptTokens tokens of the prompt, 0 for a request without one
 * @param maxNewTokens maximum number of completion tokens, 0 for a request without a prompt
 * @param expectedNewTokens number of completion tokens that the caller expects, at most {@code maxNewTokens}
 * @param sharedParts hashes of the parts of the prompt that other requests may contain too, in the order of the prompt
 * @param resumeAfterEventId identifier of the event after which the stream resumes, or {@link #NONE} to start at the
 *     beginning
 */
public record RequestHead(
        String requestId,
        long timeoutMs,
        int promptTokens,
        int maxNewTokens,
        int expectedNewTokens,
        List<Long> sharedParts,
        long resumeAfterEventId) {

    /** Value of optional fields that are absent from the request. */
    public static final long NONE = -1;

    /** Copies the parts. */
    public RequestHead {
        sharedParts = List.copyOf(sharedParts);
    }
}

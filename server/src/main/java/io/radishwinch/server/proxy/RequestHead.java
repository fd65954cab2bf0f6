package io.radishwinch.server.proxy;

/**
 * What a caller says in the head of its request.
 *
 * @param requestId identifier that the caller gave this attempt
 * @param timeoutMs time that the caller waits for its answer in ms, or {@link #NONE}
 * @param promptTokens tokens of the prompt, 0 for a request without one
 * @param maxNewTokens largest number of answer tokens, 0 for a request without a prompt
 * @param expectedNewTokens answer tokens that the caller expects, at most {@code maxNewTokens}
 * @param resumeAfterEventId event behind which a stream goes on, or {@link #NONE} for one from its start
 */
public record RequestHead(
        String requestId,
        long timeoutMs,
        int promptTokens,
        int maxNewTokens,
        int expectedNewTokens,
        long resumeAfterEventId) {

    /** Value of fields that the request does not have. */
    public static final long NONE = -1;
}

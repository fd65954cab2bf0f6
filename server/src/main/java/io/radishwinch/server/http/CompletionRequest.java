package io.radishwinch.server.http;

/**
 * A parsed completion request.
 *
 * @param chat whether it came as a chat completion
 * @param model model name
 * @param prompt prompt text; messages of a chat are joined by their roles
 * @param maxNewTokens largest number of answer tokens
 * @param stream whether the answer is streamed
 * @param includeUsage whether the stream ends with a usage chunk
 */
record CompletionRequest(
        boolean chat, String model, String prompt, int maxNewTokens, boolean stream, boolean includeUsage) {}

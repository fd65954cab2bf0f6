package io.radishwinch.server.http;

/**
 * A parsed completion request.
 *
 * @param isChat whether it came as a chat completion
 * @param model model name
 * @param prompt prompt text; messages of a chat are joined by their roles
 * @param maxNewTokens largest number of answer tokens
 * @param isStreaming whether the answer is streamed
 * @param includeUsage whether the stream ends with a usage chunk
 */
record CompletionRequest(
        boolean isChat, String model, String prompt, int maxNewTokens, boolean isStreaming, boolean includeUsage) {}

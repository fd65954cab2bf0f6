package io.radishwinch.server.http;

/**
 * A parsed completion request.
 *
 * @param isChat whether the request is a chat completion
 * @param model model name
 * @param prompt prompt text; the messages of a chat are concatenated with their roles
 * @param maxNewTokens maximum number of completion tokens
 * @param isStreaming whether the response is streamed
 * @param includeUsage whether the stream ends with a chunk of token counts
 */
record CompletionRequest(
        boolean isChat, String model, String prompt, int maxNewTokens, boolean isStreaming, boolean includeUsage) {}

package io.radishwinch.server.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Formats complete and streamed completions as JSON of the OpenAI API. */
final class CompletionResponseFormat {
    static final String STREAM_END = "data: [DONE]\n\n";

    private final CompletionRequest request;
    private final String id;
    private final long createdS;

    CompletionResponseFormat(CompletionRequest request, String requestId, long createdS) {
        this.request = request;
        this.id = (request.isChat() ? "chatcmpl-" : "cmpl-") + requestId;
        this.createdS = createdS;
    }

    /** Returns the event for one token. The first event of a chat completion also contains the role. */
    String tokenEvent(String token, boolean isFirst) {
        ObjectNode choice = choice(null);
        if (request.isChat()) {
            ObjectNode delta = choice.putObject("delta");
            if (isFirst) {
                delta.put("role", "assistant");
            }
            delta.put("content", token);
        } else {
            choice.put("text", token);
        }
        return event(streamObject(choice));
    }

    /** Returns the event that contains the finish reason. */
    String finishEvent(String finishReason) {
        ObjectNode choice = choice(finishReason);
        if (request.isChat()) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        return event(streamObject(choice));
    }

    /** Returns the event that contains the token counts. */
    String usageEvent(int promptTokens, int completionTokens) {
        ObjectNode root = root(request.isChat() ? "chat.completion.chunk" : "text_completion");
        root.putArray("choices");
        root.set("usage", usage(promptTokens, completionTokens));
        return event(root);
    }

    /** Returns the body of a complete, not streamed response. */
    ObjectNode fullResponse(String text, String finishReason, int promptTokens, int completionTokens) {
        ObjectNode root = root(request.isChat() ? "chat.completion" : "text_completion");
        ObjectNode choice = choice(finishReason);
        if (request.isChat()) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        root.putArray("choices").add(choice);
        root.set("usage", usage(promptTokens, completionTokens));
        return root;
    }

    private ObjectNode streamObject(ObjectNode choice) {
        ObjectNode root = root(request.isChat() ? "chat.completion.chunk" : "text_completion");
        root.putArray("choices").add(choice);
        return root;
    }

    private ObjectNode root(String object) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("id", id);
        root.put("object", object);
        root.put("created", createdS);
        root.put("model", request.model());
        return root;
    }

    private static ObjectNode choice(String finishReason) {
        ObjectNode choice = JsonNodeFactory.instance.objectNode();
        choice.put("index", 0);
        choice.put("finish_reason", finishReason);
        choice.putNull("logprobs");
        return choice;
    }

    private static ObjectNode usage(int promptTokens, int completionTokens) {
        ObjectNode usage = JsonNodeFactory.instance.objectNode();
        usage.put("prompt_tokens", promptTokens);
        usage.put("completion_tokens", completionTokens);
        usage.put("total_tokens", promptTokens + completionTokens);
        return usage;
    }

    private static String event(ObjectNode root) {
        return "data: " + root + "\n\n";
    }
}

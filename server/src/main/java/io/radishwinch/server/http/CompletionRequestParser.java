package io.radishwinch.server.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.radishwinch.core.model.Reason;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Parses the JSON bodies of {@code /v1/chat/completions} and {@code /v1/completions}. */
final class CompletionRequestParser {
    /** Maximum number of completion tokens if the request sets no limit. */
    static final int DEFAULT_MAX_NEW_TOKENS = 256;

    private static final int MAX_NEW_TOKENS = 1_000_000;
    private static final int MAX_NESTING = 32;
    private static final int MAX_NUMBER_LENGTH = 40;
    private static final int MAX_MODEL_NAME_LENGTH = 128;

    private static final ObjectMapper MAPPER = new ObjectMapper(JsonFactory.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAX_NESTING)
                            .maxNumberLength(MAX_NUMBER_LENGTH)
                            .build())
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private CompletionRequestParser() {}

    /**
     * Parses a body.
     *
     * @param isChat whether the body is that of a chat completion
     * @return the request, or the refusal if the body is malformed
     */
    static Either<Refusal, CompletionRequest> parse(boolean isChat, byte[] body) {
        try {
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(body))
                    .toString();
            JsonNode root = MAPPER.readTree(text);
            if (root == null || !root.isObject()) {
                return malformed("$", "the body must be a JSON object");
            }
            return Either.right(toRequest(isChat, root));
        } catch (CharacterCodingException e) {
            return malformed("$", "the body is not valid UTF-8");
        } catch (JsonProcessingException e) {
            return malformed("$", "not valid JSON: " + e.getOriginalMessage());
        } catch (FieldException e) {
            return malformed(e.path, e.getMessage());
        }
    }

    private static Either<Refusal, CompletionRequest> malformed(String path, String message) {
        return Either.left(Refusal.notRun(Reason.MALFORMED_REQUEST, path + ": " + message));
    }

    private static CompletionRequest toRequest(boolean isChat, JsonNode root) throws FieldException {
        String model = requiredText(root, "model");
        if (model.length() > MAX_MODEL_NAME_LENGTH) {
            throw new FieldException("$.model", "must have at most " + MAX_MODEL_NAME_LENGTH + " characters");
        }
        String prompt = isChat ? chatPrompt(root.path("messages")) : plainPrompt(root.path("prompt"));
        if (root.hasNonNull("n") && root.path("n").asInt(0) != 1) {
            throw new FieldException("$.n", "only one answer for each request is supported");
        }
        boolean stream = optionalBoolean(root, "stream");
        boolean includeUsage = optionalBoolean(root.path("stream_options"), "include_usage");
        return new CompletionRequest(isChat, model, prompt, maxNewTokens(root), stream, includeUsage);
    }

    private static int maxNewTokens(JsonNode root) throws FieldException {
        String field = root.hasNonNull("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        JsonNode value = root.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_MAX_NEW_TOKENS;
        }
        if (!value.canConvertToInt()
                || !value.isIntegralNumber()
                || value.asInt() < 1
                || value.asInt() > MAX_NEW_TOKENS) {
            throw new FieldException("$." + field, "must be an integer from 1 to " + MAX_NEW_TOKENS);
        }
        return value.asInt();
    }

    private static String plainPrompt(JsonNode prompt) throws FieldException {
        JsonNode value = prompt.isArray() && prompt.size() == 1 ? prompt.get(0) : prompt;
        if (!value.isTextual()) {
            throw new FieldException("$.prompt", "must be a string or an array of one string");
        }
        return value.asText();
    }

    private static String chatPrompt(JsonNode messages) throws FieldException {
        if (!messages.isArray() || messages.isEmpty()) {
            throw new FieldException("$.messages", "must be an array of at least one message");
        }
        StringBuilder prompt = new StringBuilder();
        for (int i = 0; i < messages.size(); i++) {
            String path = "$.messages[" + i + "]";
            JsonNode message = messages.get(i);
            if (!message.path("role").isTextual()) {
                throw new FieldException(path + ".role", "must be a string");
            }
            prompt.append(message.path("role").asText()).append(": ");
            appendContent(prompt, path + ".content", message.path("content"));
            prompt.append('\n');
        }
        return prompt.toString();
    }

    private static void appendContent(StringBuilder prompt, String path, JsonNode content) throws FieldException {
        if (content.isTextual()) {
            prompt.append(content.asText());
            return;
        }
        if (!content.isArray()) {
            throw new FieldException(path, "must be a string or an array of text parts");
        }
        for (JsonNode part : content) {
            if (!part.path("type").asText().equals("text") || !part.path("text").isTextual()) {
                throw new FieldException(path, "only parts of type text are supported");
            }
            prompt.append(part.path("text").asText());
        }
    }

    private static String requiredText(JsonNode root, String field) throws FieldException {
        JsonNode value = root.path(field);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new FieldException("$." + field, "must be a non-empty string");
        }
        return value.asText();
    }

    private static boolean optionalBoolean(JsonNode root, String field) throws FieldException {
        JsonNode value = root.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return false;
        }
        if (!value.isBoolean()) {
            throw new FieldException("$." + field, "must be a boolean");
        }
        return value.asBoolean();
    }

    /** Thrown if a field is missing or has an invalid value. */
    private static final class FieldException extends Exception {
        private static final long serialVersionUID = 1L;
        private final String path;

        FieldException(String path, String message) {
            super(message);
            this.path = path;
        }
    }
}

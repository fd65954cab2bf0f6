package io.radishwinch.embedded;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;

/** HTTP client that sends requests to a router as a caller. */
final class CallerClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final String SSE_DATA_PREFIX = "data: ";

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String key;

    CallerClient(String key) {
        this.key = key;
    }

    /**
     * The result of a completion request.
     *
     * @param status HTTP status
     * @param tokens tokens of a stream, or the complete body text as one element
     * @param isComplete whether the response was successful and complete
     */
    record CompletionResult(int status, List<String> tokens, boolean isComplete) {}

    /** Requests a completion without streaming. */
    CompletionResult requestCompletion(int port, String rank, String model, String prompt, int maxTokens)
            throws IOException, InterruptedException {
        HttpRequest request = completionRequest(port, rank, completionBody(model, prompt, maxTokens, false));
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
        boolean isSuccess = response.statusCode() == 200;
        String text = isSuccess
                ? MAPPER.readTree(response.body()).at("/choices/0/text").asText()
                : response.body();
        return new CompletionResult(response.statusCode(), List.of(text), isSuccess);
    }

    /** Requests a streamed completion; the listener receives the number of tokens so far after each token. */
    CompletionResult streamCompletion(
            int port, String rank, String model, String prompt, int maxTokens, IntConsumer listener)
            throws IOException, InterruptedException {
        HttpRequest request = completionRequest(port, rank, completionBody(model, prompt, maxTokens, true));
        HttpResponse<InputStream> response = http.send(request, HttpResponse.BodyHandlers.ofInputStream());
        List<String> tokens = new ArrayList<>();
        boolean isDone = false;
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (line.equals(SSE_DATA_PREFIX + "[DONE]")) {
                    isDone = true;
                } else if (line.startsWith(SSE_DATA_PREFIX)) {
                    JsonNode text = MAPPER.readTree(line.substring(SSE_DATA_PREFIX.length()))
                            .at("/choices/0/text");
                    if (!text.asText().isEmpty()) {
                        tokens.add(text.asText());
                        listener.accept(tokens.size());
                    }
                }
            }
        }
        return new CompletionResult(response.statusCode(), tokens, isDone);
    }

    /** Sends a POST request to a plain service with rank account-action and an idempotency key. */
    HttpResponse<String> callService(int port, String path, String idempotencyKey, String body)
            throws IOException, InterruptedException {
        HttpRequest request = requestBuilder(port, path)
                .header("X-Radishwinch-Rank", "account-action")
                .header("Idempotency-Key", idempotencyKey)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest completionRequest(int port, String rank, String body) {
        return requestBuilder(port, "/v1/completions")
                .header("X-Radishwinch-Rank", rank)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private HttpRequest.Builder requestBuilder(int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "application/json");
    }

    private static String completionBody(String model, String prompt, int maxTokens, boolean stream) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("model", model);
        body.put("prompt", prompt);
        body.put("max_tokens", maxTokens);
        body.put("stream", stream);
        return body.toString();
    }
}

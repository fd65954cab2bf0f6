package io.radishwinch.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Calls of the operators' interface of a router on loopback. */
final class AdminCalls {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<Integer> CONFLICTS = Set.of(409, 412);
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient http = HttpClient.newHttpClient();
    private final String key;

    /** A document that no router takes. */
    static final class RefusedException extends IOException {
        private static final long serialVersionUID = 1;

        RefusedException(String message) {
            super(message);
        }
    }

    AdminCalls(String key) {
        this.key = key;
    }

    /**
     * Writes a document over its current version.
     *
     * @param path kind and name, for example {@code /models/m}
     * @throws RefusedException if the router refuses it for good
     * @throws IOException if the router does not respond, is not ready, or another writer was faster
     */
    void put(int port, String path, String document) throws IOException, InterruptedException {
        HttpResponse<String> current = get(port, path);
        long version = current.statusCode() == 200
                ? JSON.readTree(current.body()).path("version").asLong()
                : 0;
        HttpResponse<String> response = http.send(
                request(port, path)
                        .header("If-Match", "\"" + version + "\"")
                        .PUT(HttpRequest.BodyPublishers.ofString(document))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() / 100 != 2) {
            String message = "PUT " + path + ": status " + response.statusCode() + ", " + response.body();
            boolean isTemporary = response.statusCode() >= 500 || CONFLICTS.contains(response.statusCode());
            throw isTemporary ? new IOException(message) : new RefusedException(message);
        }
    }

    /** Returns the steps of a request as its router explains them, or none if the router does not know it. */
    List<Timeline.Entry> explain(int port, String routerId, String requestId) throws IOException, InterruptedException {
        HttpResponse<String> response = get(port, "/requests/" + requestId);
        List<Timeline.Entry> entries = new ArrayList<>();
        if (response.statusCode() == 200) {
            JSON.readTree(response.body())
                    .path("steps")
                    .forEach(step -> entries.add(new Timeline.Entry(
                            step.path("atMs").asLong(),
                            routerId,
                            step.path("text").asText())));
        }
        return entries;
    }

    private HttpResponse<String> get(int port, String path) throws IOException, InterruptedException {
        return http.send(request(port, path).GET().build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + RouterProcess.HOST + ":" + port + "/admin/v1" + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + key);
    }
}

package io.radishwinch.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.radishwinch.soak.CallerRecord.End;
import io.radishwinch.soak.CallerRecord.Response;
import io.radishwinch.soak.scenario.Scenario.RequestClass;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Sends requests over kept connections as the callers of a scenario, and records the responses. */
final class CallerClient implements AutoCloseable {
    /** Time after the deadline for which a caller waits for the end, in ms. */
    static final int GRACE_MS = 5_000;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ScheduledExecutorService watchdog = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "soak-watchdog");
        thread.setDaemon(true);
        return thread;
    });

    /** Sends a request whose prompt is its name, and waits for its end. */
    CallerRecord send(String name, Account account, String key, RouterProcess router) throws InterruptedException {
        RequestClass requests = account.requests();
        HttpRequest request = HttpRequest.newBuilder(URI.create(router.callerAddress() + "/v1/completions"))
                .timeout(Duration.ofMillis(requests.deadlineMs() + GRACE_MS))
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "application/json")
                .header("X-Radishwinch-Deadline-Ms", Integer.toString(requests.deadlineMs()))
                .POST(HttpRequest.BodyPublishers.ofString(JSON.createObjectNode()
                        .put("model", Deployment.MODEL)
                        .put("prompt", name)
                        .put("max_tokens", requests.events())
                        .put("stream", true)
                        .toString()))
                .build();
        long sentAtMs = System.currentTimeMillis();
        String requestId = "";
        Response response;
        try {
            HttpResponse<InputStream> head = http.send(request, HttpResponse.BodyHandlers.ofInputStream());
            requestId = head.headers().firstValue("X-Request-Id").orElse("");
            long leftMs = sentAtMs + requests.deadlineMs() + GRACE_MS - System.currentTimeMillis();
            response = head.statusCode() == 200 ? readStream(head.body(), leftMs) : readRefusal(head, leftMs);
        } catch (HttpTimeoutException e) {
            response = new Response(End.CALLER_LEFT, 0, "", "", List.of());
        } catch (IOException e) {
            response = new Response(End.NO_RESPONSE, 0, "", "", List.of());
        }
        return new CallerRecord(
                name,
                requests.name(),
                account.name(),
                router.id(),
                requestId,
                sentAtMs,
                System.currentTimeMillis(),
                requests.deadlineMs(),
                requests.events(),
                response);
    }

    private Response readStream(InputStream body, long leftMs) {
        List<String> events = new ArrayList<>();
        JsonNode error = JSON.missingNode();
        boolean isDone = false;
        AtomicBoolean hasLeft = new AtomicBoolean();
        Future<?> leave = leaveAfter(body, leftMs, hasLeft);
        End end;
        try (BufferedReader lines = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (line.equals(DATA + DONE)) {
                    isDone = true;
                } else if (line.startsWith(DATA)) {
                    JsonNode event = JSON.readTree(line.substring(DATA.length()));
                    String text = event.at("/choices/0/text").asText();
                    error = event.has("error") ? event.path("error") : error;
                    if (!text.isEmpty()) {
                        events.add(text);
                    }
                }
            }
            end = isDone ? End.COMPLETE : End.BROKEN_OFF;
        } catch (IOException e) {
            end = End.BROKEN_OFF;
        } finally {
            leave.cancel(false);
        }
        end = hasLeft.get() ? End.CALLER_LEFT : end;
        return new Response(
                end, 200, error.path("reason").asText(""), error.path("verdict").asText(""), events);
    }

    private Response readRefusal(HttpResponse<InputStream> head, long leftMs) {
        AtomicBoolean hasLeft = new AtomicBoolean();
        Future<?> leave = leaveAfter(head.body(), leftMs, hasLeft);
        End end = End.REFUSED;
        try (InputStream body = head.body()) {
            body.readAllBytes();
        } catch (IOException e) {
            end = End.BROKEN_OFF;
        } finally {
            leave.cancel(false);
        }
        return new Response(
                hasLeft.get() ? End.CALLER_LEFT : end,
                head.statusCode(),
                head.headers().firstValue("X-Radishwinch-Reason").orElse(""),
                head.headers().firstValue("X-Radishwinch-Verdict").orElse(""),
                List.of());
    }

    private Future<?> leaveAfter(InputStream body, long leftMs, AtomicBoolean hasLeft) {
        return watchdog.schedule(
                () -> {
                    hasLeft.set(true);
                    body.close();
                    return null;
                },
                Math.max(0, leftMs),
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        watchdog.shutdownNow();
    }
}

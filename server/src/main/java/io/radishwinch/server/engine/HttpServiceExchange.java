package io.radishwinch.server.engine;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.Failures;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.streams.ReadStream;
import java.util.Set;
import java.util.function.LongSupplier;

/** HTTP call to a plain service; one Vert.x context owns all state. */
final class HttpServiceExchange implements ServiceClient.Exchange {
    private static final int HTTP_UNAVAILABLE = 503;

    /** Headers that the client sets for the endpoint. */
    private static final Set<String> SET_BY_CLIENT = Set.of("host");

    private final Vertx vertx;
    private final Context context;
    private final ServiceClient.Call call;
    private final long maxResponseBytes;
    private final LongSupplier clockMs;
    private final Promise<ServiceClient.Response> promise = Promise.promise();
    private HttpClientRequest request;
    private BoundedBody responseBody;
    private boolean isEnded;
    private long deadlineTimer = -1;

    HttpServiceExchange(Vertx vertx, ServiceClient.Call call, long maxResponseBytes, LongSupplier clockMs) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.call = call;
        this.maxResponseBytes = maxResponseBytes;
        this.clockMs = clockMs;
    }

    /** Returns a copy without hop-by-hop headers and those that the client sets. */
    static MultiMap endToEndHeaders(MultiMap headers) {
        return EndToEndHeaders.copy(headers, SET_BY_CLIENT);
    }

    @Override
    public Future<ServiceClient.Response> response() {
        return promise.future();
    }

    @Override
    public void cancel() {
        context.runOnContext(ignored -> fail(Reason.CALLER_DISCONNECTED, "call cancelled", null));
    }

    void start(HttpClientAgent client) {
        context.runOnContext(ignored -> runOrFail(() -> open(client)));
    }

    /** Runs a part of the call, which fails at once instead of at its deadline if an exception ends the part. */
    private void runOrFail(Runnable part) {
        try {
            part.run();
        } catch (RuntimeException e) {
            fail(Reason.STAGE_DIED, "call cannot be sent: " + Failures.describe(e), e);
        }
    }

    private void open(HttpClientAgent client) {
        if (isEnded) {
            return;
        }
        long remainingMs = call.deadlineMs() - clockMs.getAsLong();
        if (remainingMs <= 0) {
            fail(Reason.DEADLINE_UNREACHABLE, "deadline expired before the call was sent", null);
            return;
        }
        deadlineTimer = vertx.setTimer(
                remainingMs, id -> fail(Reason.DEADLINE_EXCEEDED, "deadline expired during the call", null));
        RequestOptions target = new RequestOptions()
                .setMethod(call.method())
                .setHost(call.endpoint().host())
                .setPort(call.endpoint().port())
                .setURI(call.uri())
                .setHeaders(endToEndHeaders(call.headers()));
        HttpRequests.open(client, target)
                .onFailure(cause -> fail(Reason.STAGE_DIED, "failed to connect: " + Failures.describe(cause), cause))
                .onSuccess(opened -> runOrFail(() -> sendRequest(opened)));
    }

    private void sendRequest(HttpClientRequest opened) {
        if (isEnded) {
            opened.reset();
            return;
        }
        request = opened;
        opened.exceptionHandler(
                cause -> fail(Reason.STAGE_DIED, "connection failed: " + Failures.describe(cause), cause));
        opened.response()
                .onSuccess(this::onResponse)
                .onFailure(cause -> fail(Reason.STAGE_DIED, "connection failed: " + Failures.describe(cause), cause));
        if (call.body() instanceof ServiceClient.Body.Buffered buffered) {
            // The length of the buffered body replaces the caller's Content-Length.
            opened.headers().remove("Content-Length");
            if (buffered.bytes().length() == 0) {
                opened.end();
            } else {
                opened.end(buffered.bytes());
            }
        } else if (call.body() instanceof ServiceClient.Body.Streamed streamed) {
            if (!opened.headers().contains("Content-Length")) {
                opened.setChunked(true);
            }
            streamBody(streamed, opened);
        }
    }

    private void streamBody(ServiceClient.Body.Streamed body, HttpClientRequest opened) {
        long[] sentBytes = new long[1];
        ReadStream<Buffer> source = body.stream();
        source.exceptionHandler(cause ->
                fail(Reason.CALLER_DISCONNECTED, "connection of the caller failed during the request body", cause));
        source.handler(chunk -> {
            if (isEnded) {
                return;
            }
            sentBytes[0] += chunk.length();
            if (sentBytes[0] > body.maxBytes()) {
                fail(Reason.BODY_TOO_LARGE, "request body exceeds " + body.maxBytes() + " bytes", null);
                return;
            }
            opened.write(chunk);
            if (opened.writeQueueFull()) {
                source.pause();
                opened.drainHandler(ignored -> source.resume());
            }
        });
        source.endHandler(ignored -> {
            if (!isEnded) {
                opened.end();
            }
        });
        source.resume();
    }

    private void onResponse(HttpClientResponse received) {
        if (isEnded) {
            return;
        }
        if (received.statusCode() == HTTP_UNAVAILABLE
                && "true".equalsIgnoreCase(received.getHeader(HttpExchange.NOT_RUN_HEADER))) {
            onRefused();
            return;
        }
        received.pause();
        responseBody = new BoundedBody(
                received, maxResponseBytes, this::finish, message -> fail(Reason.STAGE_DIED, message, null));
        promise.complete(
                new ServiceClient.Response(received.statusCode(), endToEndHeaders(received.headers()), responseBody));
    }

    private void onRefused() {
        finish();
        request.reset();
        promise.fail(new EndpointException(
                call.endpoint().endpointId(),
                Reason.ENDPOINT_REFUSED,
                Verdict.NOT_RUN,
                "service refused the call without running it",
                null));
    }

    private void finish() {
        isEnded = true;
        vertx.cancelTimer(deadlineTimer);
    }

    private void fail(Reason reason, String message, Throwable cause) {
        if (isEnded) {
            return;
        }
        finish();
        if (request != null) {
            request.reset();
        }
        Verdict verdict = request == null ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
        EndpointException failure =
                new EndpointException(call.endpoint().endpointId(), reason, verdict, message, cause);
        if (responseBody != null) {
            responseBody.fail(failure);
        } else {
            promise.fail(failure);
        }
    }
}

package io.radishwinch.server.engine;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;

/**
 * One short HTTP call with a bounded answer and a verdict on each failure.
 *
 * <p>A failure before the request was handed to a connection is {@code NOT_RUN}, any later one {@code MAY_HAVE_RUN}.
 */
public final class HttpExchange {
    /** Header by which an endpoint says that it did not run the call. */
    public static final String NOT_RUN_HEADER = "X-Not-Run";

    private final Vertx vertx;
    private final EndpointAddress address;
    private final int maxResponseBytes;
    private final Promise<Response> promise = Promise.promise();
    private final Buffer responseBody = Buffer.buffer();
    private HttpClientRequest request;
    private boolean isEnded;
    private long timerId = -1;

    private HttpExchange(Vertx vertx, EndpointAddress address, int maxAnswerBytes) {
        this.vertx = vertx;
        this.address = address;
        this.maxResponseBytes = maxAnswerBytes;
    }

    /** Creates the HTTP client on which exchanges run, with connections that are kept for further calls. */
    public static HttpClientAgent newClient(Vertx vertx, ClientOptions options) {
        HttpClientOptions http = new HttpClientOptions()
                .setConnectTimeout(options.connectTimeoutMs())
                .setKeepAliveTimeout(options.keepAliveTimeoutS())
                .setTcpNoDelay(true)
                .setMaxHeaderSize(16 << 10);
        PoolOptions pool = new PoolOptions()
                .setHttp1MaxSize(options.maxConnectionsPerEndpoint())
                .setMaxWaitQueueSize(options.maxWaitQueueSize());
        return vertx.createHttpClient(http, pool);
    }

    /**
     * Sends a call.
     *
     * @param headers headers, may be empty
     * @param body body, or null
     * @param timeoutMs time for the whole call, in ms
     * @param maxAnswerBytes bound on the body of the answer, in bytes
     * @return the answer of any status, or a failure with an {@link EndpointException}
     */
    public static Future<Response> send(
            Vertx vertx,
            HttpClient client,
            EndpointAddress address,
            HttpMethod method,
            String uri,
            MultiMap headers,
            Buffer body,
            long timeoutMs,
            int maxAnswerBytes) {
        HttpExchange exchange = new HttpExchange(vertx, address, maxAnswerBytes);
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(address.host())
                .setPort(address.port())
                .setURI(uri)
                .setHeaders(headers);
        vertx.getOrCreateContext().runOnContext(ignored -> exchange.start(client, options, body, timeoutMs));
        return exchange.promise.future();
    }

    private void start(HttpClient client, RequestOptions options, Buffer body, long timeoutMs) {
        timerId = vertx.setTimer(
                Math.max(1, timeoutMs), id -> fail(Reason.ENDPOINT_TIMEOUT, "no answer in " + timeoutMs + " ms", null));
        client.request(options)
                .onFailure(cause -> fail(Reason.STAGE_DIED, "no connection: " + cause.getMessage(), cause))
                .onSuccess(opened -> {
                    if (isEnded) {
                        opened.reset();
                        return;
                    }
                    request = opened;
                    opened.exceptionHandler(cause -> fail(Reason.STAGE_DIED, "connection broke", cause));
                    opened.response()
                            .onSuccess(this::onResponse)
                            .onFailure(cause -> fail(Reason.STAGE_DIED, "connection broke", cause));
                    if (body == null) {
                        opened.end();
                    } else {
                        opened.end(body);
                    }
                });
    }

    private void onResponse(HttpClientResponse response) {
        if (isEnded) {
            return;
        }
        response.exceptionHandler(cause -> fail(Reason.STAGE_DIED, "connection broke in the answer", cause));
        response.handler(chunk -> {
            if (!isEnded && responseBody.length() + chunk.length() > maxResponseBytes) {
                fail(Reason.STAGE_DIED, "answer of more than " + maxResponseBytes + " bytes", null);
            } else if (!isEnded) {
                responseBody.appendBuffer(chunk);
            }
        });
        response.endHandler(ignored -> {
            if (!isEnded) {
                isEnded = true;
                vertx.cancelTimer(timerId);
                promise.complete(new Response(response.statusCode(), response.headers(), responseBody));
            }
        });
    }

    private void fail(Reason reason, String message, Throwable cause) {
        if (isEnded) {
            return;
        }
        isEnded = true;
        vertx.cancelTimer(timerId);
        Verdict verdict = request == null ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
        if (request != null) {
            request.reset();
        }
        promise.fail(new EndpointException(address.endpointId(), reason, verdict, message, cause));
    }

    /**
     * Answer to a short call.
     *
     * @param status HTTP status
     * @param headers headers
     * @param body body
     */
    public record Response(int status, MultiMap headers, Buffer body) {
        /** Returns whether the endpoint says that it did not run the call. */
        public boolean isNotRun() {
            return "true".equalsIgnoreCase(headers.get(NOT_RUN_HEADER));
        }
    }
}

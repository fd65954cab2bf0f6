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
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;

/**
 * A short HTTP call with a size limit for the response and a verdict for each failure.
 *
 * <p>Failures before the request is passed to a connection are {@code NOT_RUN}, later ones {@code MAY_HAVE_RUN}.
 *
 * <p>A response with neither a length nor chunks ends with its connection, and one that broke off looks the same (RFC
 * 9112, section 8). It is returned as it came: a reader either parses a document that shows its own end, such as a JSON
 * object with required fields, or requires {@link Response#isDelimited()}.
 */
public final class HttpExchange {
    /** Response header with which an endpoint states that it did not run the call. */
    public static final String NOT_RUN_HEADER = "X-Not-Run";

    private final Vertx vertx;
    private final EndpointAddress address;
    private final int maxResponseBytes;
    private final Promise<Response> promise = Promise.promise();
    private final Buffer responseBody = Buffer.buffer();
    private HttpClientRequest request;
    private boolean isEnded;
    private long timerId = -1;

    private HttpExchange(Vertx vertx, EndpointAddress address, int maxResponseBytes) {
        this.vertx = vertx;
        this.address = address;
        this.maxResponseBytes = maxResponseBytes;
    }

    /** Creates an HTTP client with pooled connections for exchanges. */
    public static HttpClientAgent newClient(Vertx vertx, ClientOptions options) {
        return newClient(vertx, options, true);
    }

    /**
     * Creates an HTTP client that opens a connection for each exchange and closes it afterwards. A pooled connection
     * attributes a response to a call only by its place, so a late second copy of one response would be taken for the
     * response to the next call.
     */
    public static HttpClientAgent newUnpooledClient(Vertx vertx, ClientOptions options) {
        return newClient(vertx, options, false);
    }

    private static HttpClientAgent newClient(Vertx vertx, ClientOptions options, boolean isKeepAlive) {
        HttpClientOptions http = new HttpClientOptions()
                .setConnectTimeout(options.connectTimeoutMs())
                .setKeepAlive(isKeepAlive)
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
     * @param headers request headers, may be empty
     * @param body request body, or null for none
     * @param timeoutMs timeout of the call including the response body, in ms
     * @param maxResponseBytes maximum size of the response body, in bytes
     * @return response with any status; fails with an {@link EndpointException}
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
            int maxResponseBytes) {
        HttpExchange exchange = new HttpExchange(vertx, address, maxResponseBytes);
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
                Math.max(1, timeoutMs),
                id -> fail(Reason.ENDPOINT_TIMEOUT, "no response within " + timeoutMs + " ms", null));
        client.request(options)
                .onFailure(cause -> fail(Reason.STAGE_DIED, "failed to connect: " + cause.getMessage(), cause))
                .onSuccess(opened -> {
                    if (isEnded) {
                        opened.reset();
                        return;
                    }
                    request = opened;
                    opened.exceptionHandler(cause -> fail(Reason.STAGE_DIED, "connection failed", cause));
                    opened.response()
                            .onSuccess(this::onResponse)
                            .onFailure(cause -> fail(Reason.STAGE_DIED, "connection failed", cause));
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
        response.exceptionHandler(cause -> fail(Reason.STAGE_DIED, "connection failed during the response", cause));
        response.handler(chunk -> {
            if (!isEnded && responseBody.length() + chunk.length() > maxResponseBytes) {
                fail(Reason.STAGE_DIED, "response body exceeds " + maxResponseBytes + " bytes", null);
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
     * Response to a short call.
     *
     * @param status HTTP status
     * @param headers response headers
     * @param body response body
     */
    public record Response(int status, MultiMap headers, Buffer body) {
        /** Returns whether the endpoint states that it did not run the call. */
        public boolean isNotRun() {
            return "true".equalsIgnoreCase(headers.get(NOT_RUN_HEADER));
        }

        /** Returns whether a length or chunks delimit the body, so that it arrived completely. */
        public boolean isDelimited() {
            return headers.contains(HttpHeaders.CONTENT_LENGTH)
                    || headers.contains(HttpHeaders.TRANSFER_ENCODING, HttpHeaders.CHUNKED, true);
        }
    }
}

package io.radishwinch.server.engine;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.http.MalformedResponseException;
import io.radishwinch.http.StrictClientCodec;
import io.radishwinch.server.Failures;
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
import java.util.function.Predicate;

/**
 * A short HTTP call with a size limit for the response and a verdict for each failure.
 *
 * <p>Failures before the request is passed to a connection are {@code NOT_RUN}, later ones {@code MAY_HAVE_RUN}.
 *
 * <p>A response with neither a length nor chunks ends with its connection, and one that broke off looks the same (RFC
 * 9112, section 8). It is returned as it came: a reader either parses a document that shows its own end, such as a JSON
 * object with required fields, or requires {@link Response#isDelimited()}.
 *
 * <p>A late second copy of the response to another call may arrive first on any connection, a new one included. See
 * {@link Attribution}. A malformed response is treated as such a copy, because its status may not be that of the call.
 */
public final class HttpExchange {
    /** Response header with which an endpoint states that it did not run the call. */
    public static final String NOT_RUN_HEADER = "X-Not-Run";

    private static final System.Logger LOG = System.getLogger(HttpExchange.class.getName());

    /** Number of responses to other calls after which a call fails instead of being sent again. */
    private static final int MAX_FOREIGN_RESPONSES = 8;

    private static final int MAX_INITIAL_LINE_BYTES = 4 << 10;
    private static final int MAX_HEADER_BYTES = 16 << 10;

    private final Vertx vertx;
    private final EndpointAddress address;
    private final int maxResponseBytes;
    private final Attribution attribution;
    private final Promise<Response> promise = Promise.promise();
    private final Buffer responseBody = Buffer.buffer();
    private HttpClientRequest request;
    private int foreignResponses;
    private boolean isEnded;
    private long timerId = -1;

    private HttpExchange(Vertx vertx, EndpointAddress address, int maxResponseBytes, Attribution attribution) {
        this.vertx = vertx;
        this.address = address;
        this.maxResponseBytes = maxResponseBytes;
        this.attribution = attribution;
    }

    /**
     * Tells the response to a call from those to other calls, which say nothing about it. The connection of such a
     * response is closed, because the HTTP client cannot read the response behind it.
     *
     * @param isForeign returns whether a response with certain headers belongs to another call
     * @param isRepeatable whether the call is sent again on another connection after such a response; it fails as
     *     {@code MAY_HAVE_RUN} otherwise
     */
    public record Attribution(Predicate<MultiMap> isForeign, boolean isRepeatable) {
        /** Takes every response for that to the call. */
        public static final Attribution NONE = new Attribution(headers -> false, false);
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
                .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES);
        PoolOptions pool = new PoolOptions()
                .setHttp1MaxSize(options.maxConnectionsPerEndpoint())
                .setMaxWaitQueueSize(options.maxWaitQueueSize());
        return vertx.httpClientBuilder()
                .with(http)
                .with(pool)
                .withConnectHandler(connection -> StrictClientCodec.install(connection, http))
                .build();
    }

    /**
     * Sends a call.
     *
     * @param headers request headers, may be empty
     * @param body request body, or null for none
     * @param timeoutMs timeout of the call including the response body, in ms
     * @param maxResponseBytes maximum size of the response body, in bytes
     * @param attribution what tells the response from those to other calls
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
            int maxResponseBytes,
            Attribution attribution) {
        HttpExchange exchange = new HttpExchange(vertx, address, maxResponseBytes, attribution);
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
        runOrFail(() -> open(client, options, body));
    }

    /** Runs a part of the call, which fails at once instead of at its timeout if an exception ends the part. */
    private void runOrFail(Runnable part) {
        try {
            part.run();
        } catch (RuntimeException e) {
            fail(Reason.STAGE_DIED, "internal error: " + Failures.describe(e), e);
        }
    }

    private void open(HttpClient client, RequestOptions options, Buffer body) {
        HttpRequests.open(client, options)
                .onFailure(cause -> fail(Reason.STAGE_DIED, "failed to connect: " + Failures.describe(cause), cause))
                .onSuccess(opened -> runOrFail(() -> sendRequest(opened, body, () -> open(client, options, body))));
    }

    private void sendRequest(HttpClientRequest opened, Buffer body, Runnable repeat) {
        if (isEnded) {
            opened.reset();
            return;
        }
        request = opened;
        opened.exceptionHandler(cause -> runOrFail(() -> onConnectionFailure(opened, cause, repeat)));
        opened.response()
                .onSuccess(response -> runOrFail(() -> {
                    if (!isEnded && attribution.isForeign().test(response.headers())) {
                        onForeignResponse("response does not belong to the call", repeat);
                    } else {
                        onResponse(response);
                    }
                }))
                .onFailure(cause -> runOrFail(() -> onConnectionFailure(opened, cause, repeat)));
        if (body == null) {
            opened.end();
        } else {
            opened.end(body);
        }
    }

    private void onConnectionFailure(HttpClientRequest failed, Throwable cause, Runnable repeat) {
        // The connection of a response to another call is closed on purpose.
        if (isEnded || failed != request) {
            return;
        }
        if (cause instanceof MalformedResponseException) {
            onForeignResponse(Failures.describe(cause), repeat);
        } else {
            fail(Reason.STAGE_DIED, "connection failed", cause);
        }
    }

    private void onForeignResponse(String message, Runnable repeat) {
        foreignResponses++;
        LOG.log(
                System.Logger.Level.INFO,
                "{0}: response dropped, {1} for this call: {2}",
                address.endpointId(),
                foreignResponses,
                message);
        if (!attribution.isRepeatable() || foreignResponses >= MAX_FOREIGN_RESPONSES) {
            fail(Reason.STAGE_DIED, message, null);
            return;
        }
        HttpClientRequest dropped = request;
        request = null;
        dropped.reset();
        repeat.run();
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
        boolean isSent = request != null || foreignResponses > 0;
        Verdict verdict = isSent ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
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

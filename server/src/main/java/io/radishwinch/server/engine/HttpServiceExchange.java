package io.radishwinch.server.engine;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.streams.ReadStream;
import java.util.Set;
import java.util.function.LongSupplier;

/** One exchange with a plain service; all state is owned by one Vert.x context. */
final class HttpServiceExchange implements ServiceClient.Exchange {
    private static final int HTTP_UNAVAILABLE = 503;
    private static final long RELEASE_TIMEOUT_MS = 1_000;

    /** Set by the client for the endpoint. */
    private static final Set<String> SET_BY_CLIENT = Set.of("host");

    private final Vertx vertx;
    private final Context context;
    private final ServiceClient.Call call;
    private final long maxAnswerBytes;
    private final LongSupplier nowMs;
    private final Promise<ServiceClient.Response> promise = Promise.promise();
    private HttpClientConnection ownConnection;
    private HttpClientRequest request;
    private BoundedBody answer;
    private boolean ended;
    private long deadlineTimer = -1;

    HttpServiceExchange(Vertx vertx, ServiceClient.Call call, long maxAnswerBytes, LongSupplier nowMs) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.call = call;
        this.maxAnswerBytes = maxAnswerBytes;
        this.nowMs = nowMs;
    }

    /** Returns a copy without the headers that concern one connection only. */
    static MultiMap endToEnd(MultiMap headers) {
        return EndToEndHeaders.copy(headers, SET_BY_CLIENT);
    }

    @Override
    public Future<ServiceClient.Response> response() {
        return promise.future();
    }

    @Override
    public void cancel() {
        context.runOnContext(ignored -> fail(Reason.CALLER_DISCONNECTED, "call was given up", null));
    }

    void start(HttpClientAgent client) {
        context.runOnContext(ignored -> open(client));
    }

    private void open(HttpClientAgent client) {
        if (ended) {
            return;
        }
        long remainingMs = call.deadlineMs() - nowMs.getAsLong();
        if (remainingMs <= 0) {
            fail(Reason.DEADLINE_UNREACHABLE, "deadline passed before the call was sent", null);
            return;
        }
        deadlineTimer = vertx.setTimer(remainingMs, id -> fail(Reason.DEADLINE_EXCEEDED, "deadline passed", null));
        RequestOptions target = new RequestOptions()
                .setMethod(call.method())
                .setHost(call.endpoint().host())
                .setPort(call.endpoint().port())
                .setURI(call.uri())
                .setHeaders(endToEnd(call.headers()));
        if (call.freshConnection()) {
            target.putHeader("Connection", "close");
        }
        connect(client)
                .compose(connection -> connection.request(target))
                .onFailure(cause -> fail(Reason.STAGE_DIED, "no connection: " + cause.getMessage(), cause))
                .onSuccess(this::send);
    }

    private Future<? extends HttpClient> connect(HttpClientAgent client) {
        if (!call.freshConnection()) {
            return Future.succeededFuture(client);
        }
        HttpConnectOptions target = new HttpConnectOptions()
                .setHost(call.endpoint().host())
                .setPort(call.endpoint().port());
        return client.connect(target).onSuccess(connection -> {
            ownConnection = connection;
            if (ended) {
                connection.close();
            }
        });
    }

    private void send(HttpClientRequest opened) {
        if (ended) {
            opened.reset();
            return;
        }
        request = opened;
        opened.exceptionHandler(cause -> fail(Reason.STAGE_DIED, "connection broke: " + cause.getMessage(), cause));
        opened.response()
                .onSuccess(this::read)
                .onFailure(cause -> fail(Reason.STAGE_DIED, "connection broke: " + cause.getMessage(), cause));
        if (call.body() instanceof ServiceClient.Body.Whole whole) {
            // The length of the body held here replaces the one that the caller stated.
            opened.headers().remove("Content-Length");
            if (whole.bytes().length() == 0) {
                opened.end();
            } else {
                opened.end(whole.bytes());
            }
        } else if (call.body() instanceof ServiceClient.Body.Streamed streamed) {
            if (!opened.headers().contains("Content-Length")) {
                opened.setChunked(true);
            }
            passOn(streamed, opened);
        }
    }

    private void passOn(ServiceClient.Body.Streamed body, HttpClientRequest opened) {
        long[] passedBytes = new long[1];
        ReadStream<Buffer> source = body.stream();
        source.exceptionHandler(cause -> fail(Reason.CALLER_DISCONNECTED, "caller's body broke off", cause));
        source.handler(chunk -> {
            if (ended) {
                return;
            }
            passedBytes[0] += chunk.length();
            if (passedBytes[0] > body.maxBytes()) {
                fail(Reason.BODY_TOO_LARGE, "body of more than " + body.maxBytes() + " bytes", null);
                return;
            }
            opened.write(chunk);
            if (opened.writeQueueFull()) {
                source.pause();
                opened.drainHandler(ignored -> source.resume());
            }
        });
        source.endHandler(ignored -> {
            if (!ended) {
                opened.end();
            }
        });
        source.resume();
    }

    private void read(HttpClientResponse head) {
        if (ended) {
            return;
        }
        if (head.statusCode() == HTTP_UNAVAILABLE
                && "true".equalsIgnoreCase(head.getHeader(HttpExchange.NOT_RUN_HEADER))) {
            refused(head);
            return;
        }
        head.pause();
        answer = new BoundedBody(head, maxAnswerBytes, this::finish, message -> fail(Reason.STAGE_DIED, message, null));
        promise.complete(new ServiceClient.Response(head.statusCode(), endToEnd(head.headers()), answer));
    }

    /** Reads the rest of the refusal, so that its connection returns to the pool. */
    private void refused(HttpClientResponse head) {
        finish();
        long timer = vertx.setTimer(RELEASE_TIMEOUT_MS, id -> request.reset());
        head.endHandler(ignored -> vertx.cancelTimer(timer));
        head.exceptionHandler(ignored -> vertx.cancelTimer(timer));
        promise.fail(new EndpointException(
                call.endpoint().endpointId(),
                Reason.ENDPOINT_REFUSED,
                Verdict.NOT_RUN,
                "service did not run the call",
                null));
    }

    private void finish() {
        ended = true;
        vertx.cancelTimer(deadlineTimer);
        if (ownConnection != null) {
            ownConnection.close();
        }
    }

    private void fail(Reason reason, String message, Throwable cause) {
        if (ended) {
            return;
        }
        finish();
        if (request != null) {
            request.reset();
        }
        Verdict verdict = request == null ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
        EndpointException failure =
                new EndpointException(call.endpoint().endpointId(), reason, verdict, message, cause);
        if (answer != null) {
            answer.fail(failure);
        } else {
            promise.fail(failure);
        }
    }
}

package io.radishwinch.server.proxy;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.engine.EndpointException;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

/** One request to one endpoint; all state belongs to one traffic thread. */
final class UpstreamCall {

    /** Age up to which a connection may carry a request that must not be sent twice, in ms. */
    private static final long MAX_IDLE_AT_MOST_ONCE_MS = 500;

    private final ProxyScope scope;
    private final EndpointContact contact;
    private final Listener listener;
    private EndpointConnectionPool.Connection connection;
    private HttpClientRequest request;
    private HttpClientResponse response;
    private ResponseHead head;
    private boolean isBodySent;
    private boolean isEnded;

    /** Receives what happens; nothing follows {@link #onFailure}, {@link #onRefused} and {@link #onEnd}. */
    interface Listener {

        /** The request was written, so it may run. */
        void onRequestSent();

        /** The endpoint answered that it did not run the request. */
        void onRefused(ResponseHead head);

        /** The head of an answer arrived; its body is paused until {@link UpstreamCall#resume} is called. */
        void onResponseHead(ResponseHead head, HttpClientResponse response);

        /** Bytes of the body arrived. */
        void onBodyChunk(Buffer chunk);

        /** The answer is whole. */
        void onEnd();

        /** The call ended without a whole answer. */
        void onFailure(Reason reason, Verdict verdict, String message);
    }

    /** What to send. */
    record OutgoingRequest(HttpMethod method, String uri, MultiMap headers, Buffer body, boolean isRepeatable) {}

    UpstreamCall(ProxyScope scope, EndpointContact contact, Listener listener) {
        this.scope = scope;
        this.contact = contact;
        this.listener = listener;
    }

    void start(OutgoingRequest message, int maxConnections) {
        long maxIdleMs = message.isRepeatable() ? Long.MAX_VALUE : MAX_IDLE_AT_MOST_ONCE_MS;
        scope.connections().acquire(contact, maxConnections, maxIdleMs).onComplete(acquired -> {
            if (acquired.failed()) {
                fail(acquired.cause());
            } else if (isEnded) {
                acquired.result().release(0);
            } else {
                connection = acquired.result();
                open(message);
            }
        });
    }

    /** Gives the call up; the connection is closed, which tells the endpoint to stop. */
    void cancel() {
        if (!isEnded) {
            isEnded = true;
            if (connection != null) {
                connection.discard();
            }
        }
    }

    /** Returns whether the request may have reached the endpoint. */
    boolean isSent() {
        return request != null;
    }

    void pause() {
        response.pause();
    }

    void resume() {
        response.resume();
    }

    private void open(OutgoingRequest message) {
        RequestOptions target = new RequestOptions()
                .setMethod(message.method())
                .setHost(contact.host())
                .setPort(contact.port())
                .setURI(message.uri())
                .setHeaders(message.headers());
        connection.http().request(target).onComplete(opened -> {
            if (opened.failed()) {
                fail(Reason.STAGE_DIED, Verdict.NOT_RUN, "connection closed before the request");
            } else if (!isEnded) {
                send(opened.result(), message);
            }
        });
    }

    private void send(HttpClientRequest opened, OutgoingRequest message) {
        request = opened;
        opened.exceptionHandler(cause -> onConnectionFailure(cause.getMessage()));
        opened.response().onComplete(answer -> {
            if (answer.succeeded()) {
                readHead(answer.result());
            } else {
                onConnectionFailure(answer.cause().getMessage());
            }
        });
        (message.body().length() == 0 ? opened.end() : opened.end(message.body()))
                .onComplete(done -> isBodySent = true);
        listener.onRequestSent();
    }

    private void readHead(HttpClientResponse answer) {
        if (isEnded) {
            return;
        }
        response = answer;
        head = scope.dialect().readResponseHead(answer);
        answer.exceptionHandler(cause -> onConnectionFailure(cause.getMessage()));
        if (head.requestId().isPresent() && !head.requestId().get().equals(requestId())) {
            // An answer to an earlier request on this connection; whether this one runs is not known.
            onConnectionFailure("answer of another request");
            return;
        }
        if (head.isNotRun()) {
            answer.endHandler(ignored -> releaseConnection());
            answer.handler(ignored -> {});
            isEnded = true;
            listener.onRefused(head);
            return;
        }
        answer.pause();
        answer.handler(chunk -> {
            if (!isEnded) {
                listener.onBodyChunk(chunk);
            }
        });
        answer.endHandler(ignored -> {
            if (!isEnded) {
                isEnded = true;
                releaseConnection();
                listener.onEnd();
            }
        });
        listener.onResponseHead(head, answer);
    }

    private String requestId() {
        return scope.dialect().requestId(request.headers());
    }

    /** Keeps the connection if nothing speaks against it; later, so that bytes behind the answer show first. */
    private void releaseConnection() {
        EndpointConnectionPool.Connection used = connection;
        if (head.isClosing() || !isBodySent) {
            used.discard();
        } else {
            scope.context().runOnContext(ignored -> used.release(head.keepAliveMs()));
        }
    }

    private void fail(Throwable cause) {
        EndpointException failure = (EndpointException) cause;
        fail(failure.reason(), failure.verdict(), failure.getMessage());
    }

    private void onConnectionFailure(String message) {
        fail(Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, "connection broke: " + message);
    }

    private void fail(Reason reason, Verdict verdict, String message) {
        if (!isEnded) {
            isEnded = true;
            if (connection != null) {
                connection.discard();
            }
            listener.onFailure(reason, verdict, message);
        }
    }
}

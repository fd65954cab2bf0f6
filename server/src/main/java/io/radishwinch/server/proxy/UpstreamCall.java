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
    private EndpointConnections.Connection connection;
    private HttpClientRequest request;
    private HttpClientResponse response;
    private ReplyHead head;
    private boolean bodySent;
    private boolean ended;

    /** Receives what happens; nothing follows {@link #failed}, {@link #refused} and {@link #ended}. */
    interface Listener {

        /** The request was written, so it may run. */
        void sent();

        /** The endpoint answered that it did not run the request. */
        void refused(ReplyHead head);

        /** The head of an answer arrived; its body is paused until {@link UpstreamCall#resume} is called. */
        void answered(ReplyHead head, HttpClientResponse response);

        /** Bytes of the body arrived. */
        void received(Buffer chunk);

        /** The answer is whole. */
        void ended();

        /** The call ended without a whole answer. */
        void failed(Reason reason, Verdict verdict, String message);
    }

    /** What to send. */
    record Message(HttpMethod method, String uri, MultiMap headers, Buffer body, boolean repeatable) {}

    UpstreamCall(ProxyScope scope, EndpointContact contact, Listener listener) {
        this.scope = scope;
        this.contact = contact;
        this.listener = listener;
    }

    void start(Message message, int maxConnections) {
        long maxIdleMs = message.repeatable() ? Long.MAX_VALUE : MAX_IDLE_AT_MOST_ONCE_MS;
        scope.connections().acquire(contact, maxConnections, maxIdleMs).onComplete(acquired -> {
            if (acquired.failed()) {
                fail(acquired.cause());
            } else if (ended) {
                acquired.result().keep(0);
            } else {
                connection = acquired.result();
                open(message);
            }
        });
    }

    /** Gives the call up; the connection is closed, which tells the endpoint to stop. */
    void cancel() {
        if (!ended) {
            ended = true;
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

    private void open(Message message) {
        RequestOptions target = new RequestOptions()
                .setMethod(message.method())
                .setHost(contact.host())
                .setPort(contact.port())
                .setURI(message.uri())
                .setHeaders(message.headers());
        connection.http().request(target).onComplete(opened -> {
            if (opened.failed()) {
                fail(Reason.STAGE_DIED, Verdict.NOT_RUN, "connection closed before the request");
            } else if (!ended) {
                send(opened.result(), message);
            }
        });
    }

    private void send(HttpClientRequest opened, Message message) {
        request = opened;
        opened.exceptionHandler(cause -> broke(cause.getMessage()));
        opened.response().onComplete(answer -> {
            if (answer.succeeded()) {
                readHead(answer.result());
            } else {
                broke(answer.cause().getMessage());
            }
        });
        (message.body().length() == 0 ? opened.end() : opened.end(message.body())).onComplete(done -> bodySent = true);
        listener.sent();
    }

    private void readHead(HttpClientResponse answer) {
        if (ended) {
            return;
        }
        response = answer;
        head = scope.dialect().readReply(answer);
        answer.exceptionHandler(cause -> broke(cause.getMessage()));
        if (head.requestId().isPresent() && !head.requestId().get().equals(requestId())) {
            // An answer to an earlier request on this connection; whether this one runs is not known.
            broke("answer of another request");
            return;
        }
        if (head.isNotRun()) {
            answer.endHandler(ignored -> finish());
            answer.handler(ignored -> {});
            ended = true;
            listener.refused(head);
            return;
        }
        answer.pause();
        answer.handler(chunk -> {
            if (!ended) {
                listener.received(chunk);
            }
        });
        answer.endHandler(ignored -> {
            if (!ended) {
                ended = true;
                finish();
                listener.ended();
            }
        });
        listener.answered(head, answer);
    }

    private String requestId() {
        return scope.dialect().requestId(request.headers());
    }

    /** Keeps the connection if nothing speaks against it; later, so that bytes behind the answer show first. */
    private void finish() {
        EndpointConnections.Connection used = connection;
        if (head.isClosing() || !bodySent) {
            used.discard();
        } else {
            scope.context().runOnContext(ignored -> used.keep(head.keepAliveMs()));
        }
    }

    private void fail(Throwable cause) {
        EndpointException failure = (EndpointException) cause;
        fail(failure.reason(), failure.verdict(), failure.getMessage());
    }

    private void broke(String message) {
        fail(Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, "connection broke: " + message);
    }

    private void fail(Reason reason, Verdict verdict, String message) {
        if (!ended) {
            ended = true;
            if (connection != null) {
                connection.discard();
            }
            listener.failed(reason, verdict, message);
        }
    }
}

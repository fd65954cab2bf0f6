package io.radishwinch.server.proxy;

import io.netty.handler.codec.http.FullHttpRequest;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.Failures;
import io.radishwinch.server.engine.EndpointException;
import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import java.util.Set;

/** One request to one endpoint. Confined to one traffic thread. */
final class UpstreamCall implements EndpointConnection.Listener {

    /** Time in which the body of a refusal must end for its connection to be used again, in ms. */
    private static final long MAX_DRAIN_MS = 1_000;

    /** Size of the body of a refusal above which its connection is closed, in bytes. */
    private static final int MAX_DRAINED_BYTES = 64 << 10;

    private final ProxyScope scope;
    private final EndpointContact contact;
    private final Set<String> earlierSeals;
    private final Listener listener;
    private EndpointConnectionPool.Connection connection;
    private String requestId = "";
    private ResponseHead head;
    private long drainTimerId;
    private int drainedBytes;
    private boolean isOnlyRequest;
    private boolean isSent;
    private boolean isBodySent;
    private boolean isEnded;

    /** Receives the events of a call. No event follows {@link #onFailure}, {@link #onRefused} or {@link #onEnd}. */
    interface Listener {

        /** Runs a part of the call that may end with an exception. */
        default void run(Runnable part) {
            part.run();
        }

        /** Called before the request is written; it may run from now on. */
        void onRequestSent();

        /** Called when the endpoint responds that it did not run the request. */
        void onRefused(ResponseHead head);

        /** Called when the response head arrives. */
        void onResponseHead(ResponseHead head, MultiMap headers);

        /** Called for each chunk of the response body. */
        void onBodyChunk(Buffer chunk);

        /** Called when the response is complete. */
        void onEnd();

        /** Called when the call ends without a complete response. */
        void onFailure(Reason reason, Verdict verdict, String message);
    }

    /** Request to send to the endpoint. */
    record OutgoingRequest(HttpMethod method, String uri, MultiMap headers, Buffer body, boolean isRepeatable) {}

    /**
     * Creates a call that is not started.
     *
     * @param earlierSeals seals of the error responses of the endpoint to earlier runs of the request; it may send
     *     another response to them
     */
    UpstreamCall(ProxyScope scope, EndpointContact contact, Set<String> earlierSeals, Listener listener) {
        this.scope = scope;
        this.contact = contact;
        this.earlierSeals = earlierSeals;
        this.listener = listener;
    }

    void start(OutgoingRequest outgoing, int maxConnections) {
        requestId = scope.dialect().requestId(outgoing.headers());
        isOnlyRequest = outgoing.method() == HttpMethod.HEAD;
        connect(outgoing, maxConnections).onComplete(acquired -> listener.run(() -> onConnection(acquired, outgoing)));
    }

    private void onConnection(AsyncResult<EndpointConnectionPool.Connection> acquired, OutgoingRequest outgoing) {
        if (acquired.failed()) {
            fail(acquired.cause());
        } else if (isEnded) {
            acquired.result().release(0);
        } else if (scope.notices().isPaused(contact.endpointId())) {
            // The endpoint asked for the pause while this request waited for a connection.
            acquired.result().release(0);
            fail(Reason.ENDPOINT_REFUSED, Verdict.NOT_RUN, "the endpoint has asked for a pause");
        } else {
            connection = acquired.result();
            send(outgoing);
        }
    }

    /**
     * Connects to the endpoint. A request that must not run twice gets a connection of its own: on a reused one, a
     * second copy of an earlier response or a close by the endpoint would leave its outcome unknown. So does a
     * {@code HEAD} request, whose response has no body although its headers may state one.
     */
    private Future<EndpointConnectionPool.Connection> connect(OutgoingRequest outgoing, int maxConnections) {
        return outgoing.isRepeatable() && !isOnlyRequest
                ? scope.connections().acquire(contact, requestId, maxConnections)
                : scope.connections().open(contact, requestId, maxConnections);
    }

    /** Cancels the call. Closes the connection, which makes the endpoint stop the request. */
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
        return isSent;
    }

    /** Returns the connection of the call and whether its response names the request. */
    ResponseEnd.Carrier carrier() {
        return connection == null
                ? ResponseEnd.Carrier.NONE
                : new ResponseEnd.Carrier(
                        connection.id(),
                        connection.requestCount(),
                        head != null && head.requestId().equals(Optional.of(requestId)),
                        connection.http().surplusResponses(),
                        connection.http().brokenRule());
    }

    void pause() {
        connection.http().pause();
    }

    void resume() {
        connection.http().resume();
    }

    private void send(OutgoingRequest outgoing) {
        if (connection.http().isClosed()) {
            fail(Reason.STAGE_DIED, Verdict.NOT_RUN, "connection closed before the request was sent");
            return;
        }
        FullHttpRequest request;
        try {
            request = connection.http().encode(outgoing);
        } catch (IllegalArgumentException e) {
            fail(Reason.MALFORMED_REQUEST, Verdict.NOT_RUN, "request cannot be sent: " + Failures.describe(e));
            return;
        }
        isSent = true;
        listener.onRequestSent();
        connection.http().send(request, requestId, this).onSuccess(done -> isBodySent = true);
    }

    @Override
    public boolean isSurplus(int status, MultiMap headers) {
        return isSurplus(scope.dialect().readResponseHead(status, headers));
    }

    private boolean isSurplus(ResponseHead response) {
        Optional<String> seal = response.seal().filter(text -> !text.isEmpty());
        return seal.filter(earlierSeals::contains).isPresent()
                || seal.isPresent() && !response.isNotRun() && !isAttributable(response);
    }

    /** Returns whether the response can be attributed to the request, although it may not name it. */
    private boolean isAttributable(ResponseHead response) {
        return response.isMisdirected()
                || scope.connections()
                        .isAttributable(
                                contact,
                                response.isNotRun(),
                                response.requestId().isPresent());
    }

    @Override
    public void onResponseHead(int status, MultiMap headers) {
        listener.run(() -> readHead(status, headers));
    }

    private void readHead(int status, MultiMap headers) {
        head = scope.dialect().readResponseHead(status, headers);
        boolean namesOther =
                head.requestId().isPresent() && !head.requestId().get().equals(requestId);
        if (namesOther || isSurplus(head)) {
            // The end of the response cannot be found, so that the one to this run cannot be read.
            scope.connections().suspendReuse(contact);
            onFailure("response belongs to another request or run");
            return;
        }
        if (!isAttributable(head)) {
            onFailure("response names no request");
            return;
        }
        scope.limits().responded(contact.endpointId(), head.requestLimitPerS());
        if (!head.isMisdirected()) {
            // Otherwise another endpoint has taken over the address, and speaks for itself.
            forwardNotices();
        }
        if (head.isNotRun()) {
            isEnded = true;
            startDrain();
            listener.onRefused(head);
        } else {
            listener.onResponseHead(head, headers);
        }
    }

    /**
     * Reads the body of a refusal, after which the connection can be used again, unless the body is too long or slow.
     */
    private void startDrain() {
        if (isReusable()) {
            drainTimerId = scope.vertx().setTimer(MAX_DRAIN_MS, ignored -> connection.discard());
        } else {
            connection.discard();
        }
    }

    @Override
    public void onBodyChunk(Buffer chunk) {
        if (!isEnded) {
            listener.run(() -> listener.onBodyChunk(chunk));
            return;
        }
        drainedBytes += chunk.length();
        if (drainedBytes > MAX_DRAINED_BYTES) {
            scope.vertx().cancelTimer(drainTimerId);
            connection.discard();
        }
    }

    @Override
    public void onEnd() {
        releaseConnection();
        if (isEnded) {
            scope.vertx().cancelTimer(drainTimerId);
        } else {
            isEnded = true;
            listener.run(listener::onEnd);
        }
    }

    @Override
    public void onFailure(String message) {
        fail(Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, message);
    }

    private void forwardNotices() {
        if (head.isLeaving()) {
            scope.notices().leaving(contact.endpointId());
        }
        if (head.pauseMs() > 0) {
            scope.notices().paused(contact.endpointId(), head.pauseMs());
        }
    }

    /**
     * Returns whether the connection may carry another request. A second copy of a response without an identifier
     * cannot be told from the response to the next request.
     */
    private boolean isReusable() {
        return !head.isClosing()
                && connection.http().isKeptAlive()
                && !isOnlyRequest
                && isBodySent
                && head.requestId().isPresent();
    }

    /**
     * Returns the connection to the pool if it is reusable. Does so in a later event, so that surplus bytes after the
     * response are detected first.
     */
    private void releaseConnection() {
        EndpointConnectionPool.Connection used = connection;
        if (isReusable()) {
            scope.context().runOnContext(ignored -> used.release(head.keepAliveMs()));
        } else {
            used.discard();
        }
    }

    private void fail(Throwable cause) {
        EndpointException failure = (EndpointException) cause;
        fail(failure.reason(), failure.verdict(), Failures.describe(failure));
    }

    private void fail(Reason reason, Verdict verdict, String message) {
        if (!isEnded) {
            isEnded = true;
            if (connection != null) {
                connection.discard();
            }
            listener.run(() -> listener.onFailure(reason, verdict, message));
        }
    }
}

package io.radishwinch.server.engine;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.streams.ReadStream;

/** Port to plain services: one HTTP exchange. */
public interface ServiceClient {

    /** Sends a call. The body is read as fast as the service takes it. */
    Exchange call(Call call);

    /** A call on its way. */
    interface Exchange {
        /** Returns the head of the answer, or a failure with an {@link EndpointException}. */
        Future<Response> response();

        /** Gives up the call and closes its connection. The service may still run it. */
        void cancel();
    }

    /**
     * One call.
     *
     * @param endpoint service to call
     * @param method method
     * @param uri path and query
     * @param headers end-to-end headers; hop-by-hop headers are left out by the client
     * @param body body
     * @param deadlineMs time by which the answer must be complete, in ms of the router's clock
     * @param useNewConnection whether to open a connection for this call alone. A pooled connection that the service is
     *     closing makes the verdict {@code MAY_HAVE_RUN}; a fresh one is refused with {@code NOT_RUN}. Meant for
     *     non-repeatable calls
     */
    record Call(
            EndpointAddress endpoint,
            HttpMethod method,
            String uri,
            MultiMap headers,
            Body body,
            long deadlineMs,
            boolean useNewConnection) {

        /** Creates a call over a pooled connection. */
        public Call(
                EndpointAddress endpoint, HttpMethod method, String uri, MultiMap headers, Body body, long deadlineMs) {
            this(endpoint, method, uri, headers, body, deadlineMs, false);
        }

        /** Returns a copy that opens a connection of its own. */
        public Call withNewConnection() {
            return new Call(endpoint, method, uri, headers, body, deadlineMs, true);
        }
    }

    /** Body of a call. */
    sealed interface Body {
        /**
         * A body in memory; empty for none.
         *
         * @param bytes content
         */
        record Buffered(Buffer bytes) implements Body {}

        /**
         * A body that is passed on while it arrives.
         *
         * @param stream content, paused
         * @param maxBytes bound; a longer body ends the call with {@code BODY_TOO_LARGE}
         */
        record Streamed(ReadStream<Buffer> stream, long maxBytes) implements Body {}
    }

    /**
     * Head of an answer; the service ran the call.
     *
     * @param status HTTP status
     * @param headers end-to-end headers
     * @param body content, paused until a handler is set and it is resumed; it fails with an {@link EndpointException}
     *     when the connection breaks, the deadline passes or the size bound is exceeded
     */
    record Response(int status, MultiMap headers, ReadStream<Buffer> body) {}
}

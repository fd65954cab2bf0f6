package io.radishwinch.server.engine;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.streams.ReadStream;

/** Client of plain services. */
public interface ServiceClient {

    /**
     * Sends a call over a connection of its own. A streamed body is read at the speed at which the service accepts it.
     */
    Exchange call(Call call);

    /** An in-flight call. */
    interface Exchange {
        /** Returns the status and headers of the response; fails with an {@link EndpointException}. */
        Future<Response> response();

        /** Cancels the call and closes its connection. The service may still run it. */
        void cancel();
    }

    /**
     * A call to a service.
     *
     * @param endpoint service to call
     * @param method HTTP method
     * @param uri path and query
     * @param headers request headers; the client removes hop-by-hop headers
     * @param body request body
     * @param deadlineMs time by which the response must be complete, in ms of the router's clock
     */
    record Call(
            EndpointAddress endpoint, HttpMethod method, String uri, MultiMap headers, Body body, long deadlineMs) {}

    /** Request body. */
    sealed interface Body {
        /**
         * A body in memory; empty for a request without a body.
         *
         * @param bytes content
         */
        record Buffered(Buffer bytes) implements Body {}

        /**
         * A body that is forwarded while it is received.
         *
         * @param stream content; must be paused
         * @param maxBytes maximum size in bytes; a larger body fails the call with {@code BODY_TOO_LARGE}
         */
        record Streamed(ReadStream<Buffer> stream, long maxBytes) implements Body {}
    }

    /**
     * Response of a service that ran the call.
     *
     * @param status HTTP status
     * @param headers end-to-end response headers
     * @param body content, paused until it is resumed; fails with an {@link EndpointException} if the connection fails,
     *     the deadline expires or the size limit is exceeded
     */
    record Response(int status, MultiMap headers, ReadStream<Buffer> body) {}
}

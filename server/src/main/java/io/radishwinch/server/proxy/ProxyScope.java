package io.radishwinch.server.proxy;

import io.radishwinch.server.ControlLoop;
import io.radishwinch.server.http.ExchangeListener;
import io.radishwinch.server.http.ExchangeScope;
import io.radishwinch.server.http.MemoryBudget;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import java.util.function.BooleanSupplier;

/**
 * State and services that all exchanges of one traffic thread share.
 *
 * @param vertx Vert.x instance of the traffic threads
 * @param context context of this traffic thread
 * @param control control loop
 * @param dialect translates the headers of the deployment
 * @param contacts lookup of endpoints
 * @param connections pooled connections to endpoints
 * @param limits receives the request limits that endpoints name
 * @param notices receives what endpoints announce about themselves
 * @param relays other routers that take requests while this one reaches no endpoint
 * @param bodyMemory memory budget of all request bodies
 * @param listener receives the outcome of every request
 * @param responseEnds receives how the response to each attempt ended
 * @param isDraining whether the router is draining
 * @param writeTimeoutMs maximum time for which a caller may leave its response unread, in ms
 */
record ProxyScope(
        Vertx vertx,
        Context context,
        ControlLoop control,
        ProxyDialect dialect,
        ContactLookup contacts,
        EndpointConnectionPool connections,
        RequestLimitListener limits,
        EndpointNoticeListener notices,
        PeerRelays relays,
        MemoryBudget bodyMemory,
        ExchangeListener listener,
        ResponseEndListener responseEnds,
        BooleanSupplier isDraining,
        long writeTimeoutMs)
        implements ExchangeScope {

    /**
     * Returns a scope for calls to other routers. What the responses say of endpoints concerns the router that relayed
     * them, so it is ignored.
     */
    ProxyScope forRelays() {
        return new ProxyScope(
                vertx,
                context,
                control,
                dialect,
                contacts,
                connections,
                (endpointId, limitPerS) -> {},
                EndpointNoticeListener.NONE,
                relays,
                bodyMemory,
                listener,
                responseEnds,
                isDraining,
                writeTimeoutMs);
    }

    /** Adds a {@code Connection: close} header to the response if this router is draining. */
    void announceClose(HttpServerResponse response) {
        if (isDraining.getAsBoolean()) {
            response.putHeader(HttpHeaders.CONNECTION, "close");
        }
    }
}

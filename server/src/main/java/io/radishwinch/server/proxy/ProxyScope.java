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
 * What the exchanges of one traffic thread share.
 *
 * @param vertx Vert.x instance of the traffic threads
 * @param context context of this traffic thread
 * @param control control loop
 * @param dialect names of the deployment
 * @param contacts contacts of endpoints
 * @param connections connections to endpoints
 * @param bodies memory that all request bodies share
 * @param listener is told of the end of every request
 * @param isDraining whether the router is shutting down
 * @param writeTimeoutMs longest time that a caller may leave its answer unread, in ms
 */
record ProxyScope(
        Vertx vertx,
        Context context,
        ControlLoop control,
        ProxyDialect dialect,
        ContactLookup contacts,
        EndpointConnectionPool connections,
        MemoryBudget bodies,
        ExchangeListener listener,
        BooleanSupplier isDraining,
        long writeTimeoutMs)
        implements ExchangeScope {

    /** Tells the caller to use another connection for its next request if this router is shutting down. */
    void announceClose(HttpServerResponse response) {
        if (isDraining.getAsBoolean()) {
            response.putHeader(HttpHeaders.CONNECTION, "close");
        }
    }
}

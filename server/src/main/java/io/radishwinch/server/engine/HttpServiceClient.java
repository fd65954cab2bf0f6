package io.radishwinch.server.engine;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import java.util.function.LongSupplier;

/** Service client over HTTP. */
public final class HttpServiceClient implements ServiceClient {
    private final Vertx vertx;
    private final HttpClientAgent client;
    private final ClientOptions options;
    private final LongSupplier clockMs;

    /**
     * Creates a client that opens a connection for each call. A response does not name its call, so a late second copy
     * of one would be taken for the response to the next call on its connection; and a service that has stopped refuses
     * a new connection, which shows that the call did not run.
     *
     * @param clockMs the router's clock, in ms
     */
    public HttpServiceClient(Vertx vertx, ClientOptions options, LongSupplier clockMs) {
        this.vertx = vertx;
        this.client = HttpExchange.newUnpooledClient(vertx, options);
        this.options = options;
        this.clockMs = clockMs;
    }

    /** Closes all connections. */
    public Future<Void> close() {
        return client.close();
    }

    @Override
    public Exchange call(Call call) {
        HttpServiceExchange exchange = new HttpServiceExchange(vertx, call, options.maxServiceBodyBytes(), clockMs);
        exchange.start(client);
        return exchange;
    }
}

package io.radishwinch.server.http;

import io.radishwinch.server.ControlLoop;
import io.radishwinch.server.engine.EngineClient;
import io.radishwinch.server.engine.ServiceClient;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;

/**
 * State and services that all exchanges of one traffic thread share.
 *
 * @param vertx Vert.x instance of the traffic threads
 * @param context context of this traffic thread
 * @param control control loop
 * @param engineClient client for model engines
 * @param serviceClient client for plain services
 * @param endpoints lookup of addresses by endpoint identifier
 * @param journal journal of non-repeatable requests, for calls from traffic threads
 * @param bodyMemory memory budget of all request bodies
 * @param listener receives the outcome of every request
 * @param pendingWrites complete responses of this traffic thread that are not written yet
 * @param writeTimeoutMs maximum time for which a caller may leave its response unread, in ms
 */
record ExchangeContext(
        Vertx vertx,
        Context context,
        ControlLoop control,
        EngineClient engineClient,
        ServiceClient serviceClient,
        EndpointLookup endpoints,
        JournalAccess journal,
        MemoryBudget bodyMemory,
        ExchangeListener listener,
        PendingWrites pendingWrites,
        long writeTimeoutMs)
        implements ExchangeScope {
    @Override
    public void responseEnded(Future<Void> written) {
        pendingWrites.add(written);
    }
}

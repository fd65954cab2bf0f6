package io.radishwinch.server.http;

import io.radishwinch.server.ControlLoop;
import io.radishwinch.server.engine.EngineClient;
import io.radishwinch.server.engine.ServiceClient;
import io.vertx.core.Context;
import io.vertx.core.Vertx;

/**
 * What the exchanges of one traffic thread share.
 *
 * @param vertx Vert.x instance of the traffic threads
 * @param context context of this traffic thread
 * @param control control loop
 * @param engineClient client for model engines
 * @param serviceClient client for plain services
 * @param endpoints addresses by endpoint identifier
 * @param journal journal of non-repeatable requests, callable from traffic threads
 * @param bodies memory that all request bodies share
 * @param listener is told of the end of every request
 * @param writeTimeoutMs longest time that a caller may leave its answer unread, in ms
 */
record ExchangeContext(
        Vertx vertx,
        Context context,
        ControlLoop control,
        EngineClient engineClient,
        ServiceClient serviceClient,
        EndpointLookup endpoints,
        JournalAccess journal,
        MemoryBudget bodies,
        ExchangeListener listener,
        long writeTimeoutMs)
        implements ExchangeScope {}

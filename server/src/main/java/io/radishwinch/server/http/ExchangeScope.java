package io.radishwinch.server.http;

import io.radishwinch.server.ControlLoop;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;

/** State and services of a traffic thread that every kind of exchange uses. */
public interface ExchangeScope {

    /** Returns the Vert.x instance of the traffic threads. */
    Vertx vertx();

    /** Returns the context of this traffic thread. */
    Context context();

    /** Returns the control loop. */
    ControlLoop control();

    /** Returns the memory budget of all request bodies. */
    MemoryBudget bodyMemory();

    /** Returns the listener that receives the outcome of every request. */
    ExchangeListener listener();

    /**
     * Called when a complete response is handed to its connection.
     *
     * @param written completes when the response is written, or fails if its connection ends before
     */
    default void responseEnded(Future<Void> written) {}

    /** Returns the maximum time for which a caller may leave its response unread, in ms. */
    long writeTimeoutMs();
}

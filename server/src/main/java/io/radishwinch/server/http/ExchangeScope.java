package io.radishwinch.server.http;

import io.radishwinch.server.ControlLoop;
import io.vertx.core.Context;
import io.vertx.core.Vertx;

/** What every kind of exchange needs of its traffic thread. */
public interface ExchangeScope {

    /** Returns the Vert.x instance of the traffic threads. */
    Vertx vertx();

    /** Returns the context of this traffic thread. */
    Context context();

    /** Returns the control loop. */
    ControlLoop control();

    /** Returns the memory that all request bodies share. */
    MemoryBudget bodies();

    /** Returns the listener that is told of the end of every request. */
    ExchangeListener listener();

    /** Returns the longest time that a caller may leave its answer unread, in ms. */
    long writeTimeoutMs();
}

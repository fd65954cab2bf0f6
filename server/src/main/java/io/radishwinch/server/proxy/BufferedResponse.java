package io.radishwinch.server.proxy;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/** A response of an endpoint that has not been sent to the caller. */
record BufferedResponse(int status, MultiMap headers, Buffer body) {}

package io.radishwinch.server.http;

import io.radishwinch.server.engine.EndpointAddress;

/** Addresses of endpoints; safe for use by several threads. */
@FunctionalInterface
public interface EndpointLookup {

    /** Returns the address of an endpoint, or null if it is not known any more. */
    EndpointAddress address(String endpointId);
}

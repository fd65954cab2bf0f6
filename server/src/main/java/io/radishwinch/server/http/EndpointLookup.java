package io.radishwinch.server.http;

import io.radishwinch.server.engine.EndpointAddress;

/** Looks up addresses of endpoints. Implementations are thread-safe. */
@FunctionalInterface
public interface EndpointLookup {

    /** Returns the address of an endpoint, or null if the endpoint was removed or is unknown. */
    EndpointAddress address(String endpointId);
}

package io.radishwinch.server.proxy;

import java.util.OptionalDouble;

/** Receives the request limits that endpoints name in their responses. Implementations are thread-safe. */
@FunctionalInterface
public interface RequestLimitListener {

    /**
     * Called for each response of an endpoint.
     *
     * @param requestLimitPerS requests/s that the endpoint takes from all routers together, or empty for no limit
     */
    void responded(String endpointId, OptionalDouble requestLimitPerS);
}

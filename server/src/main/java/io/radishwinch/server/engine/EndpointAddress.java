package io.radishwinch.server.engine;

import io.radishwinch.core.model.EndpointSpec;

/**
 * Network address of an endpoint.
 *
 * @param endpointId endpoint identifier
 * @param host IP address
 * @param port TCP port
 */
public record EndpointAddress(String endpointId, String host, int port) {

    /** Returns the address of an endpoint. */
    public static EndpointAddress of(EndpointSpec endpoint) {
        return new EndpointAddress(endpoint.id(), endpoint.host(), endpoint.port());
    }
}

package io.radishwinch.server.proxy;

/**
 * Address and identifiers of an endpoint.
 *
 * @param endpointId identifier inside the router; each incarnation of the endpoint has its own
 * @param instanceId identifier that the endpoint reports for itself
 * @param host IP address
 * @param port TCP port
 */
public record EndpointContact(String endpointId, String instanceId, String host, int port) {

    /** Returns the address in the form {@code host:port}. */
    public String address() {
        return host + ":" + port;
    }
}

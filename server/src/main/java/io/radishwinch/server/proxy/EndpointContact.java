package io.radishwinch.server.proxy;

/**
 * How an endpoint is reached and how it names itself.
 *
 * @param endpointId identifier inside the router, different for each lifetime of the endpoint
 * @param instanceId name that the endpoint gives itself
 * @param host IP address
 * @param port TCP port
 */
public record EndpointContact(String endpointId, String instanceId, String host, int port) {

    /** Returns the address as host and port. */
    public String address() {
        return host + ":" + port;
    }
}

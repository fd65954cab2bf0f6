package io.radishwinch.cluster.membership;

/**
 * Where a router accepts peer connections.
 *
 * @param host IP address
 * @param port TCP port
 */
public record Address(String host, int port) {}

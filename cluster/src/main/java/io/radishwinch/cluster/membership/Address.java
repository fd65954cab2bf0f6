package io.radishwinch.cluster.membership;

/**
 * Address at which a router accepts peer connections.
 *
 * @param host IP address
 * @param port TCP port
 */
public record Address(String host, int port) {}

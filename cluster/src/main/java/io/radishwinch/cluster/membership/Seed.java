package io.radishwinch.cluster.membership;

/**
 * A router that may exist, from the platform's lagging VM list. It becomes a member when it responds.
 *
 * @param id identifier
 * @param dataCentre data centre
 * @param address peer address
 */
public record Seed(String id, String dataCentre, Address address) {}

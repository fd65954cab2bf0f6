package io.radishwinch.cluster.membership;

/**
 * A router that may exist, from the lagging VM list; it becomes a member only when it answers.
 *
 * @param id identifier
 * @param dataCentre data centre
 * @param address peer address
 */
public record Seed(String id, String dataCentre, Address address) {}

package io.radishwinch.core.model;

/**
 * Fixed properties of an endpoint.
 *
 * @param id identifier, unique in the fleet and not reused for another VM
 * @param dataCentre data centre of the VM
 * @param host IP address
 * @param port TCP port
 * @param acceleratorKind kind of accelerator, or {@code none} for a plain service
 * @param slots maximum number of concurrent attempts
 * @param honoursFencing whether the endpoint refuses orders with a stale fencing token
 * @param checksOrders whether the endpoint authenticates the sender of an order
 */
public record EndpointSpec(
        String id,
        String dataCentre,
        String host,
        int port,
        String acceleratorKind,
        int slots,
        boolean honoursFencing,
        boolean checksOrders) {}

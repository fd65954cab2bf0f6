package io.radishwinch.core.model;

/**
 * Fixed properties of an endpoint.
 *
 * @param id identifier, unique in the fleet and never reused for another VM
 * @param dataCentre data centre of the VM
 * @param host IP address
 * @param port TCP port
 * @param acceleratorKind kind of accelerator, or {@code none} for a plain service
 * @param slots attempts that the endpoint runs at the same time
 * @param honoursFencing whether it refuses orders with an old fencing number
 * @param checksOrders whether it checks who sends an order
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

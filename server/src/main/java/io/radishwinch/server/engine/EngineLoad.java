package io.radishwinch.server.engine;

import io.radishwinch.core.model.LoadReport;
import java.util.List;

/**
 * Load report of an engine or plain service together with its properties.
 *
 * @param report load report for the decision core
 * @param acceleratorKind kind of accelerator, or {@code none}
 * @param slots number of attempts that the endpoint runs concurrently
 * @param honoursFencing whether it refuses orders with a stale fencing token
 * @param checksOrders whether it authenticates the sender of an order
 * @param isLeaving whether it accepts no new work
 * @param links links to other endpoints
 */
public record EngineLoad(
        LoadReport report,
        String acceleratorKind,
        int slots,
        boolean honoursFencing,
        boolean checksOrders,
        boolean isLeaving,
        List<Link> links) {

    /** Copies the list. */
    public EngineLoad {
        links = List.copyOf(links);
    }

    /**
     * Link to another endpoint, as measured by the reporting endpoint.
     *
     * @param toEndpointId receiving endpoint
     * @param delayUs one-way delay of one token, in us
     * @param tokensPerS capacity in tokens/s
     */
    public record Link(String toEndpointId, long delayUs, double tokensPerS) {}
}

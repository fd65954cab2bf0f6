package io.radishwinch.server.engine;

import io.radishwinch.core.model.LoadReport;
import java.util.List;

/**
 * Load report of an engine or plain service with its fixed properties.
 *
 * @param report state, as the decision core takes it
 * @param acceleratorKind kind of accelerator, or {@code none}
 * @param slots attempts that the endpoint runs at the same time
 * @param honoursFencing whether it refuses orders with an old fencing number
 * @param checksOrders whether it checks who sends an order
 * @param isLeaving whether it takes no new work
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
     * Link to another endpoint as the reporting one measured it.
     *
     * @param toEndpointId receiving endpoint
     * @param delayUs one-way delay of one token, in us
     * @param tokensPerS capacity in tokens/s
     */
    public record Link(String toEndpointId, long delayUs, double tokensPerS) {}
}

package io.radishwinch.core.chain;

import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.Stage;
import java.util.function.Function;

/**
 * Limits the load that the chains of this router put on the path between data centres.
 *
 * <p>All chains share the path and transfer the activations of their prompts one after another, so a nearly full path
 * delays every cross-data-centre stream. Each router may use an equal share of the path, accounted in a token bucket.
 * While the bucket is empty, chains must stay in one data centre.
 */
final class CrossDataCentreBudget {

    /** Share of the path's capacity that prompts may use. The queue for the path remains short below this load. */
    private static final double MAX_PATH_LOAD = 0.4;

    /** Time in ms for which unused budget accumulates. */
    private static final long BURST_MS = 1_000;

    private static final double US_PER_MS = 1_000;

    private double transferUs;
    private int routerCount;
    private double balanceUs;
    private long refilledAtMs;

    /**
     * Sets the transfer time of one cross-data-centre hop.
     *
     * @param newTransferUs time for which a prompt of mean size occupies the path, in us; 0 disables the limit
     */
    void setTransferUs(double newTransferUs) {
        transferUs = newTransferUs;
    }

    void setRouterCount(int newRouterCount) {
        routerCount = newRouterCount;
    }

    /** Returns whether another chain may span data centres. */
    boolean isAvailable(long nowMs) {
        if (transferUs == 0) {
            return true;
        }
        refill(nowMs);
        return balanceUs > 0;
    }

    /** Deducts the cross-data-centre hops of a chain. One chain may overdraw the budget. */
    void consume(Chain chain, Function<String, EndpointRow> rows, long nowMs) {
        if (transferUs > 0) {
            refill(nowMs);
            balanceUs -= countCrossDataCentreHops(chain, rows) * transferUs;
        }
    }

    private static int countCrossDataCentreHops(Chain chain, Function<String, EndpointRow> rows) {
        int hops = 0;
        EndpointRow previous = null;
        for (Stage stage : chain.stages()) {
            EndpointRow row = rows.apply(stage.endpointId());
            hops += previous != null && row != null && row.dataCentreIndex() != previous.dataCentreIndex() ? 1 : 0;
            previous = row;
        }
        return hops;
    }

    private void refill(long nowMs) {
        double refillUsPerMs = routerCount == 0 ? 0 : MAX_PATH_LOAD * US_PER_MS / routerCount;
        // With many routers, the share of one burst can be less than a single transfer; the budget must allow at least
        // one.
        double maxBalanceUs = Math.max(refillUsPerMs * BURST_MS, transferUs);
        balanceUs = Math.min(maxBalanceUs, balanceUs + refillUsPerMs * (nowMs - refilledAtMs));
        refilledAtMs = nowMs;
    }
}

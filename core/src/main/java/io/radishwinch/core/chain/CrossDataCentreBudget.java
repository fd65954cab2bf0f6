package io.radishwinch.core.chain;

import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.Stage;
import java.util.function.Function;

/**
 * This router's part of the path between data centres, over which the activations of a chain cross.
 *
 * <p>All chains share the path and their prompts pass one after another, so that a path that is nearly full delays
 * every stream that crosses. Each router uses an equal part of it; a chain that would exceed it stays in one data
 * centre.
 */
final class CrossDataCentreBudget {

    /** Part of the path's time that prompts may occupy; the queue in front of it stays short below it. */
    private static final double MAX_PATH_LOAD = 0.4;

    /** Time whose part may be used at once, in ms. */
    private static final long BURST_MS = 1_000;

    private static final double US_PER_MS = 1_000;

    private double transferUs;
    private int routerCount;
    private double balanceUs;
    private long refilledAtMs;

    /**
     * Sets what a crossing takes.
     *
     * @param newCrossingUs time that a prompt of usual size occupies the path, in us; 0 if paths are not limited
     */
    void setTransferUs(double newCrossingUs) {
        transferUs = newCrossingUs;
    }

    void setRouterCount(int newRouters) {
        routerCount = newRouters;
    }

    /** Returns whether another chain may cross. */
    boolean isAvailable(long nowMs) {
        if (transferUs == 0) {
            return true;
        }
        refill(nowMs);
        return balanceUs > 0;
    }

    /** Takes what the crossings of a chain use; the balance may become negative by one chain. */
    void consume(Chain chain, Function<String, EndpointRow> rows, long nowMs) {
        if (transferUs > 0) {
            refill(nowMs);
            balanceUs -= countCrossDataCentreHops(chain, rows) * transferUs;
        }
    }

    private static int countCrossDataCentreHops(Chain chain, Function<String, EndpointRow> rows) {
        int crossings = 0;
        EndpointRow previous = null;
        for (Stage stage : chain.stages()) {
            EndpointRow row = rows.apply(stage.endpointId());
            crossings += previous != null && row != null && row.dataCentreIndex() != previous.dataCentreIndex() ? 1 : 0;
            previous = row;
        }
        return crossings;
    }

    private void refill(long nowMs) {
        double partPerMs = routerCount == 0 ? 0 : MAX_PATH_LOAD * US_PER_MS / routerCount;
        // A deployment of many routers needs the part of a whole prompt before any chain can cross.
        double mostUs = Math.max(partPerMs * BURST_MS, transferUs);
        balanceUs = Math.min(mostUs, balanceUs + partPerMs * (nowMs - refilledAtMs));
        refilledAtMs = nowMs;
    }
}

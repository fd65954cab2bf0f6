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
final class CrossingBudget {

    /** Part of the path's time that prompts may occupy; the queue in front of it stays short below it. */
    private static final double USED_SHARE = 0.4;

    /** Time whose part may be used at once, in ms. */
    private static final long BURST_MS = 1_000;

    private static final double US_PER_MS = 1_000;

    private double crossingUs;
    private int routers;
    private double balanceUs;
    private long refilledAtMs;

    /**
     * Sets what a crossing takes.
     *
     * @param newCrossingUs time that a prompt of usual size occupies the path, in us; 0 if paths are not limited
     */
    void configure(double newCrossingUs) {
        crossingUs = newCrossingUs;
    }

    void setRouters(int newRouters) {
        routers = newRouters;
    }

    /** Returns whether another chain may cross. */
    boolean isAvailable(long nowMs) {
        if (crossingUs == 0) {
            return true;
        }
        refill(nowMs);
        return balanceUs > 0;
    }

    /** Takes what the crossings of a chain use; the balance may become negative by one chain. */
    void take(Chain chain, Function<String, EndpointRow> rows, long nowMs) {
        if (crossingUs > 0) {
            refill(nowMs);
            balanceUs -= crossings(chain, rows) * crossingUs;
        }
    }

    private static int crossings(Chain chain, Function<String, EndpointRow> rows) {
        int crossings = 0;
        EndpointRow previous = null;
        for (Stage stage : chain.stages()) {
            EndpointRow row = rows.apply(stage.endpointId());
            crossings += previous != null && row != null && row.zone() != previous.zone() ? 1 : 0;
            previous = row;
        }
        return crossings;
    }

    private void refill(long nowMs) {
        double partPerMs = routers == 0 ? 0 : USED_SHARE * US_PER_MS / routers;
        // A deployment of many routers needs the part of a whole prompt before any chain can cross.
        double mostUs = Math.max(partPerMs * BURST_MS, crossingUs);
        balanceUs = Math.min(mostUs, balanceUs + partPerMs * (nowMs - refilledAtMs));
        refilledAtMs = nowMs;
    }
}

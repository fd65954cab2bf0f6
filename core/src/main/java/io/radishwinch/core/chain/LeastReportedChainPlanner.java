package io.radishwinch.core.chain;

import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.RequestSpec;
import java.util.Collections;
import java.util.Comparator;
import java.util.Optional;

/**
 * Baseline planner that selects the endpoint with the lowest reported load relative to its slots. Load reports are
 * delayed.
 */
public final class LeastReportedChainPlanner implements ChainPlanner {

    private static final Comparator<HeldRange> BY_REPORTED_LOAD = Comparator.<HeldRange>comparingDouble(entry ->
                    (double) entry.row.reportedAttempts() / entry.row.spec().slots())
            .thenComparingInt(entry -> entry.row.index());

    private final GreedyChainBuilder chainBuilder;

    /** Creates a planner over a table. */
    public LeastReportedChainPlanner(EndpointTable table) {
        chainBuilder = new GreedyChainBuilder(table);
    }

    @Override
    public Optional<Chain> plan(RequestSpec request, ModelSpec pool, ChainConstraints constraints, long nowMs) {
        return chainBuilder.build(
                request, pool, constraints, options -> Collections.min(options, BY_REPORTED_LOAD), nowMs);
    }
}

package io.radishwinch.core.chain;

import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.RequestSpec;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Baseline planner that selects the held range with the highest end layer at each step, which yields the fewest stages.
 */
public final class FewestStagesChainPlanner implements ChainPlanner {

    private static final Comparator<HeldRange> BY_END_DESCENDING =
            Comparator.<HeldRange>comparingInt(entry -> -entry.end).thenComparingInt(entry -> entry.row.index());

    private final GreedyChainBuilder chainBuilder;

    /** Creates a planner over a table. */
    public FewestStagesChainPlanner(EndpointTable table) {
        chainBuilder = new GreedyChainBuilder(table);
    }

    @Override
    public Optional<Chain> plan(RequestSpec request, ModelSpec pool, ChainConstraints constraints, long nowMs) {
        return chainBuilder.build(request, pool, constraints, FewestStagesChainPlanner::furthest, nowMs);
    }

    static HeldRange furthest(List<HeldRange> options) {
        return Collections.min(options, BY_END_DESCENDING);
    }
}

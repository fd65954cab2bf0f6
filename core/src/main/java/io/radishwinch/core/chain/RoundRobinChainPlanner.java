package io.radishwinch.core.chain;

import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.RequestSpec;
import java.util.Comparator;
import java.util.Optional;

/** Baseline planner that selects endpoints with a free slot in turn, regardless of their speed and load. */
public final class RoundRobinChainPlanner implements ChainPlanner {

    private final GreedyChainBuilder chainBuilder;
    private int next;

    /** Creates a planner over a table. */
    public RoundRobinChainPlanner(EndpointTable table) {
        chainBuilder = new GreedyChainBuilder(table);
    }

    @Override
    public Optional<Chain> plan(RequestSpec request, ModelSpec pool, ChainConstraints constraints, long nowMs) {
        return chainBuilder.build(
                request,
                pool,
                constraints,
                options -> {
                    options.sort(Comparator.comparingInt(entry -> entry.row.index()));
                    return options.get(Math.floorMod(next++, options.size()));
                },
                nowMs);
    }
}

package io.radishwinch.core.chain;

import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Stage;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** Builds chains stage by stage for the baseline planners; each stage extends to the end of its holding. */
final class GreedyChainBuilder {

    private final EndpointTable table;

    GreedyChainBuilder(EndpointTable table) {
        this.table = table;
    }

    /**
     * Builds a chain, or returns empty if no candidate holds the next layer.
     *
     * @param choose selects one of the ranges that hold the next layer and have free slots and memory; the list is
     *     never empty
     */
    Optional<Chain> build(
            RequestSpec request,
            ModelSpec pool,
            ChainConstraints constraints,
            Function<List<HeldRange>, HeldRange> choose,
            long nowMs) {
        PoolIndex index = table.pool(pool.name());
        if (index == null) {
            return Optional.empty();
        }
        List<Stage> stages = new ArrayList<>();
        int layer = 0;
        while (layer < pool.layerCount()) {
            List<HeldRange> options = candidates(index, request, pool, constraints, layer);
            boolean isFirst = layer == 0;
            options.removeIf(
                    entry -> isFirst && !(entry.row.canEnter(nowMs) && constraints.canBeFirst(entry.row.id())));
            options.removeIf(entry ->
                    stages.stream().anyMatch(stage -> stage.endpointId().equals(entry.row.id())));
            if (options.isEmpty()) {
                return Optional.empty();
            }
            HeldRange chosen = choose.apply(options);
            int end = Math.min(chosen.end, pool.layerCount());
            stages.add(new Stage(chosen.row.id(), new LayerRange(layer, end)));
            layer = end;
        }
        return Optional.of(new Chain(stages));
    }

    private static List<HeldRange> candidates(
            PoolIndex index, RequestSpec request, ModelSpec pool, ChainConstraints constraints, int layer) {
        List<HeldRange> options = new ArrayList<>();
        for (int dataCentre = 0; dataCentre < index.dataCentreCount(); dataCentre++) {
            CandidateList candidates = index.candidates(layer, dataCentre);
            for (int i = 0; candidates != null && i < candidates.size(); i++) {
                HeldRange entry = candidates.get(i);
                int layers = Math.min(entry.end, pool.layerCount()) - layer;
                if (!constraints.isExcluded(entry.row.id())
                        && EndpointTable.kvBytes(pool, request, layers) <= Math.max(0, entry.row.kvFreeBytes())) {
                    options.add(entry);
                }
            }
        }
        return options;
    }
}

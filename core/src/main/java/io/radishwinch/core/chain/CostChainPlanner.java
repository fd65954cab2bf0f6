package io.radishwinch.core.chain;

import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Stage;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Plans the chain with the lowest cost by link delay, layer time, slots in use and cached prompt prefixes.
 *
 * <p>The chain is a shortest path over layer boundaries, computed by label setting in layer order (E. Q. V. Martins,
 * "On a multicriteria shortest path problem", European Journal of Operational Research 16, 1984, restricted to a few
 * labels for each boundary). Each stage is then chosen among near-equal endpoints by the power of two choices (M.
 * Mitzenmacher, "The power of two choices in randomized load balancing", IEEE TPDS 12(10), 2001), so that routers with
 * the same stale reports do not send their work to the same endpoints.
 */
public final class CostChainPlanner implements ChainPlanner {

    /** Candidates taken from the list of each data centre at each boundary. */
    private static final int CANDIDATES_PER_DATA_CENTRE = 3;

    /**
     * Data centres considered at each boundary, in index order, which starts with the data centre of the router.
     * Further ones are considered only while there is no candidate.
     */
    private static final int MAX_DATA_CENTRES = 4;

    /** Maximum number of candidates at one boundary. */
    private static final int MAX_CANDIDATES = 24;

    /** Largest cost difference between near-equal endpoints, as a share of the cost. */
    private static final double NEAR_EQUAL_SHARE = 0.05;

    /** Maximum number of random draws to find two near-equal endpoints for a stage. */
    private static final int MAX_DRAWS = 4;

    private final EndpointTable table;
    private final SplittableRandom random;
    private final CostModel costs;
    private final ChainLabels labels = new ChainLabels();
    private final HeldRange[] candidates = new HeldRange[MAX_CANDIDATES];
    private final int[] candidateLayerCounts = new int[MAX_CANDIDATES];
    private final GreedyChainBuilder fallback;
    private int candidateCount;

    /**
     * Creates a planner.
     *
     * @param table endpoint table to read
     * @param seed seed of the random choices; must differ between routers
     */
    public CostChainPlanner(EndpointTable table, long seed) {
        this.table = table;
        random = new SplittableRandom(seed);
        costs = new CostModel(table.links());
        fallback = new GreedyChainBuilder(table);
    }

    @Override
    public Optional<Chain> plan(RequestSpec request, ModelSpec pool, ChainConstraints constraints, long nowMs) {
        PoolIndex index = table.pool(pool.name());
        if (index == null) {
            return Optional.empty();
        }
        List<PrefixIndex.Match> matches = table.prefixes().matches(request.prefixHashes());
        costs.setRequest(request, matches, nowMs);
        Search search = new Search(
                pool,
                constraints,
                index,
                matches,
                EndpointTable.kvBytes(pool, request, 1),
                0,
                pool.layerCount(),
                table.crossDataCentreBudget().isAvailable(nowMs),
                nowMs);
        if (!findCheapest(search)) {
            return Optional.empty();
        }
        List<PlannedStage> stages = traceStages(pool.layerCount());
        if (!mergeRepeatedEndpoints(stages, search)) {
            return fallback.build(request, pool, constraints, FewestStagesChainPlanner::furthest, nowMs);
        }
        chooseAmongNearEqual(stages, search);
        return Optional.of(toChain(stages));
    }

    @Override
    public Optional<Chain> replaceStage(
            RequestSpec request, ModelSpec pool, Chain chain, String lostEndpointId, long nowMs) {
        PoolIndex index = table.pool(pool.name());
        int position = 0;
        Set<String> used = new HashSet<>();
        for (int i = 0; i < chain.stages().size(); i++) {
            used.add(chain.stages().get(i).endpointId());
            position = chain.stages().get(i).endpointId().equals(lostEndpointId) ? i : position;
        }
        if (index == null || position == 0) {
            return Optional.empty();
        }
        LayerRange lost = chain.stages().get(position).layers();
        costs.setRequest(request, List.of(), nowMs);
        Search search = new Search(
                pool,
                ChainConstraints.excluding(used),
                index,
                List.of(),
                EndpointTable.kvBytes(pool, request, 1),
                lost.first(),
                lost.end(),
                false,
                nowMs);
        if (!findCheapest(search)) {
            return Optional.empty();
        }
        List<PlannedStage> replacement = traceStages(lost.end());
        String dataCentre = table.row(lostEndpointId).spec().dataCentre();
        // Engines in another data centre would need the activations of the whole prompt over the cross-data-centre
        // path.
        boolean isLocal = replacement.stream()
                .allMatch(stage -> stage.entry.row.spec().dataCentre().equals(dataCentre));
        if (!isLocal || !mergeRepeatedEndpoints(replacement, search)) {
            return Optional.empty();
        }
        List<Stage> stages = new ArrayList<>(chain.stages().subList(0, position));
        stages.addAll(toStages(replacement));
        stages.addAll(chain.stages().subList(position + 1, chain.stages().size()));
        return Optional.of(new Chain(stages));
    }

    /** Computes the cheapest stages over the layers of a search; returns false if there are none. */
    private boolean findCheapest(Search search) {
        labels.reset(search.firstLayer, search.pool.layerCount());
        for (int layer = search.firstLayer; layer < search.endLayer; layer++) {
            // Costs never decrease along a chain, so a partial chain that costs more than the best complete one is
            // skipped.
            if (labels.labelCounts[layer] > 0 && labels.minCostUs(layer) < labels.minCostUs(search.endLayer)) {
                collectCandidates(search, layer);
                extendLabels(search, layer);
            }
        }
        return labels.labelCounts[search.endLayer] > 0;
    }

    /** Parameters of one search over the layers from {@code firstLayer} to {@code endLayer}, exclusive. */
    private record Search(
            ModelSpec pool,
            ChainConstraints constraints,
            PoolIndex index,
            List<PrefixIndex.Match> matches,
            long kvBytesPerLayer,
            int firstLayer,
            int endLayer,
            boolean canCrossDataCentres,
            long nowMs) {

        /** Returns whether the endpoint may serve a stage that starts at the layer; limits hold for the first one. */
        boolean canStartAt(int layer, HeldRange entry) {
            return layer > 0 || entry.row.canEnter(nowMs) && constraints.canBeFirst(entry.row.id());
        }

        int layersWithMemory(HeldRange entry) {
            return constraints.isExcluded(entry.row.id()) ? 0 : CostModel.layersWithMemory(entry, kvBytesPerLayer);
        }
    }

    /** Stage of a chain that may still change. */
    private record PlannedStage(HeldRange entry, int first, int end) {}

    private void collectCandidates(Search search, int layer) {
        candidateCount = 0;
        if (layer == 0) {
            // The candidates with the lowest cost need not include those that may be first.
            for (String endpointId : search.constraints.firstEndpointIds()) {
                EndpointRow row = table.row(endpointId);
                if (row != null) {
                    addCandidates(search, row, layer);
                }
            }
        }
        int dataCentres = Math.min(MAX_DATA_CENTRES, search.index.dataCentreCount());
        for (int dataCentre = 0; dataCentre < search.index.dataCentreCount(); dataCentre++) {
            CandidateList list = search.index.candidates(layer, dataCentre);
            int maxCount = dataCentre < dataCentres || candidateCount == 0
                    ? candidateCount + CANDIDATES_PER_DATA_CENTRE
                    : candidateCount;
            for (int i = 0; list != null && i < list.size() && candidateCount < maxCount; i++) {
                addCandidate(search, list.get(i), layer);
            }
        }
        for (PrefixIndex.Match match : search.matches) {
            addCandidates(search, match.row(), layer);
        }
        HeldRange best = labels.lastRanges[layer * ChainLabels.LABELS_PER_BOUNDARY];
        if (best != null) {
            List<Link> nearest = best.row.nearestLinks;
            for (int i = 0; i < nearest.size(); i++) {
                addCandidates(search, nearest.get(i).to, layer);
            }
        }
    }

    private void addCandidates(Search search, EndpointRow row, int layer) {
        for (int i = 0; i < row.heldRanges.size(); i++) {
            HeldRange entry = row.heldRanges.get(i);
            if (entry.isListed && entry.first <= layer && layer < entry.end && entry.pool.equals(search.pool.name())) {
                addCandidate(search, entry, layer);
            }
        }
    }

    private void addCandidate(Search search, HeldRange entry, int layer) {
        int layers = search.layersWithMemory(entry);
        if (layers == 0 || !search.canStartAt(layer, entry) || candidateCount == MAX_CANDIDATES) {
            return;
        }
        for (int i = 0; i < candidateCount; i++) {
            if (candidates[i] == entry) {
                return;
            }
        }
        candidateLayerCounts[candidateCount] = layers;
        candidates[candidateCount++] = entry;
    }

    private void extendLabels(Search search, int layer) {
        int base = layer * ChainLabels.LABELS_PER_BOUNDARY;
        for (int c = 0; c < candidateCount; c++) {
            HeldRange entry = candidates[c];
            double startUs = Double.MAX_VALUE;
            int from = -1;
            // Labels are sorted by cost and link costs are not negative, so the loop can end early.
            for (int label = base;
                    label < base + labels.labelCounts[layer] && labels.costUs[label] < startUs;
                    label++) {
                HeldRange last = labels.lastRanges[label];
                boolean isCrossDataCentre = last != null && last.row.dataCentreIndex() != entry.row.dataCentreIndex();
                if ((last == null || last.row != entry.row) && (search.canCrossDataCentres || !isCrossDataCentre)) {
                    double us = labels.costUs[label] + costs.linkCostUs(last == null ? null : last.row, entry.row);
                    if (us < startUs) {
                        startUs = us;
                        from = label;
                    }
                }
            }
            if (from >= 0) {
                offerEndLayers(search, layer, c, startUs + entry.slotPriceUs(), from);
            }
        }
    }

    /**
     * Adds labels at the boundaries where a chain may change endpoints: the starts of other holdings and the end of
     * this one.
     */
    private void offerEndLayers(Search search, int layer, int candidate, double startUs, int from) {
        HeldRange entry = candidates[candidate];
        double layerUs = costs.layerCostUs(entry.row);
        int end = Math.min(entry.end, search.endLayer);
        int maxEndLayer = (int) Math.min(end, (long) layer + candidateLayerCounts[candidate]);
        for (int endLayer = layer + 1; endLayer <= maxEndLayer; endLayer++) {
            if (endLayer == end || search.index.isStart(endLayer)) {
                labels.offer(endLayer, startUs + (endLayer - layer) * layerUs, entry, from);
            }
        }
    }

    private List<PlannedStage> traceStages(int layerCount) {
        List<PlannedStage> stages = new ArrayList<>();
        int label = layerCount * ChainLabels.LABELS_PER_BOUNDARY;
        while (labels.previousLabels[label] >= 0) {
            int previous = labels.previousLabels[label];
            stages.add(
                    0,
                    new PlannedStage(
                            labels.lastRanges[label],
                            previous / ChainLabels.LABELS_PER_BOUNDARY,
                            label / ChainLabels.LABELS_PER_BOUNDARY));
            label = previous;
        }
        return stages;
    }

    /**
     * Merges two stages on the same holding, and the stages between them, into one stage.
     *
     * @return false if two stages use different holdings of one endpoint, or if it has no memory for the merged stage
     */
    private static boolean mergeRepeatedEndpoints(List<PlannedStage> stages, Search search) {
        for (int i = 0; i < stages.size(); i++) {
            for (int j = stages.size() - 1; j > i; j--) {
                PlannedStage first = stages.get(i);
                PlannedStage second = stages.get(j);
                if (first.entry.row == second.entry.row) {
                    if (first.entry != second.entry
                            || search.layersWithMemory(first.entry) < second.end - first.first) {
                        return false;
                    }
                    stages.subList(i, j + 1).clear();
                    stages.add(i, new PlannedStage(first.entry, first.first, second.end));
                }
            }
        }
        return true;
    }

    private void chooseAmongNearEqual(List<PlannedStage> stages, Search search) {
        double chainUs = labels.costUs[search.pool.layerCount() * ChainLabels.LABELS_PER_BOUNDARY];
        for (int i = 0; i < stages.size(); i++) {
            PlannedStage stage = stages.get(i);
            EndpointRow before = i == 0 ? null : stages.get(i - 1).entry.row;
            EndpointRow after = i + 1 == stages.size() ? null : stages.get(i + 1).entry.row;
            double limitUs = stageCostUs(stage.entry, stage, before, after) + NEAR_EQUAL_SHARE * chainUs;
            HeldRange first = null;
            HeldRange second = null;
            for (int draw = 0; draw < MAX_DRAWS && second == null; draw++) {
                HeldRange drawn = drawNearEqual(search, stage);
                if (drawn != null
                        && drawn != first
                        && isEligible(drawn, stage, stages, search)
                        && stageCostUs(drawn, stage, before, after) <= limitUs) {
                    second = first == null ? null : drawn;
                    first = first == null ? drawn : first;
                }
            }
            if (second != null) {
                boolean firstIsCheaper =
                        stageCostUs(first, stage, before, after) <= stageCostUs(second, stage, before, after);
                stages.set(i, new PlannedStage(firstIsCheaper ? first : second, stage.first, stage.end));
            }
        }
    }

    /**
     * Returns a random candidate of the stage's data centre with a near-equal or lower score, or null if there is none.
     */
    private HeldRange drawNearEqual(Search search, PlannedStage stage) {
        CandidateList list = search.index.candidates(stage.first, stage.entry.row.dataCentreIndex());
        int count = list.countUpTo(stage.entry.score * (1 + NEAR_EQUAL_SHARE));
        return count == 0 ? null : list.get(random.nextInt(count));
    }

    private static boolean isEligible(HeldRange entry, PlannedStage stage, List<PlannedStage> stages, Search search) {
        if (entry == stage.entry) {
            return true;
        }
        if (entry.end < stage.end
                || !search.canStartAt(stage.first, entry)
                || search.layersWithMemory(entry) < stage.end - stage.first) {
            return false;
        }
        for (PlannedStage other : stages) {
            if (other.entry.row == entry.row) {
                return false;
            }
        }
        return true;
    }

    private double stageCostUs(HeldRange entry, PlannedStage stage, EndpointRow before, EndpointRow after) {
        return costs.linkCostUs(before, entry.row)
                + entry.slotPriceUs()
                + costs.layerCostUs(entry.row) * (stage.end - stage.first)
                + costs.linkCostUs(entry.row, after);
    }

    private static Chain toChain(List<PlannedStage> planned) {
        return new Chain(toStages(planned));
    }

    private static List<Stage> toStages(List<PlannedStage> planned) {
        List<Stage> stages = new ArrayList<>(planned.size());
        for (PlannedStage stage : planned) {
            stages.add(new Stage(stage.entry.row.id(), new LayerRange(stage.first, stage.end)));
        }
        return stages;
    }
}

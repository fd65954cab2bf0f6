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
 * Planner that takes the cheapest chain by link delay, layer time, slots in use and cached prompt prefixes.
 *
 * <p>The chain is a shortest path over layer boundaries, found by label setting in layer order (E. Q. V. Martins, "On a
 * multicriteria shortest path problem", European Journal of Operational Research 16, 1984, restricted to a few labels
 * for each boundary). Each stage is then chosen among near-equal endpoints by the power of two choices (M.
 * Mitzenmacher, "The power of two choices in randomized load balancing", IEEE TPDS 12(10), 2001), so that routers with
 * the same stale reports do not send their work to the same endpoints.
 */
public final class CostChainPlanner implements ChainPlanner {

    /** Candidates read from the list of each data centre at each boundary. */
    private static final int CANDIDATES_PER_DATA_CENTRE = 3;

    /** Data centres considered at each boundary; a router's own data centre comes first in the table. */
    private static final int MAX_DATA_CENTRES = 4;

    /** Candidates considered at one boundary. */
    private static final int MAX_CANDIDATES = 24;

    /** Difference up to which two endpoints count as near-equal, as a share of the cost. */
    private static final double NEAR_EQUAL_SHARE = 0.05;

    /** Random positions drawn to find two near-equal endpoints for a stage. */
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
     * @param seed seed of the random choices; routers must use different ones
     */
    public CostChainPlanner(EndpointTable table, long seed) {
        this.table = table;
        random = new SplittableRandom(seed);
        costs = new CostModel(table.links());
        fallback = new GreedyChainBuilder(table);
    }

    @Override
    public Optional<Chain> plan(RequestSpec request, ModelSpec pool, Set<String> excludedEndpointIds, long nowMs) {
        PoolIndex index = table.pool(pool.name());
        if (index == null) {
            return Optional.empty();
        }
        List<PrefixIndex.Match> matches = table.prefixes().matches(request.prefixHashes());
        costs.setRequest(request, matches, nowMs);
        Search search = new Search(
                pool,
                excludedEndpointIds,
                index,
                matches,
                EndpointTable.kvBytes(pool, request, 1),
                0,
                pool.layerCount(),
                table.crossDataCentreBudget().isAvailable(nowMs));
        if (!findCheapest(search)) {
            return Optional.empty();
        }
        List<PlannedStage> stages = traceStages(pool.layerCount());
        if (!mergeRepeatedEndpoints(stages, search)) {
            return fallback.build(request, pool, excludedEndpointIds, FewestStagesChainPlanner::furthest);
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
                pool, used, index, List.of(), EndpointTable.kvBytes(pool, request, 1), lost.first(), lost.end(), false);
        if (!findCheapest(search)) {
            return Optional.empty();
        }
        List<PlannedStage> replacement = traceStages(lost.end());
        String dataCentre = table.row(lostEndpointId).spec().dataCentre();
        // Engines elsewhere would need the activations of the whole prompt over the path between the data centres.
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

    /** Finds the cheapest stages over the layers of a search; returns false if there are none. */
    private boolean findCheapest(Search search) {
        labels.reset(search.firstLayer, search.pool.layerCount());
        for (int layer = search.firstLayer; layer < search.endLayer; layer++) {
            // Costs never decrease along a chain, so that a partial chain above the best whole one is of no use.
            if (labels.labelCounts[layer] > 0 && labels.minCostUs(layer) < labels.minCostUs(search.endLayer)) {
                collectCandidates(search, layer);
                extendLabels(search, layer);
            }
        }
        return labels.labelCounts[search.endLayer] > 0;
    }

    /** What stays the same during one decision; the layers from the first to the end, exclusive, are planned. */
    private record Search(
            ModelSpec pool,
            Set<String> excludedEndpointIds,
            PoolIndex index,
            List<PrefixIndex.Match> matches,
            long kvBytesPerLayer,
            int firstLayer,
            int endLayer,
            boolean canCrossDataCentres) {

        int layersWithMemory(HeldRange entry) {
            boolean isExcluded = !excludedEndpointIds.isEmpty() && excludedEndpointIds.contains(entry.row.id());
            return isExcluded ? 0 : CostModel.layersWithMemory(entry, kvBytesPerLayer);
        }
    }

    /** A stage with its entry, before the chain is final. */
    private record PlannedStage(HeldRange entry, int first, int end) {}

    private void collectCandidates(Search search, int layer) {
        candidateCount = 0;
        int zones = Math.min(MAX_DATA_CENTRES, search.index.dataCentreCount());
        for (int zone = 0; zone < search.index.dataCentreCount(); zone++) {
            CandidateList list = search.index.candidates(layer, zone);
            int wanted =
                    zone < zones || candidateCount == 0 ? candidateCount + CANDIDATES_PER_DATA_CENTRE : candidateCount;
            for (int i = 0; list != null && i < list.size() && candidateCount < wanted; i++) {
                addCandidate(search, list.get(i));
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
                addCandidate(search, entry);
            }
        }
    }

    private void addCandidate(Search search, HeldRange entry) {
        int layers = search.layersWithMemory(entry);
        if (layers == 0 || candidateCount == MAX_CANDIDATES) {
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
            // Labels are sorted by cost and a link costs at least zero, so that the loop can end early.
            for (int label = base;
                    label < base + labels.labelCounts[layer] && labels.costUs[label] < startUs;
                    label++) {
                HeldRange last = labels.lastRanges[label];
                boolean crosses = last != null && last.row.dataCentreIndex() != entry.row.dataCentreIndex();
                if ((last == null || last.row != entry.row) && (search.canCrossDataCentres || !crosses)) {
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

    /** Offers the boundaries where it can pay to leave an endpoint: starts of other holdings and its own end. */
    private void offerEndLayers(Search search, int layer, int candidate, double startUs, int from) {
        HeldRange entry = candidates[candidate];
        double layerUs = costs.layerCostUs(entry.row);
        int end = Math.min(entry.end, search.endLayer);
        int furthest = (int) Math.min(end, (long) layer + candidateLayerCounts[candidate]);
        for (int stop = layer + 1; stop <= furthest; stop++) {
            if (stop == end || search.index.isStart(stop)) {
                labels.offer(stop, startUs + (stop - layer) * layerUs, entry, from);
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
     * Replaces a detour that returns to the same holding by one stage.
     *
     * @return false if an endpoint still appears twice or has no memory for the longer stage
     */
    private static boolean mergeRepeatedEndpoints(List<PlannedStage> stages, Search search) {
        for (int i = 0; i < stages.size(); i++) {
            for (int j = stages.size() - 1; j > i; j--) {
                PlannedStage early = stages.get(i);
                PlannedStage late = stages.get(j);
                if (early.entry.row == late.entry.row) {
                    if (early.entry != late.entry || search.layersWithMemory(early.entry) < late.end - early.first) {
                        return false;
                    }
                    stages.subList(i, j + 1).clear();
                    stages.add(i, new PlannedStage(early.entry, early.first, late.end));
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

    /** Draws an entry of the stage's data centre whose score is close to that of the stage's entry. */
    private HeldRange drawNearEqual(Search search, PlannedStage stage) {
        CandidateList list = search.index.candidates(stage.first, stage.entry.row.dataCentreIndex());
        int near = list.countUpTo(stage.entry.score * (1 + NEAR_EQUAL_SHARE));
        return near == 0 ? null : list.get(random.nextInt(near));
    }

    private static boolean isEligible(HeldRange entry, PlannedStage stage, List<PlannedStage> stages, Search search) {
        if (entry == stage.entry) {
            return true;
        }
        if (entry.end < stage.end || search.layersWithMemory(entry) < stage.end - stage.first) {
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

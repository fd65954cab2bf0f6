package io.radishwinch.core.chain;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.jgrapht.alg.flow.DinicMFImpl;
import org.jgrapht.graph.DefaultWeightedEdge;
import org.jgrapht.graph.SimpleDirectedWeightedGraph;

/**
 * Computes the throughput bound of a pool as the maximum flow over stages and links, in tokens/s.
 *
 * <p>Flow enters at layer zero and leaves after the last layer. It may enter and leave a stage at every layer boundary
 * inside the range of the stage. A path that returns to an earlier boundary can be shortened, so such paths do not
 * increase the flow. Source of the flow algorithm: E. A. Dinic, "Algorithm for solution of a problem of maximum flow in
 * networks with power estimation", Soviet Mathematics Doklady 11, 1970, as implemented in JGraphT.
 */
public final class ThroughputBound {

    /**
     * Maximum number of stages for which every pair is an edge. Larger graphs connect stages at boundaries, which
     * bounds the number of edges.
     */
    static final int MAX_STAGES_WITH_PAIRS = 64;

    private ThroughputBound() {}

    /**
     * Capacity of a stage.
     *
     * @param id identifier, unique in one computation
     * @param first first layer held
     * @param end layer after the last one held
     * @param tokensPerS capacity in tokens/s
     */
    public record StageCapacity(String id, int first, int end, double tokensPerS) {}

    /**
     * Capacity of a limited link; pairs without an entry are unlimited.
     *
     * @param fromId sending stage
     * @param toId receiving stage
     * @param tokensPerS capacity in tokens/s
     */
    public record LinkCapacity(String fromId, String toId, double tokensPerS) {}

    /**
     * Returns the maximum flow in tokens/s, 0 if the stages do not cover every layer.
     *
     * <p>With at most 64 stages, each link is limited by its own capacity. With more, a stage is limited by the sum of
     * its outgoing and of its incoming links if all of these are limited, which never yields less than the exact flow.
     */
    public static double tokensPerS(int layerCount, Collection<StageCapacity> stages, Collection<LinkCapacity> links) {
        FlowNetwork network = new FlowNetwork(layerCount, stages);
        if (stages.size() <= MAX_STAGES_WITH_PAIRS && !links.isEmpty()) {
            network.connectPairs(links);
        } else {
            network.connectAtBoundaries(links);
        }
        return network.maxFlowTokensPerS();
    }

    /** Number and total capacity of the limited links of each stage in one direction. */
    private static final class LinkSums {

        private final Map<String, Integer> counts = new HashMap<>();
        private final Map<String, Double> sums = new HashMap<>();

        void add(String stageId, double tokensPerS) {
            counts.merge(stageId, 1, Integer::sum);
            sums.merge(stageId, tokensPerS, Double::sum);
        }
    }

    /** Flow network of stages and links. */
    private static final class FlowNetwork {

        private static final String SOURCE = "source";
        private static final String SINK = "sink";

        private final SimpleDirectedWeightedGraph<String, DefaultWeightedEdge> graph =
                new SimpleDirectedWeightedGraph<>(DefaultWeightedEdge.class);
        private final int layerCount;
        private final List<StageCapacity> stages;

        /**
         * Capacity of unlimited edges: larger than the sum of all stages, so that no minimum cut contains them. JGraphT
         * does not support infinite capacities, because it subtracts from them.
         */
        private final double unlimitedTokensPerS;

        FlowNetwork(int layerCount, Collection<StageCapacity> stages) {
            this.layerCount = layerCount;
            this.stages = List.copyOf(stages);
            double sum = 1;
            for (StageCapacity stage : stages) {
                sum += stage.tokensPerS();
            }
            unlimitedTokensPerS = sum;
            graph.addVertex(SOURCE);
            graph.addVertex(SINK);
        }

        void connectPairs(Collection<LinkCapacity> links) {
            Map<String, Map<String, Double>> limits = new HashMap<>();
            for (LinkCapacity link : links) {
                limits.computeIfAbsent(link.fromId(), key -> new HashMap<>()).put(link.toId(), link.tokensPerS());
            }
            stages.forEach(stage -> addEdge(in(stage.id()), out(stage.id()), stage.tokensPerS()));
            for (StageCapacity from : stages) {
                if (from.first() == 0) {
                    addEdge(SOURCE, in(from.id()), unlimitedTokensPerS);
                }
                if (from.end() >= layerCount) {
                    addEdge(out(from.id()), SINK, unlimitedTokensPerS);
                }
                Map<String, Double> limitsFrom = limits.getOrDefault(from.id(), Map.of());
                for (StageCapacity to : stages) {
                    if (to != from && canFollow(from.first(), from.end(), to.first(), to.end())) {
                        addEdge(out(from.id()), in(to.id()), limitsFrom.getOrDefault(to.id(), unlimitedTokensPerS));
                    }
                }
            }
        }

        void connectAtBoundaries(Collection<LinkCapacity> links) {
            TreeSet<Integer> boundaries = new TreeSet<>(List.of(0, layerCount));
            Map<String, StageCapacity> byId = new HashMap<>();
            Map<List<Integer>, Integer> rangeCounts = new HashMap<>();
            for (StageCapacity stage : stages) {
                boundaries.add(stage.first());
                boundaries.add(Math.min(stage.end(), layerCount));
                byId.put(stage.id(), stage);
                rangeCounts.merge(List.of(stage.first(), stage.end()), 1, Integer::sum);
            }
            boundaries.forEach(boundary -> graph.addVertex("boundary " + boundary));
            addEdge(SOURCE, "boundary 0", unlimitedTokensPerS);
            addEdge("boundary " + layerCount, SINK, unlimitedTokensPerS);
            LinkSums out = new LinkSums();
            LinkSums in = new LinkSums();
            for (LinkCapacity link : links) {
                StageCapacity from = byId.get(link.fromId());
                StageCapacity to = byId.get(link.toId());
                if (from != null && to != null && canFollow(from.first(), from.end(), to.first(), to.end())) {
                    out.add(from.id(), link.tokensPerS());
                    in.add(to.id(), link.tokensPerS());
                }
            }
            Map<List<Integer>, Double> capacitiesByRange = new HashMap<>();
            for (StageCapacity stage : stages) {
                double capacity = stage.tokensPerS();
                if (stage.end() < layerCount
                        && out.counts.getOrDefault(stage.id(), 0) >= countSuccessors(stage, rangeCounts)) {
                    capacity = Math.min(capacity, out.sums.getOrDefault(stage.id(), 0.0));
                }
                if (stage.first() > 0
                        && in.counts.getOrDefault(stage.id(), 0) >= countPredecessors(stage, rangeCounts)) {
                    capacity = Math.min(capacity, in.sums.getOrDefault(stage.id(), 0.0));
                }
                capacitiesByRange.merge(
                        List.of(stage.first(), Math.min(stage.end(), layerCount)), capacity, Double::sum);
            }
            capacitiesByRange.forEach((range, capacity) -> addRange(range.get(0), range.get(1), capacity, boundaries));
        }

        /** Counts the other stages that can follow the given one. */
        private static int countSuccessors(StageCapacity stage, Map<List<Integer>, Integer> rangeCounts) {
            int count = canFollow(stage.first(), stage.end(), stage.first(), stage.end()) ? -1 : 0;
            for (Map.Entry<List<Integer>, Integer> range : rangeCounts.entrySet()) {
                boolean follows = canFollow(
                        stage.first(),
                        stage.end(),
                        range.getKey().get(0),
                        range.getKey().get(1));
                count += follows ? range.getValue() : 0;
            }
            return count;
        }

        private static int countPredecessors(StageCapacity stage, Map<List<Integer>, Integer> rangeCounts) {
            int count = canFollow(stage.first(), stage.end(), stage.first(), stage.end()) ? -1 : 0;
            for (Map.Entry<List<Integer>, Integer> range : rangeCounts.entrySet()) {
                boolean precedes =
                        canFollow(range.getKey().get(0), range.getKey().get(1), stage.first(), stage.end());
                count += precedes ? range.getValue() : 0;
            }
            return count;
        }

        /** Returns whether a stage can run at least one layer before at least one layer of another stage. */
        private static boolean canFollow(int first, int end, int nextFirst, int nextEnd) {
            return nextFirst <= end && nextEnd > first + 1;
        }

        private void addRange(int first, int end, double capacity, TreeSet<Integer> boundaries) {
            String id = first + "-" + end;
            addEdge(in(id), out(id), capacity);
            for (int boundary : boundaries.subSet(first, true, end, true)) {
                if (boundary < end) {
                    addEdge("boundary " + boundary, in(id), unlimitedTokensPerS);
                }
                if (boundary > first) {
                    addEdge(out(id), "boundary " + boundary, unlimitedTokensPerS);
                }
            }
        }

        double maxFlowTokensPerS() {
            return new DinicMFImpl<>(graph).getMaximumFlowValue(SOURCE, SINK);
        }

        private void addEdge(String from, String to, double capacity) {
            graph.addVertex(from);
            graph.addVertex(to);
            DefaultWeightedEdge edge = graph.addEdge(from, to);
            graph.setEdgeWeight(edge, capacity);
        }

        private static String in(String id) {
            return "in " + id;
        }

        private static String out(String id) {
            return "out " + id;
        }
    }
}

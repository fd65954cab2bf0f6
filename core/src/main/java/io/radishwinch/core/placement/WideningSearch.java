package io.radishwinch.core.placement;

import io.radishwinch.core.model.EnginePoolSpec;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Finds the move of one engine that restores most of the capacity that the layers of a complete layout lack.
 *
 * <p>While the engine loads, no layer has less capacity than the narrowest layer had before. Afterwards engines release
 * the excess layers that the move made redundant, which a move is valued with. Each move lowers the lacking capacity by
 * a minimum share, so a group whose engines do not change is moved a limited number of times.
 */
final class WideningSearch {

    /** Tolerance for rounding errors in sums over layers. */
    private static final double TOLERANCE = 1e-6;

    private final LayerCapacity capacity;
    private final double targetRequests;
    private final ToIntFunction<PlacementEndpoint> targetLayers;
    private final ModelSpec model;
    private final EnginePoolSpec pool;
    private final LayoutSettings settings;
    private final double lackingShare;
    private final double minRequests;
    /** Engines by accelerator kind and range; of equal engines, the one with the fewest running attempts. */
    private final Map<Candidate, PlacementEndpoint> candidates = new LinkedHashMap<>();
    /**
     * Engines that will release layers once those are redundant. Each is the only holder of a layer, so there are no
     * more of them than layers.
     */
    private final List<Excess> excess = new ArrayList<>();

    private record Candidate(String kind, LayerRange held) {}

    private record Excess(String kind, LayerRange held, int targetLayers) {}

    /** A move of an engine to another range; the highest value is preferred. */
    record Move(PlacementEndpoint endpoint, LayerRange range, double value) {}

    /**
     * Creates a search.
     *
     * @param capacity capacity of a layout without redundant excess layers
     * @param targetRequests capacity that each layer should have, in requests
     * @param targetLayers number of layers that an engine should hold
     */
    WideningSearch(
            LayerCapacity capacity,
            double targetRequests,
            ToIntFunction<PlacementEndpoint> targetLayers,
            ModelSpec model,
            EnginePoolSpec pool,
            LayoutSettings settings) {
        this.capacity = capacity;
        this.targetRequests = targetRequests;
        this.targetLayers = targetLayers;
        this.model = model;
        this.pool = pool;
        this.settings = settings;
        this.lackingShare = capacity.lackingShare(targetRequests);
        this.minRequests = capacity.minCapacityRequests();
    }

    /** Adds an engine of the layout; the engines are added in the order in which they release layers. */
    void add(PlacementEndpoint endpoint, LayerRange held) {
        String kind = endpoint.spec().acceleratorKind();
        int size = targetLayers.applyAsInt(endpoint);
        if (held.end() > model.layerCount() || size == 0) {
            return;
        }
        if (held.size() > size) {
            excess.add(new Excess(kind, held, size));
        }
        candidates.merge(
                new Candidate(kind, held),
                endpoint,
                (one, other) -> other.occupiedSlots() < one.occupiedSlots() ? other : one);
    }

    /** Returns the best move that restores enough capacity, or null if there is none. */
    Move best() {
        Move best = null;
        if (lackingShare <= TOLERANCE) {
            return null;
        }
        for (Map.Entry<Candidate, PlacementEndpoint> entry : candidates.entrySet()) {
            Candidate candidate = entry.getKey();
            LayerRange held = candidate.held;
            LayerCapacity without = new LayerCapacity(capacity);
            without.remove(held, capacityRequests(candidate.kind, held.size()));
            int size = targetLayers.applyAsInt(entry.getValue());
            for (int first = 0; first + size <= model.layerCount(); first++) {
                LayerRange range = new LayerRange(first, first + size);
                if (capacity.lackingShare(range, targetRequests) > 0 && isCoveredWhileLoading(without, held, range)) {
                    Move move = move(candidate, entry.getValue(), without, range);
                    best = move != null && (best == null || move.value > best.value) ? move : best;
                }
            }
        }
        return best;
    }

    /** Returns whether the layers that the engine releases keep at least the smallest capacity without it. */
    private boolean isCoveredWhileLoading(LayerCapacity without, LayerRange held, LayerRange range) {
        boolean isCovered = true;
        int keptFirst = Math.max(held.first(), range.first());
        int keptEnd = Math.min(held.end(), range.end());
        if (keptFirst >= keptEnd) {
            return isCovered(without, held.first(), held.end());
        }
        if (held.first() < keptFirst) {
            isCovered = isCovered(without, held.first(), keptFirst);
        }
        return isCovered && (keptEnd == held.end() || isCovered(without, keptEnd, held.end()));
    }

    private boolean isCovered(LayerCapacity without, int first, int end) {
        LayerRange released = new LayerRange(first, end);
        return without.minHolders(released) > 0 && without.minCapacityRequests(released) >= minRequests - TOLERANCE;
    }

    /** Returns the move with its value, or null if it restores too little. */
    private Move move(Candidate candidate, PlacementEndpoint endpoint, LayerCapacity without, LayerRange range) {
        LayerCapacity after = new LayerCapacity(without);
        after.add(range, capacityRequests(candidate.kind, range.size()));
        releaseExcess(after, candidate);
        double restoredShare = 1 - after.lackingShare(targetRequests) / lackingShare;
        if (restoredShare < settings.minWideningGain() || after.minCapacityRequests() < minRequests - TOLERANCE) {
            return null;
        }
        int kept = Math.max(
                0, Math.min(candidate.held.end(), range.end()) - Math.max(candidate.held.first(), range.first()));
        double loadS = (double) pool.loadMs() * (range.size() - kept) / model.layerCount() / 1_000;
        double releasedShare = 1 - (double) kept / candidate.held.size();
        double value = restoredShare
                - settings.costPerLoadS() * loadS
                - settings.costPerInterruptedStream() * endpoint.occupiedSlots() * releasedShare;
        return new Move(endpoint, range, value);
    }

    /** Releases excess layers in the order in which the planner does. */
    private void releaseExcess(LayerCapacity after, Candidate moved) {
        for (Excess engine : excess) {
            LayerRange remaining = after.withoutExcess(engine.held, engine.targetLayers);
            if (remaining != engine.held && !engine.held.equals(moved.held)) {
                after.remove(engine.held, capacityRequests(engine.kind, engine.held.size()));
                after.add(remaining, capacityRequests(engine.kind, remaining.size()));
            }
        }
    }

    private double capacityRequests(String kind, int layers) {
        return pool.requestCapacity(kind, layers, model);
    }
}

package io.radishwinch.core.impl;

import io.radishwinch.core.DecisionCore.EndpointView;
import io.radishwinch.core.DecisionCore.PoolView;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.chain.ChainConstraints;
import io.radishwinch.core.chain.ChainPlanner;
import io.radishwinch.core.chain.EndpointDirectory;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Stage;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/** Directory of endpoints {@code <stage>-<n>}; a chain uses the endpoint of each stage with the fewest attempts. */
final class FakeDirectory implements EndpointDirectory, ChainPlanner {

    final int stageCount;
    final int slots;
    final Map<String, Integer> runningByEndpoint = new TreeMap<>();
    final Set<String> down = new HashSet<>();
    private final Map<String, Long> suspectedUntilMs = new TreeMap<>();

    FakeDirectory(int stageCount, int endpointsPerStage, int slots) {
        this.stageCount = stageCount;
        this.slots = slots;
        for (int stage = 0; stage < stageCount; stage++) {
            for (int n = 0; n < endpointsPerStage; n++) {
                runningByEndpoint.put(stage + "-" + n, 0);
            }
        }
    }

    int totalSlots() {
        return runningByEndpoint.size() * slots;
    }

    @Override
    public Optional<Chain> plan(RequestSpec request, ModelSpec pool, ChainConstraints constraints, long nowMs) {
        int columns = pool.layerCount() == 1 ? 1 : stageCount;
        int layersPerStage = pool.layerCount() / columns;
        Set<String> mayBeFirst = constraints.firstEndpointIds();
        List<Stage> stages = new ArrayList<>();
        for (int column = 0; column < columns; column++) {
            String prefix = column + "-";
            boolean isFirst = column == 0;
            Optional<String> best = runningByEndpoint.keySet().stream()
                    .filter(id -> id.startsWith(prefix) && !down.contains(id))
                    .filter(id -> !constraints.excludedEndpointIds().contains(id))
                    .filter(id -> !isFirst || mayBeFirst.isEmpty() || mayBeFirst.contains(id))
                    .filter(id -> runningByEndpoint.get(id) < slots)
                    .min((a, b) -> runningByEndpoint.get(a) - runningByEndpoint.get(b));
            if (best.isEmpty()) {
                return Optional.empty();
            }
            stages.add(new Stage(best.get(), new LayerRange(column * layersPerStage, (column + 1) * layersPerStage)));
        }
        return Optional.of(new Chain(stages));
    }

    @Override
    public Optional<Chain> replaceStage(
            RequestSpec request, ModelSpec pool, Chain chain, String lostEndpointId, long nowMs) {
        Set<String> others = new HashSet<>(runningByEndpoint.keySet());
        chain.stages().forEach(stage -> others.remove(stage.endpointId()));
        others.removeIf(id -> id.startsWith(lostEndpointId.substring(0, lostEndpointId.indexOf('-') + 1)));
        return plan(request, pool, ChainConstraints.excluding(others), nowMs);
    }

    @Override
    public List<Action> handle(Event event, long nowMs) {
        if (event instanceof Event.EndpointRemoved removed) {
            down.add(removed.endpointId());
            if (removed.isSuspected()) {
                suspectedUntilMs.put(removed.endpointId(), nowMs + Event.EndpointRemoved.MAX_SILENCE_MS);
            } else {
                suspectedUntilMs.remove(removed.endpointId());
            }
        } else if (event instanceof Event.EndpointJoined joined) {
            down.remove(joined.endpoint().id());
            suspectedUntilMs.remove(joined.endpoint().id());
        }
        return List.of();
    }

    @Override
    public void acquire(Chain chain, RequestSpec request, long nowMs) {
        chain.stages().forEach(stage -> runningByEndpoint.merge(stage.endpointId(), 1, Integer::sum));
    }

    @Override
    public void release(Chain chain, RequestSpec request, long nowMs) {
        chain.stages().forEach(stage -> runningByEndpoint.merge(stage.endpointId(), -1, Integer::sum));
    }

    @Override
    public List<Action> recordSuccess(Chain chain, long firstTokenMs, double tokenIntervalMs, long nowMs) {
        return List.of();
    }

    @Override
    public List<Action> recordFailure(String endpointId, Reason reason, long nowMs) {
        return List.of();
    }

    @Override
    public boolean isUsable(String endpointId, long nowMs) {
        return !down.contains(endpointId);
    }

    @Override
    public boolean isRemoved(String endpointId) {
        return !runningByEndpoint.containsKey(endpointId) || down.contains(endpointId);
    }

    @Override
    public long pauseEndMs(String pool, long nowMs) {
        return nowMs;
    }

    @Override
    public boolean isCovered(String pool, long nowMs) {
        return isCovered(pool, id -> !down.contains(id));
    }

    private boolean isCovered(String pool, Predicate<String> isHolder) {
        int columns = pool.startsWith(ModelSpec.SERVICE_PREFIX) ? 1 : stageCount;
        return IntStream.range(0, columns).allMatch(column -> runningByEndpoint.keySet().stream()
                .anyMatch(id -> id.startsWith(column + "-") && isHolder.test(id)));
    }

    @Override
    public boolean isCoveredAfterSilences(String pool, long nowMs) {
        return !isCovered(pool, nowMs)
                && isCovered(pool, id -> !down.contains(id) || nowMs < suspectedUntilMs.getOrDefault(id, nowMs));
    }

    @Override
    public double throughputBoundTokensPerS(String pool, long nowMs) {
        return 0;
    }

    @Override
    public List<EndpointView> endpointViews(long nowMs) {
        return List.of();
    }

    @Override
    public List<PoolView> poolViews(long nowMs) {
        return List.of();
    }
}

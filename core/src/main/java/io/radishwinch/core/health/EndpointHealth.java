package io.radishwinch.core.health;

import io.radishwinch.core.model.Reason;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Ejects endpoints that fail or are much slower than others of their kind, and limits the share of slots that new and
 * readmitted ones may use.
 *
 * <p>Ejection on consecutive failures and outliers, increasing ejection times and the largest ejected share follow the
 * outlier detection of Envoy (Envoy documentation, "Outlier detection"); slow start follows its "Slow start mode".
 * Layer times are compared with the median of the accelerator kind, which remains stable while fewer than half of the
 * endpoints are slow (P. J. Rousseeuw, C. Croux, "Alternatives to the median absolute deviation", JASA 88, 1993). Each
 * endpoint has a weight: 0 while it is ejected, otherwise the share of its slots that may be used.
 */
public final class EndpointHealth {

    /** Share of the slots at each step of readmission. */
    private static final double[] READMISSION_WEIGHTS = {0.1, 0.25, 0.5};

    /** Share of the slots at the start of slow start. */
    private static final double MIN_SLOW_START_WEIGHT = 0.1;

    /** Smallest number of endpoints of one kind for a median. */
    private static final int MIN_ENDPOINTS_FOR_MEDIAN = 3;

    /**
     * Time in ms after the first join during which endpoints join without slow start: the router itself has just
     * started and the endpoints have been running before.
     */
    private static final long ROUTER_START_UP_MS = 10_000;

    private final HealthSettings settings;
    private final HealthView view;
    private final Map<String, State> states = new TreeMap<>();
    private long firstJoinMs = Long.MIN_VALUE;

    /** Creates an empty health table that reads pools and layer times from the view. */
    public EndpointHealth(HealthSettings settings, HealthView view) {
        this.settings = settings;
        this.view = view;
    }

    /**
     * State change of an endpoint, to be logged.
     *
     * @param endpointId endpoint
     * @param change old state, new state and cause
     */
    public record StateChange(String endpointId, String change) {}

    /** Health of one endpoint; times in ms of the router's clock. */
    private static final class State {
        private int consecutiveFailures;
        private int ejectionCount;
        private boolean isEjected;
        private long ejectedUntilMs;
        private long slowStartEndMs = Long.MIN_VALUE;
        private int readmissionStep = READMISSION_WEIGHTS.length;
        private long readmissionStepEndMs;
        private long slowSinceMs = Long.MAX_VALUE;
        private long healthySinceMs;
        private double minLayerTimeUs = Double.MAX_VALUE;
    }

    /** Adds an endpoint, in slow start unless this router itself has just started. */
    public void add(String endpointId, long nowMs) {
        State state = new State();
        firstJoinMs = firstJoinMs == Long.MIN_VALUE ? nowMs : firstJoinMs;
        if (nowMs - firstJoinMs > ROUTER_START_UP_MS) {
            state.slowStartEndMs = nowMs + settings.slowStartMs();
        }
        state.healthySinceMs = nowMs;
        states.put(endpointId, state);
    }

    /** Removes an endpoint. */
    public void remove(String endpointId) {
        states.remove(endpointId);
    }

    /** Records a success, which resets the count of consecutive failures. */
    public void recordSuccess(String endpointId) {
        State state = states.get(endpointId);
        if (state != null) {
            state.consecutiveFailures = 0;
        }
    }

    /**
     * Records a failure and returns the ejection that it caused, if any. Refusals and exceeded deadlines are ignored,
     * because high load causes them too.
     */
    public Optional<StateChange> recordFailure(String endpointId, Reason reason, long nowMs) {
        State state = states.get(endpointId);
        boolean isCounted = reason == Reason.STAGE_DIED || reason == Reason.ENDPOINT_TIMEOUT;
        if (state == null || !isCounted || state.isEjected) {
            return Optional.empty();
        }
        state.consecutiveFailures++;
        boolean isBeingReadmitted = state.readmissionStep < READMISSION_WEIGHTS.length;
        if (state.consecutiveFailures < settings.consecutiveFailures() && !isBeingReadmitted || !canEject(endpointId)) {
            return Optional.empty();
        }
        return Optional.of(eject(endpointId, state, "failures " + state.consecutiveFailures, nowMs));
    }

    /**
     * Ejects slow endpoints, starts the readmission of endpoints whose ejection has ended and advances its steps. Must
     * be called at most once a second.
     */
    public List<StateChange> tick(long nowMs) {
        List<StateChange> changes = new ArrayList<>();
        Map<String, double[]> timesUs = sortedLayerTimesUsByKind();
        for (Map.Entry<String, State> entry : states.entrySet()) {
            String id = entry.getKey();
            State state = entry.getValue();
            if (state.isEjected) {
                if (nowMs >= state.ejectedUntilMs && !isSlow(id, state, timesUs)) {
                    state.isEjected = false;
                    state.consecutiveFailures = 0;
                    state.readmissionStep = 0;
                    state.readmissionStepEndMs = nowMs + settings.readmissionStepMs();
                    changes.add(new StateChange(id, "ejected -> reinstating"));
                }
                continue;
            }
            if (state.readmissionStep < READMISSION_WEIGHTS.length && nowMs >= state.readmissionStepEndMs) {
                state.readmissionStep++;
                state.readmissionStepEndMs = nowMs + settings.readmissionStepMs();
                state.healthySinceMs = nowMs;
                if (state.readmissionStep == READMISSION_WEIGHTS.length) {
                    changes.add(new StateChange(id, "reinstating -> live"));
                }
            }
            if (nowMs - state.healthySinceMs > settings.maxEjectionMs()) {
                state.ejectionCount = 0;
            }
            ejectIfSlow(id, state, timesUs, nowMs).ifPresent(changes::add);
        }
        return changes;
    }

    /**
     * Returns the share of the endpoint's slots that may be used: 0 while it is ejected, 1 if it is live or unknown.
     */
    public double weight(String endpointId, long nowMs) {
        State state = states.get(endpointId);
        if (state == null) {
            return 1;
        }
        if (state.isEjected) {
            return 0;
        }
        double weight =
                state.readmissionStep < READMISSION_WEIGHTS.length ? READMISSION_WEIGHTS[state.readmissionStep] : 1;
        if (nowMs < state.slowStartEndMs) {
            double remaining = (double) (state.slowStartEndMs - nowMs) / settings.slowStartMs();
            weight = Math.min(weight, Math.max(MIN_SLOW_START_WEIGHT, 1 - remaining));
        }
        return weight;
    }

    /** Returns whether the endpoint is ejected. */
    public boolean isEjected(String endpointId) {
        State state = states.get(endpointId);
        return state != null && state.isEjected;
    }

    private Optional<StateChange> ejectIfSlow(String id, State state, Map<String, double[]> timesUs, long nowMs) {
        double layerTimeUs = view.layerTimeUs(id);
        if (!isSlow(id, state, timesUs)) {
            state.minLayerTimeUs = Math.min(state.minLayerTimeUs, layerTimeUs);
            state.slowSinceMs = Long.MAX_VALUE;
            return Optional.empty();
        }
        state.slowSinceMs = Math.min(state.slowSinceMs, nowMs);
        boolean isLastHolder = view.poolsOf(id).stream().anyMatch(pool -> !view.isCoveredWithout(pool, id));
        if (nowMs - state.slowSinceMs < settings.minSlowMs() || isLastHolder || !canEject(id)) {
            return Optional.empty();
        }
        return Optional.of(eject(id, state, "layer time " + Math.round(layerTimeUs) + " us", nowMs));
    }

    /**
     * Returns whether the layer time exceeds the median of the kind by the slow factor. Kinds with too few endpoints
     * use the shortest time of the endpoint instead.
     */
    private boolean isSlow(String id, State state, Map<String, double[]> timesUs) {
        double[] sorted = timesUs.get(view.kindOf(id));
        boolean hasMedian = sorted != null && sorted.length >= MIN_ENDPOINTS_FOR_MEDIAN;
        double referenceUs = hasMedian ? sorted[(sorted.length - 1) / 2] : state.minLayerTimeUs;
        return view.layerTimeUs(id) > settings.slowFactor() * referenceUs;
    }

    private Map<String, double[]> sortedLayerTimesUsByKind() {
        Map<String, List<Double>> byKind = new HashMap<>();
        for (String id : states.keySet()) {
            double us = view.layerTimeUs(id);
            if (us > 0) {
                byKind.computeIfAbsent(view.kindOf(id), key -> new ArrayList<>())
                        .add(us);
            }
        }
        Map<String, double[]> sorted = new HashMap<>();
        byKind.forEach((kind, times) -> {
            double[] array = times.stream().mapToDouble(Double::doubleValue).toArray();
            Arrays.sort(array);
            sorted.put(kind, array);
        });
        return sorted;
    }

    private StateChange eject(String id, State state, String cause, long nowMs) {
        state.isEjected = true;
        state.ejectionCount++;
        state.readmissionStep = READMISSION_WEIGHTS.length;
        long lengthMs = Math.min(settings.maxEjectionMs(), settings.baseEjectionMs() * state.ejectionCount);
        state.ejectedUntilMs = nowMs + lengthMs;
        return new StateChange(id, "live -> ejected for at least " + lengthMs + " ms: " + cause);
    }

    /** Returns whether every pool of the endpoint stays within the largest ejected share after one more ejection. */
    private boolean canEject(String endpointId) {
        for (String pool : view.poolsOf(endpointId)) {
            int memberCount = 0;
            int ejectedCount = 0;
            for (String member : view.membersOf(pool)) {
                memberCount++;
                ejectedCount += isEjected(member) ? 1 : 0;
            }
            if (ejectedCount + 1 > memberCount * settings.maxEjectedShare()) {
                return false;
            }
        }
        return true;
    }
}

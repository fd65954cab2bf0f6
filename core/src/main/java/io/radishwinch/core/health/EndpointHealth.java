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
 * Ejects endpoints that fail or are far slower than others of their kind, and lets new and returning ones ramp up.
 *
 * <p>Ejection on consecutive failures and outliers, growing ejection times and the cap follow the outlier detection of
 * Envoy (Envoy documentation, "Outlier detection"); the ramp follows its "Slow start mode". Slow but living endpoints
 * are compared with the median, which up to half of a kind can fail without moving far (P. J. Rousseeuw, C. Croux,
 * "Alternatives to the median absolute deviation", JASA 88, 1993). Each endpoint has a weight: 0 while ejected,
 * otherwise the share of its slots that may be used.
 */
public final class EndpointHealth {

    /** Shares of the slots during reinstatement, one for each step. */
    private static final double[] STEP_WEIGHTS = {0.1, 0.25, 0.5};

    /** Share of the slots at the beginning of slow start. */
    private static final double FIRST_WEIGHT = 0.1;

    /** Endpoints of one kind needed for a median. */
    private static final int MIN_KIND_SIZE = 3;

    /**
     * Time after the first join during which endpoints are taken as established, in ms: the router has just started.
     */
    private static final long START_UP_MS = 10_000;

    private final HealthSettings settings;
    private final HealthView view;
    private final Map<String, State> states = new TreeMap<>();
    private long firstJoinMs = Long.MIN_VALUE;

    /** Creates an empty health table that looks up pools and layer times in the view. */
    public EndpointHealth(HealthSettings settings, HealthView view) {
        this.settings = settings;
        this.view = view;
    }

    /** A change of an endpoint's state, for the log. */
    public record Change(String endpointId, String change) {}

    /** Health of one endpoint; times in ms of the router's clock. */
    private static final class State {
        private int failures;
        private int ejections;
        private boolean ejected;
        private long ejectedUntilMs;
        private long rampEndMs = Long.MIN_VALUE;
        private int step = STEP_WEIGHTS.length;
        private long stepEndMs;
        private long slowSinceMs = Long.MAX_VALUE;
        private long healthySinceMs;
        private double fastestUs = Double.MAX_VALUE;
    }

    /** Adds an endpoint; it starts slowly unless this router has just started itself. */
    public void joined(String endpointId, long nowMs) {
        State state = new State();
        firstJoinMs = firstJoinMs == Long.MIN_VALUE ? nowMs : firstJoinMs;
        if (nowMs - firstJoinMs > START_UP_MS) {
            state.rampEndMs = nowMs + settings.slowStartMs();
        }
        state.healthySinceMs = nowMs;
        states.put(endpointId, state);
    }

    /** Removes an endpoint. */
    public void removed(String endpointId) {
        states.remove(endpointId);
    }

    /** Records a success, which ends a run of failures. */
    public void succeeded(String endpointId) {
        State state = states.get(endpointId);
        if (state != null) {
            state.failures = 0;
        }
    }

    /** Records a failure; refusals and the end of deadlines do not count, because load causes them too. */
    public Optional<Change> failed(String endpointId, Reason reason, long nowMs) {
        State state = states.get(endpointId);
        boolean counts = reason == Reason.STAGE_DIED || reason == Reason.ENDPOINT_TIMEOUT;
        if (state == null || !counts || state.ejected) {
            return Optional.empty();
        }
        state.failures++;
        boolean returning = state.step < STEP_WEIGHTS.length;
        if (state.failures < settings.consecutiveFailures() && !returning || !mayEject(endpointId)) {
            return Optional.empty();
        }
        return Optional.of(eject(endpointId, state, "failures " + state.failures, nowMs));
    }

    /** Ejects slow endpoints and moves returning ones by one step; called at most once a second. */
    public List<Change> tick(long nowMs) {
        List<Change> changes = new ArrayList<>();
        Map<String, double[]> timesUs = timesByKind();
        for (Map.Entry<String, State> entry : states.entrySet()) {
            String id = entry.getKey();
            State state = entry.getValue();
            if (state.ejected) {
                if (nowMs >= state.ejectedUntilMs && !isSlow(id, state, timesUs)) {
                    state.ejected = false;
                    state.failures = 0;
                    state.step = 0;
                    state.stepEndMs = nowMs + settings.stepMs();
                    changes.add(new Change(id, "ejected -> reinstating"));
                }
                continue;
            }
            if (state.step < STEP_WEIGHTS.length && nowMs >= state.stepEndMs) {
                state.step++;
                state.stepEndMs = nowMs + settings.stepMs();
                state.healthySinceMs = nowMs;
                if (state.step == STEP_WEIGHTS.length) {
                    changes.add(new Change(id, "reinstating -> live"));
                }
            }
            if (nowMs - state.healthySinceMs > settings.maxEjectionMs()) {
                state.ejections = 0;
            }
            ejectIfSlow(id, state, timesUs, nowMs).ifPresent(changes::add);
        }
        return changes;
    }

    /** Returns the share of the endpoint's slots that may be used: 0 while ejected, 1 if it is live or unknown. */
    public double weight(String endpointId, long nowMs) {
        State state = states.get(endpointId);
        if (state == null) {
            return 1;
        }
        if (state.ejected) {
            return 0;
        }
        double weight = state.step < STEP_WEIGHTS.length ? STEP_WEIGHTS[state.step] : 1;
        if (nowMs < state.rampEndMs) {
            double remaining = (double) (state.rampEndMs - nowMs) / settings.slowStartMs();
            weight = Math.min(weight, Math.max(FIRST_WEIGHT, 1 - remaining));
        }
        return weight;
    }

    /** Returns whether the endpoint is ejected. */
    public boolean isEjected(String endpointId) {
        State state = states.get(endpointId);
        return state != null && state.ejected;
    }

    private Optional<Change> ejectIfSlow(String id, State state, Map<String, double[]> timesUs, long nowMs) {
        double us = view.layerTimeUs(id);
        if (!isSlow(id, state, timesUs)) {
            state.fastestUs = Math.min(state.fastestUs, us);
            state.slowSinceMs = Long.MAX_VALUE;
            return Optional.empty();
        }
        state.slowSinceMs = Math.min(state.slowSinceMs, nowMs);
        boolean lastHolder = view.poolsOf(id).stream().anyMatch(pool -> !view.isCoveredWithout(pool, id));
        if (nowMs - state.slowSinceMs < settings.slowMs() || lastHolder || !mayEject(id)) {
            return Optional.empty();
        }
        return Optional.of(eject(id, state, "layer time " + Math.round(us) + " us", nowMs));
    }

    /** Compares with the median of the kind, or with the endpoint's own best time if the kind is too small. */
    private boolean isSlow(String id, State state, Map<String, double[]> timesUs) {
        double[] sorted = timesUs.get(view.kindOf(id));
        boolean hasMedian = sorted != null && sorted.length >= MIN_KIND_SIZE;
        double usualUs = hasMedian ? sorted[(sorted.length - 1) / 2] : state.fastestUs;
        return view.layerTimeUs(id) > settings.slowFactor() * usualUs;
    }

    private Map<String, double[]> timesByKind() {
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

    private Change eject(String id, State state, String cause, long nowMs) {
        state.ejected = true;
        state.ejections++;
        state.step = STEP_WEIGHTS.length;
        long lengthMs = Math.min(settings.maxEjectionMs(), settings.ejectionMs() * state.ejections);
        state.ejectedUntilMs = nowMs + lengthMs;
        return new Change(id, "live -> ejected for at least " + lengthMs + " ms: " + cause);
    }

    /** Returns whether one more ejection keeps every pool of the endpoint within the largest ejected share. */
    private boolean mayEject(String endpointId) {
        for (String pool : view.poolsOf(endpointId)) {
            int members = 0;
            int ejected = 0;
            for (String member : view.membersOf(pool)) {
                members++;
                ejected += isEjected(member) ? 1 : 0;
            }
            if (ejected + 1 > members * settings.maxEjectedShare()) {
                return false;
            }
        }
        return true;
    }
}

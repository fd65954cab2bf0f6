package io.radishwinch.bench;

import io.radishwinch.core.DecisionCore;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Stage;
import io.radishwinch.core.model.Verdict;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Simulates a decision core and a queueing model of engines on a virtual clock.
 *
 * <p>An attempt uses one slot and the memory of its KV cache on every stage. A token takes the layer times of the
 * stages plus the delays of the links between them, and a prompt token takes a twentieth of the layer times. Engines
 * send a load report once a second and refuse attempts for which they lack a slot or memory.
 */
final class EngineSimulation {
    static final double WEIGHT_STORE_BYTES_PER_S = 1e9;

    private static final long TICK_INTERVAL_MS = 50;
    private static final long REPORT_INTERVAL_MS = 1_000;
    private static final long PROGRESS_INTERVAL_MS = 1_000;
    private static final long REFUSAL_DELAY_MS = 2;
    private static final long CRASH_DELAY_MS = 50;
    private static final double PROMPT_TOKEN_COST_RATIO = 1.0 / 20;

    final EnginePool pool;
    final DecisionCore core;
    final Map<String, RequestTrace> traces = new LinkedHashMap<>();
    final List<Double> tokenIntervalsMs = new ArrayList<>();
    final Set<Integer> failedEngines = new HashSet<>();

    /** Number of delivered tokens by second. */
    final TreeMap<Long, Double> tokensBySecond = new TreeMap<>();

    /** Start time of the latest attempt on each endpoint, in ms. */
    final Map<String, Long> lastAttemptStartMs = new HashMap<>();

    long nowMs;
    long retries;

    /** Fingerprint of the requests that crash the first endpoint of their chain. */
    String crashingFingerprint = "";

    /** Whether all engines refuse all attempts. */
    boolean isOutage;

    private final SplittableRandom random;
    private final int[] usedSlots;
    private final long[] usedKvBytes;
    private final Map<String, SimulatedAttempt> runningAttempts = new HashMap<>();
    private final SimulationClock clock = new SimulationClock();

    /** A running attempt with the arrival time of its first token and the interval between its tokens, in ms. */
    private record SimulatedAttempt(
            Action.StartAttempt start, RequestSpec spec, double firstTokenAtMs, double tokenIntervalMs) {
        int deliveredTokensAt(double atMs) {
            double tokens = atMs < firstTokenAtMs ? 0 : 1 + Math.floor((atMs - firstTokenAtMs) / tokenIntervalMs);
            return (int) Math.min(spec.maxNewTokens(), start.resumeFromToken() + tokens);
        }
    }

    EngineSimulation(EnginePool pool, DecisionCore core, FleetConfig config, long seed) {
        this.pool = pool;
        this.core = core;
        random = new SplittableRandom(seed);
        usedSlots = new int[pool.size()];
        usedKvBytes = new long[pool.size()];
        handle(new Event.ConfigChanged(config));
        pool.specs.forEach(spec -> handle(new Event.EndpointJoined(spec)));
        reportLoad();
        pool.links.forEach(this::handle);
        tick();
    }

    /** Schedules a task at the given virtual time. */
    void schedule(long atMs, Runnable task) {
        clock.schedule(atMs * 1_000, () -> {
            nowMs = atMs;
            task.run();
        });
    }

    void addArrival(RequestSpec spec) {
        schedule(spec.arrivedAtMs(), () -> {
            traces.put(spec.requestId(), new RequestTrace(spec));
            handle(new Event.RequestArrived(spec));
        });
    }

    /** Crashes an engine; the router detects the failure after the given delay. */
    void failEngine(int endpoint, long detectionDelayMs) {
        failedEngines.add(endpoint);
        for (SimulatedAttempt attempt : List.copyOf(runningAttempts.values())) {
            if (attempt.start.chain().uses(pool.id(endpoint))) {
                stopAttempt(attempt);
            }
        }
        schedule(nowMs + detectionDelayMs, () -> handle(new Event.EndpointRemoved(pool.id(endpoint), true)));
    }

    void runUntil(long untilMs) {
        clock.runUntil(untilMs * 1_000);
        nowMs = untilMs;
        runningAttempts.values().forEach(attempt -> updateDeliveredTokens(attempt, nowMs));
    }

    void handle(Event event) {
        for (Action action : core.handle(event, nowMs)) {
            if (action instanceof Action.StartAttempt start) {
                startAttempt(start);
            } else if (action instanceof Action.CancelAttempt cancel) {
                cancelAttempt(cancel);
            } else if (action instanceof Action.Refuse refuse) {
                recordOutcome(refuse.requestId(), action);
            } else if (action instanceof Action.Complete complete) {
                recordOutcome(complete.requestId(), action);
            } else if (action instanceof Action.CountRetry) {
                retries++;
            } else if (action instanceof Action.OrderEngine order) {
                executeOrder(order);
            }
        }
    }

    private void recordOutcome(String requestId, Action action) {
        RequestTrace trace = traces.get(requestId);
        if (trace.outcome != null) {
            throw new IllegalStateException(requestId + " ended twice: " + trace.outcome + ", " + action);
        }
        trace.outcome = action;
        trace.endedAtMs = nowMs;
    }

    private void tick() {
        handle(new Event.Tick());
        schedule(nowMs + TICK_INTERVAL_MS, this::tick);
    }

    private void reportLoad() {
        for (int i = 0; i < pool.size(); i++) {
            if (!failedEngines.contains(i)) {
                handle(new Event.LoadReported(pool.loadReport(i, usedSlots[i], usedKvBytes[i], nowMs)));
            }
        }
        schedule(nowMs + REPORT_INTERVAL_MS, this::reportLoad);
    }

    private void startAttempt(Action.StartAttempt start) {
        RequestSpec spec = traces.get(start.requestId()).spec;
        traces.get(start.requestId()).startedAttempts++;
        start.chain().stages().forEach(stage -> lastAttemptStartMs.put(stage.endpointId(), nowMs));
        String refusingEndpointId = findRefusingEndpoint(start.chain(), spec);
        if (refusingEndpointId != null) {
            schedule(
                    nowMs + REFUSAL_DELAY_MS,
                    () -> handle(attemptFailed(
                            start,
                            refusingEndpointId,
                            Reason.ENDPOINT_REFUSED,
                            Verdict.NOT_RUN,
                            start.resumeFromToken())));
            return;
        }
        double layersMs = 0;
        double linksMs = 0;
        int previous = -1;
        for (Stage stage : start.chain().stages()) {
            int i = pool.index(stage.endpointId());
            layersMs += stage.layers().size() * pool.layerTimesUs.get(i) / 1_000;
            linksMs += previous < 0 ? 0 : pool.linkDelayUs(previous, i) / 1_000;
            previous = i;
        }
        adjustUsage(start.chain(), spec, 1);
        double tokenIntervalMs = (layersMs + linksMs) * (0.95 + 0.1 * random.nextDouble());
        double promptTokens = spec.promptTokens() + start.resumeFromToken();
        double firstTokenAtMs = nowMs + layersMs * promptTokens * PROMPT_TOKEN_COST_RATIO + tokenIntervalMs;
        SimulatedAttempt attempt = new SimulatedAttempt(start, spec, firstTokenAtMs, tokenIntervalMs);
        runningAttempts.put(start.requestId(), attempt);
        schedule(
                nowMs + 1,
                () -> runIfActive(attempt, () -> handle(new Event.AttemptStarted(start.requestId(), start.epoch()))));
        if (spec.fingerprint().equals(crashingFingerprint)) {
            int firstEndpoint = pool.index(start.chain().firstStage().endpointId());
            schedule(nowMs + CRASH_DELAY_MS, () -> runIfActive(attempt, () -> failEngine(firstEndpoint, 1)));
            return;
        }
        scheduleAttemptEvents(attempt);
    }

    private void scheduleAttemptEvents(SimulatedAttempt attempt) {
        String requestId = attempt.start.requestId();
        int epoch = attempt.start.epoch();
        int tokens = attempt.spec.maxNewTokens();
        long firstTokenAtMs = (long) Math.ceil(attempt.firstTokenAtMs);
        double lastTokenAtMs =
                attempt.firstTokenAtMs + attempt.tokenIntervalMs * (tokens - attempt.start.resumeFromToken() - 1);
        schedule(
                firstTokenAtMs,
                () -> runIfActive(attempt, () -> {
                    RequestTrace trace = traces.get(requestId);
                    trace.firstTokenAtMs = trace.firstTokenAtMs < 0 ? nowMs : trace.firstTokenAtMs;
                    tokenIntervalsMs.add(attempt.tokenIntervalMs);
                    handle(new Event.FirstToken(requestId, epoch));
                }));
        for (long atMs = nowMs + PROGRESS_INTERVAL_MS; atMs < lastTokenAtMs; atMs += PROGRESS_INTERVAL_MS) {
            schedule(
                    atMs,
                    () -> runIfActive(attempt, () -> {
                        updateDeliveredTokens(attempt, nowMs);
                        handle(new Event.Progress(requestId, epoch, traces.get(requestId).deliveredTokens));
                    }));
        }
        schedule(
                (long) Math.ceil(Math.max(firstTokenAtMs, lastTokenAtMs)),
                () -> runIfActive(attempt, () -> {
                    stopAttempt(attempt);
                    traces.get(requestId).deliveredTokens = tokens;
                    for (Stage stage : attempt.start.chain().stages()) {
                        double layerTimeUs = pool.layerTimesUs.get(pool.index(stage.endpointId()));
                        handle(new Event.StageMeasured(stage.endpointId(), layerTimeUs));
                    }
                    handle(new Event.AttemptFinished(requestId, epoch, tokens));
                }));
    }

    private void runIfActive(SimulatedAttempt attempt, Runnable task) {
        if (runningAttempts.get(attempt.start.requestId()) == attempt) {
            task.run();
        }
    }

    /** Adds the tokens that were delivered up to the given time to the seconds in which they arrived. */
    private void updateDeliveredTokens(SimulatedAttempt attempt, double atMs) {
        RequestTrace trace = traces.get(attempt.start.requestId());
        int delivered = attempt.deliveredTokensAt(atMs);
        for (int token = Math.max(trace.deliveredTokens, attempt.start.resumeFromToken()); token < delivered; token++) {
            double tokenAtMs =
                    attempt.firstTokenAtMs + (token - attempt.start.resumeFromToken()) * attempt.tokenIntervalMs;
            tokensBySecond.merge((long) (tokenAtMs / 1_000), 1.0, Double::sum);
        }
        trace.deliveredTokens = Math.max(trace.deliveredTokens, delivered);
    }

    private void stopAttempt(SimulatedAttempt attempt) {
        updateDeliveredTokens(attempt, nowMs);
        runningAttempts.remove(attempt.start.requestId());
        adjustUsage(attempt.start.chain(), attempt.spec, -1);
    }

    private void cancelAttempt(Action.CancelAttempt cancel) {
        SimulatedAttempt attempt = runningAttempts.get(cancel.requestId());
        if (attempt != null && attempt.start.epoch() == cancel.epoch()) {
            stopAttempt(attempt);
            int delivered = traces.get(cancel.requestId()).deliveredTokens;
            String firstEndpointId = attempt.start.chain().firstStage().endpointId();
            schedule(
                    nowMs + 1,
                    () -> handle(attemptFailed(
                            attempt.start, firstEndpointId, cancel.reason(), Verdict.MAY_HAVE_RUN, delivered)));
        }
    }

    private static Event attemptFailed(
            Action.StartAttempt start, String endpointId, Reason reason, Verdict verdict, int deliveredTokens) {
        return new Event.AttemptFailed(start.requestId(), start.epoch(), endpointId, reason, verdict, deliveredTokens);
    }

    /** Returns the identifier of the first endpoint that refuses the attempt, or null if all accept it. */
    private String findRefusingEndpoint(Chain chain, RequestSpec spec) {
        for (Stage stage : chain.stages()) {
            int i = pool.index(stage.endpointId());
            boolean hasLayers =
                    pool.layerRanges.get(i) != null && pool.layerRanges.get(i).contains(stage.layers());
            boolean isFull = usedSlots[i] >= pool.specs.get(i).slots()
                    || usedKvBytes[i] + kvBytes(spec, stage) > pool.kvCapacityBytes.get(i);
            if (isOutage || failedEngines.contains(i) || !hasLayers || isFull) {
                return stage.endpointId();
            }
        }
        return null;
    }

    private void adjustUsage(Chain chain, RequestSpec spec, int sign) {
        for (Stage stage : chain.stages()) {
            int i = pool.index(stage.endpointId());
            usedSlots[i] += sign;
            usedKvBytes[i] += sign * kvBytes(spec, stage);
        }
    }

    private static long kvBytes(RequestSpec spec, Stage stage) {
        return spec.costTokens()
                * EnginePool.MODEL.kvBytesPerToken()
                / EnginePool.MODEL.layerCount()
                * stage.layers().size();
    }

    /** Loads layers at the throughput of the weight store; running attempts of the engine fail. */
    private void executeOrder(Action.OrderEngine order) {
        if (!(order.order() instanceof EngineOrder.LoadLayers load)) {
            return;
        }
        int i = pool.index(order.endpointId());
        double loadMs = load.layers().size() * EnginePool.MODEL.layerBytes() / WEIGHT_STORE_BYTES_PER_S * 1_000;
        pool.layerRanges.set(i, null);
        for (SimulatedAttempt attempt : List.copyOf(runningAttempts.values())) {
            if (attempt.start.chain().uses(order.endpointId())) {
                stopAttempt(attempt);
                int delivered = traces.get(attempt.start.requestId()).deliveredTokens;
                schedule(
                        nowMs + 1,
                        () -> handle(attemptFailed(
                                attempt.start,
                                order.endpointId(),
                                Reason.STAGE_DIED,
                                Verdict.MAY_HAVE_RUN,
                                delivered)));
            }
        }
        schedule(nowMs + 1, () -> handle(new Event.OrderAcknowledged(order.endpointId(), order.fencingToken(), true)));
        schedule(nowMs + (long) loadMs, () -> pool.layerRanges.set(i, load.layers()));
    }

    /** Returns the mean rate of delivered tokens between two times in seconds, in tokens/s. */
    double deliveredTokensPerS(long fromS, long toS) {
        return tokensBySecond.subMap(fromS, toS).values().stream()
                        .mapToDouble(Double::doubleValue)
                        .sum()
                / (toS - fromS);
    }
}

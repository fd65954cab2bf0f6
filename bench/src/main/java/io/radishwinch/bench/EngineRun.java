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
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A decision core and a queueing model of engines on a virtual clock.
 *
 * <p>An attempt holds one slot and its KV cache on every stage. A token takes the layer times of the stages and the
 * delays of the links between them, a prompt token a twentieth of the layer times. Engines report their load once a
 * second and refuse an attempt for which a slot or memory is missing.
 */
final class EngineRun {
    static final double WEIGHT_STORE_BYTES_PER_S = 1e9;

    private static final long TICK_MS = 50;
    private static final long REPORT_MS = 1_000;
    private static final long PROGRESS_MS = 1_000;
    private static final long REFUSAL_MS = 2;
    private static final long CRASH_AFTER_MS = 50;
    private static final double PROMPT_TOKEN_COST = 1.0 / 20;

    final EnginePool pool;
    final DecisionCore core;
    final Map<String, RequestTrace> traces = new LinkedHashMap<>();
    final List<Double> intervalsMs = new ArrayList<>();
    final Set<Integer> dead = new HashSet<>();

    /** Delivered tokens by second. */
    final TreeMap<Long, Double> tokensBySecond = new TreeMap<>();

    /** Time of the last attempt that was started on each endpoint, in ms. */
    final Map<String, Long> lastStartMs = new HashMap<>();

    long nowMs;
    long retries;

    /** Fingerprint of the request that crashes the first endpoint of its chain. */
    String crashingFingerprint = "";

    /** Whether all engines refuse all attempts. */
    boolean outage;

    private final SplittableRandom random;
    private final int[] used;
    private final long[] usedKv;
    private final Map<String, Attempt> running = new HashMap<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private long sequence;

    private record Due(long atMs, long sequence, Runnable task) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** A running attempt; the first token of the attempt arrives at {@code firstAtMs}. */
    private record Attempt(Action.StartAttempt start, RequestSpec spec, double firstAtMs, double tokenMs) {
        int deliveredAt(double atMs) {
            double tokens = atMs < firstAtMs ? 0 : 1 + Math.floor((atMs - firstAtMs) / tokenMs);
            return (int) Math.min(spec.maxNewTokens(), start.resumeFromToken() + tokens);
        }
    }

    EngineRun(EnginePool pool, DecisionCore core, FleetConfig config, long seed) {
        this.pool = pool;
        this.core = core;
        random = new SplittableRandom(seed);
        used = new int[pool.size()];
        usedKv = new long[pool.size()];
        handle(new Event.ConfigChanged(config));
        pool.specs.forEach(spec -> handle(new Event.EndpointJoined(spec)));
        report();
        pool.links.forEach(this::handle);
        tick();
    }

    // Input

    /** Runs a task at the given time. */
    void at(long atMs, Runnable task) {
        due.add(new Due(atMs, sequence++, task));
    }

    void arrive(RequestSpec spec) {
        at(spec.arrivedAtMs(), () -> {
            traces.put(spec.requestId(), new RequestTrace(spec));
            handle(new Event.RequestArrived(spec));
        });
    }

    /** Lets an engine die; the router notices after the given time. */
    void kill(int endpoint, long noticedAfterMs) {
        dead.add(endpoint);
        for (Attempt attempt : List.copyOf(running.values())) {
            if (attempt.start.chain().uses(pool.id(endpoint))) {
                stop(attempt);
            }
        }
        at(nowMs + noticedAfterMs, () -> handle(new Event.EndpointRemoved(pool.id(endpoint), true)));
    }

    void run(long untilMs) {
        while (!due.isEmpty() && due.peek().atMs() <= untilMs) {
            Due next = due.poll();
            nowMs = next.atMs();
            next.task().run();
        }
        nowMs = untilMs;
        running.values().forEach(attempt -> deliver(attempt, nowMs));
    }

    void handle(Event event) {
        for (Action action : core.handle(event, nowMs)) {
            if (action instanceof Action.StartAttempt start) {
                start(start);
            } else if (action instanceof Action.CancelAttempt cancel) {
                cancel(cancel);
            } else if (action instanceof Action.Refuse refuse) {
                end(refuse.requestId(), action);
            } else if (action instanceof Action.Complete complete) {
                end(complete.requestId(), action);
            } else if (action instanceof Action.CountRetry) {
                retries++;
            } else if (action instanceof Action.OrderEngine order) {
                order(order);
            }
        }
    }

    private void end(String requestId, Action action) {
        RequestTrace trace = traces.get(requestId);
        if (trace.end != null) {
            throw new IllegalStateException(requestId + " ended twice: " + trace.end + ", " + action);
        }
        trace.end = action;
        trace.endedAtMs = nowMs;
    }

    private void tick() {
        handle(new Event.Tick());
        at(nowMs + TICK_MS, this::tick);
    }

    private void report() {
        for (int i = 0; i < pool.size(); i++) {
            if (!dead.contains(i)) {
                handle(new Event.LoadReported(pool.report(i, used[i], usedKv[i], nowMs)));
            }
        }
        at(nowMs + REPORT_MS, this::report);
    }

    // Engines

    private void start(Action.StartAttempt start) {
        RequestSpec spec = traces.get(start.requestId()).spec;
        traces.get(start.requestId()).starts++;
        start.chain().stages().forEach(stage -> lastStartMs.put(stage.endpointId(), nowMs));
        String refusing = refusing(start.chain(), spec);
        if (refusing != null) {
            at(
                    nowMs + REFUSAL_MS,
                    () -> handle(failed(
                            start, refusing, Reason.ENDPOINT_REFUSED, Verdict.NOT_RUN, start.resumeFromToken())));
            return;
        }
        double layersMs = 0;
        double linksMs = 0;
        int last = -1;
        for (Stage stage : start.chain().stages()) {
            int i = pool.index(stage.endpointId());
            layersMs += stage.layers().size() * pool.layerTimesUs.get(i) / 1_000;
            linksMs += last < 0 ? 0 : pool.linkUs(last, i) / 1_000;
            last = i;
        }
        occupy(start.chain(), spec, 1);
        double tokenMs = (layersMs + linksMs) * (0.95 + 0.1 * random.nextDouble());
        double promptTokens = spec.promptTokens() + start.resumeFromToken();
        double firstAtMs = nowMs + layersMs * promptTokens * PROMPT_TOKEN_COST + tokenMs;
        Attempt attempt = new Attempt(start, spec, firstAtMs, tokenMs);
        running.put(start.requestId(), attempt);
        at(
                nowMs + 1,
                () -> ifRunning(attempt, () -> handle(new Event.AttemptStarted(start.requestId(), start.epoch()))));
        if (spec.fingerprint().equals(crashingFingerprint)) {
            int head = pool.index(start.chain().firstStage().endpointId());
            at(nowMs + CRASH_AFTER_MS, () -> ifRunning(attempt, () -> kill(head, 1)));
            return;
        }
        schedule(attempt);
    }

    private void schedule(Attempt attempt) {
        String requestId = attempt.start.requestId();
        int epoch = attempt.start.epoch();
        int tokens = attempt.spec.maxNewTokens();
        long firstAtMs = (long) Math.ceil(attempt.firstAtMs);
        double endAtMs = attempt.firstAtMs + attempt.tokenMs * (tokens - attempt.start.resumeFromToken() - 1);
        at(
                firstAtMs,
                () -> ifRunning(attempt, () -> {
                    RequestTrace trace = traces.get(requestId);
                    trace.firstTokenAtMs = trace.firstTokenAtMs < 0 ? nowMs : trace.firstTokenAtMs;
                    intervalsMs.add(attempt.tokenMs);
                    handle(new Event.FirstToken(requestId, epoch));
                }));
        for (long atMs = nowMs + PROGRESS_MS; atMs < endAtMs; atMs += PROGRESS_MS) {
            at(
                    atMs,
                    () -> ifRunning(attempt, () -> {
                        deliver(attempt, nowMs);
                        handle(new Event.Progress(requestId, epoch, traces.get(requestId).deliveredTokens));
                    }));
        }
        at(
                (long) Math.ceil(Math.max(firstAtMs, endAtMs)),
                () -> ifRunning(attempt, () -> {
                    stop(attempt);
                    traces.get(requestId).deliveredTokens = tokens;
                    for (Stage stage : attempt.start.chain().stages()) {
                        double layerTimeUs = pool.layerTimesUs.get(pool.index(stage.endpointId()));
                        handle(new Event.StageMeasured(stage.endpointId(), layerTimeUs));
                    }
                    handle(new Event.AttemptFinished(requestId, epoch, tokens));
                }));
    }

    private void ifRunning(Attempt attempt, Runnable task) {
        if (running.get(attempt.start.requestId()) == attempt) {
            task.run();
        }
    }

    /** Counts the tokens delivered up to a time, in the seconds in which they arrived. */
    private void deliver(Attempt attempt, double atMs) {
        RequestTrace trace = traces.get(attempt.start.requestId());
        int delivered = attempt.deliveredAt(atMs);
        for (int token = Math.max(trace.deliveredTokens, attempt.start.resumeFromToken()); token < delivered; token++) {
            double tokenAtMs = attempt.firstAtMs + (token - attempt.start.resumeFromToken()) * attempt.tokenMs;
            tokensBySecond.merge((long) (tokenAtMs / 1_000), 1.0, Double::sum);
        }
        trace.deliveredTokens = Math.max(trace.deliveredTokens, delivered);
    }

    private void stop(Attempt attempt) {
        deliver(attempt, nowMs);
        running.remove(attempt.start.requestId());
        occupy(attempt.start.chain(), attempt.spec, -1);
    }

    private void cancel(Action.CancelAttempt cancel) {
        Attempt attempt = running.get(cancel.requestId());
        if (attempt != null && attempt.start.epoch() == cancel.epoch()) {
            stop(attempt);
            int delivered = traces.get(cancel.requestId()).deliveredTokens;
            String head = attempt.start.chain().firstStage().endpointId();
            at(nowMs + 1, () -> handle(failed(attempt.start, head, cancel.reason(), Verdict.MAY_HAVE_RUN, delivered)));
        }
    }

    private static Event failed(
            Action.StartAttempt start, String endpointId, Reason reason, Verdict verdict, int deliveredTokens) {
        return new Event.AttemptFailed(start.requestId(), start.epoch(), endpointId, reason, verdict, deliveredTokens);
    }

    /** Returns an endpoint that refuses the attempt, or null. */
    private String refusing(Chain chain, RequestSpec spec) {
        for (Stage stage : chain.stages()) {
            int i = pool.index(stage.endpointId());
            boolean holds = pool.ranges.get(i) != null && pool.ranges.get(i).contains(stage.layers());
            boolean full =
                    used[i] >= pool.specs.get(i).slots() || usedKv[i] + kvBytes(spec, stage) > pool.kvBytes.get(i);
            if (outage || dead.contains(i) || !holds || full) {
                return stage.endpointId();
            }
        }
        return null;
    }

    private void occupy(Chain chain, RequestSpec spec, int sign) {
        for (Stage stage : chain.stages()) {
            int i = pool.index(stage.endpointId());
            used[i] += sign;
            usedKv[i] += sign * kvBytes(spec, stage);
        }
    }

    private static long kvBytes(RequestSpec spec, Stage stage) {
        return spec.costTokens()
                * EnginePool.MODEL.kvBytesPerToken()
                / EnginePool.MODEL.layerCount()
                * stage.layers().size();
    }

    /** Loads layers at the rate of the weight store; running attempts of the engine end. */
    private void order(Action.OrderEngine order) {
        if (!(order.order() instanceof EngineOrder.LoadLayers load)) {
            return;
        }
        int i = pool.index(order.endpointId());
        double loadMs = load.layers().size() * EnginePool.MODEL.layerBytes() / WEIGHT_STORE_BYTES_PER_S * 1_000;
        pool.ranges.set(i, null);
        for (Attempt attempt : List.copyOf(running.values())) {
            if (attempt.start.chain().uses(order.endpointId())) {
                stop(attempt);
                int delivered = traces.get(attempt.start.requestId()).deliveredTokens;
                at(
                        nowMs + 1,
                        () -> handle(failed(
                                attempt.start,
                                order.endpointId(),
                                Reason.STAGE_DIED,
                                Verdict.MAY_HAVE_RUN,
                                delivered)));
            }
        }
        at(nowMs + 1, () -> handle(new Event.OrderAcknowledged(order.endpointId(), order.fencingToken(), true)));
        at(nowMs + (long) loadMs, () -> pool.ranges.set(i, load.layers()));
    }

    /** Returns the delivered tokens/s in a period of whole seconds. */
    double tokensPerS(long fromS, long toS) {
        return tokensBySecond.subMap(fromS, toS).values().stream()
                        .mapToDouble(Double::doubleValue)
                        .sum()
                / (toS - fromS);
    }
}

package io.radishwinch.bench;

import io.radishwinch.bench.BatchedAttempt.StageWork;
import io.radishwinch.bench.BatchingPool.RequestKind;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.chain.EndpointTable;
import io.radishwinch.core.chain.LinkSettings;
import io.radishwinch.core.chain.TableEndpointDirectory;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.health.HealthSettings;
import io.radishwinch.core.impl.CoreSettings;
import io.radishwinch.core.impl.TableDecisionCore;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.EngineOrder.Handover;
import io.radishwinch.core.model.EnginePoolSpec;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Stage;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.core.placement.AlwaysGrantedLease;
import io.radishwinch.core.placement.LayoutPlanner;
import io.radishwinch.core.placement.LayoutSettings;
import io.radishwinch.core.quarantine.QuarantineSettings;
import io.radishwinch.core.queue.QueueSettings;
import io.radishwinch.core.retry.RetrySettings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Simulates a decision core that plans layers and chains for a {@link BatchingPool}, on a virtual clock.
 *
 * <p>An engine processes its waiting work in batched passes. Activations pass between the stages over links and,
 * between data centres, over one path that serves transfers one after another. An attempt uses the memory of its whole
 * context at every stage and a slot at the first one. Refused requests come back after the suggested wait.
 */
final class BatchingPoolSimulation {

    /** Time at which requests start to arrive; the first layout is loaded before, in ms. */
    static final long TRAFFIC_START_MS = 15_000;

    private static final long TICK_INTERVAL_MS = 50;
    private static final long REPORT_INTERVAL_MS = 1_000;
    private static final long PROGRESS_INTERVAL_MS = 1_000;
    private static final long RESPONSE_DELAY_MS = 1;
    private static final long STALL_MS = 2_000;
    private static final long CRASH_DETECTION_MS = 500;
    private static final long LIMIT_DETECTION_MS = 500;
    private static final int MAX_CLIENT_ATTEMPTS = 4;

    /** Ratio of the loading time before requests arrive, when engines do nothing else, to that afterwards. */
    private static final double INITIAL_LOAD_TIME_RATIO = 0.1;

    final SimulationClock clock = new SimulationClock();
    final Map<String, BatchingEngine> engines = new LinkedHashMap<>();
    final List<ClientRequest> requests = new ArrayList<>();
    final List<LayerCapacitySample> samples = new ArrayList<>();
    final BatchingPool pool;

    /** Time for which transfers have occupied the path between data centres or will occupy it, in us. */
    double pathUseUs;

    private final EnginePoolSpec poolSpec;
    private final TableDecisionCore core;
    private final SplittableRandom random;
    private final Map<String, ClientRequest> requestsById = new HashMap<>();
    private final Map<String, BatchedAttempt> runningAttempts = new LinkedHashMap<>();
    private long pathFreeAtUs;
    private int activeLoads;

    BatchingPoolSimulation(BatchingPool pool, PoolVariant variant, long seed) {
        this.pool = pool;
        poolSpec = pool.spec();
        random = new SplittableRandom(seed);
        EndpointTable table = new EndpointTable(new LinkSettings("", 500, 500, 4_000, false));
        LayoutPlanner placement =
                new LayoutPlanner(LayoutSettings.defaults(), variant.layout(), new AlwaysGrantedLease());
        HealthSettings health = HealthSettings.defaults().withSlowStartMs(0);
        core = TableDecisionCore.create(
                coreSettings(seed),
                new TableEndpointDirectory(table, health, placement),
                variant.planner().apply(table, seed));
        pool.engines()
                .forEach(spec -> engines.put(
                        spec.id(), new BatchingEngine(spec, pool.accelerators().get(spec.acceleratorKind()))));
        handle(new Event.ConfigChanged(config()));
        handle(new Event.RouterCountChanged(1));
        pool.engines().forEach(spec -> handle(new Event.EndpointJoined(spec)));
        reportLoad();
        tick();
    }

    /** Returns the settings of a router for engines that are reloaded while callers retry. */
    private static CoreSettings coreSettings(long seed) {
        return CoreSettings.defaults()
                .withSeed(seed)
                .withQueue(QueueSettings.defaults().withCapacity(256))
                .withRetry(RetrySettings.defaults()
                        .withMaxAttempts(6)
                        .withOutageFailures(60)
                        .withBackoff(10, 200))
                .withRetryAfter(2_000, 5_000)
                .withQuarantine(QuarantineSettings.defaults()
                        .withTimes(60_000, 60_000, 60_000)
                        .withRestartDelays(0, 0)
                        .withoutObservation()
                        .withMaxCrashes(3))
                .withInitialAllotmentShare(1)
                .withStreamRerouting()
                .withUncoveredGraceMs(400);
    }

    private FleetConfig config() {
        Map<String, Contract> contracts = new HashMap<>();
        pool.requestKinds().forEach(kind -> contracts.put(kind.caller(), Simulations.contract(kind.caller(), 0)));
        String model = BatchingPool.MODEL.name();
        return new FleetConfig(1, contracts, Map.of(model, BatchingPool.MODEL), Map.of(), Map.of(model, poolSpec));
    }

    /**
     * Adds Poisson arrivals of all kinds of requests, whose sizes are exponentially distributed up to 4 times the mean.
     */
    void addArrivals(double requestsPerS, long fromMs, long toMs) {
        double atMs = fromMs;
        while (true) {
            atMs -= Math.log(1 - random.nextDouble()) * 1_000 / requestsPerS;
            if (atMs >= toMs) {
                return;
            }
            double draw = random.nextDouble();
            int k = 0;
            while (k < pool.requestKinds().size() - 1
                    && draw >= pool.requestKinds().get(k).share()) {
                draw -= pool.requestKinds().get(k++).share();
            }
            RequestKind kind = pool.requestKinds().get(k);
            ClientRequest request = new ClientRequest(requests.size(), kind, (long) atMs);
            requests.add(request);
            int promptTokens = randomSize(kind.meanPromptTokens());
            int newTokens = randomSize(kind.meanNewTokens());
            clock.schedule(request.arrivedAtMs * 1_000, () -> arrive(request, promptTokens, newTokens));
        }
    }

    private int randomSize(int mean) {
        return (int) Math.max(8, mean * Math.min(4, -Math.log(1 - random.nextDouble())));
    }

    private void arrive(ClientRequest request, int promptTokens, int newTokens) {
        request.clientAttempts++;
        String id = request.number + "-" + request.clientAttempts;
        RequestSpec spec = new RequestSpec(
                id,
                request.kind.caller(),
                request.kind.rank(),
                BatchingPool.MODEL.name(),
                promptTokens,
                newTokens,
                clock.nowMs(),
                request.arrivedAtMs + request.kind.timeoutMs(),
                "r" + request.number,
                List.of(),
                true);
        request.trace = new RequestTrace(spec);
        requestsById.put(id, request);
        handle(new Event.RequestArrived(spec));
    }

    private void retryLater(ClientRequest request, Action.Refuse refuse) {
        RequestSpec spec = request.trace.spec;
        boolean canRetry = refuse.verdict() == Verdict.NOT_RUN
                && refuse.retryAfterMs() > 0
                && request.clientAttempts < MAX_CLIENT_ATTEMPTS
                && clock.nowMs() + refuse.retryAfterMs() < spec.deadlineMs();
        if (canRetry) {
            request.refusedAttempts++;
            scheduleIn(refuse.retryAfterMs(), () -> arrive(request, spec.promptTokens(), spec.maxNewTokens()));
        }
    }

    /** Crashes an engine, which joins again without layers after the given time. */
    void crash(String engineId, long downMs) {
        BatchingEngine engine = engines.get(engineId);
        activeLoads -= engine.isLoading ? 1 : 0;
        engine.crash();
        for (BatchedAttempt attempt : attemptsOn(engineId)) {
            attempt.interruptions++;
            boolean isFirst = attempt.chain.firstStage().endpointId().equals(engineId);
            int interruption = attempt.interruptions;
            scheduleIn(isFirst ? RESPONSE_DELAY_MS : STALL_MS, () -> {
                if (isRunning(attempt) && attempt.interruptions == interruption) {
                    fail(attempt, engineId, Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
                }
            });
        }
        scheduleIn(CRASH_DETECTION_MS, () -> handle(new Event.EndpointRemoved(engineId, true)));
        scheduleIn(Math.max(downMs, CRASH_DETECTION_MS + 1), () -> {
            engine.isAlive = true;
            handle(new Event.EndpointJoined(engine.spec));
        });
    }

    /** Limits the requests/s that an engine takes as the first stage of a chain for the given time. */
    void limitRequests(String engineId, double requestsPerS, long forMs) {
        setRequestLimit(engineId, requestsPerS);
        scheduleIn(forMs, () -> setRequestLimit(engineId, Double.POSITIVE_INFINITY));
    }

    private void setRequestLimit(String engineId, double requestsPerS) {
        engines.get(engineId).setRequestLimit(requestsPerS, clock.nowMs());
        scheduleIn(LIMIT_DETECTION_MS, () -> handle(new Event.RequestShareChanged(engineId, requestsPerS)));
    }

    void scheduleIn(long delayMs, Runnable task) {
        clock.schedule(clock.nowUs() + delayMs * 1_000, task);
    }

    void runUntil(long untilMs) {
        clock.runUntil(untilMs * 1_000);
    }

    /** Returns the throughput bound that the core estimates for the requests so far, in tokens/s. */
    double throughputBoundTokensPerS() {
        return core.view().pools().get(0).boundTokensPerS();
    }

    private void handle(Event event) {
        for (Action action : core.handle(event, clock.nowMs())) {
            if (action instanceof Action.StartAttempt start) {
                startAttempt(start);
            } else if (action instanceof Action.RerouteAttempt reroute) {
                reroute(reroute);
            } else if (action instanceof Action.CancelAttempt cancel) {
                BatchedAttempt attempt = runningAttempts.get(cancel.requestId());
                if (attempt != null && attempt.start.epoch() == cancel.epoch()) {
                    String first = attempt.start.chain().firstStage().endpointId();
                    fail(attempt, first, cancel.reason(), Verdict.MAY_HAVE_RUN);
                }
            } else if (action instanceof Action.Refuse refuse) {
                recordOutcome(refuse.requestId(), refuse);
            } else if (action instanceof Action.Complete complete) {
                recordOutcome(complete.requestId(), complete);
            } else if (action instanceof Action.OrderEngine order
                    && order.order() instanceof EngineOrder.LoadLayers load) {
                executeOrder(order, load);
            }
        }
    }

    private void recordOutcome(String requestId, Action outcome) {
        ClientRequest request = requestsById.get(requestId);
        request.trace.outcome = outcome;
        request.trace.endedAtMs = clock.nowMs();
        BatchedAttempt attempt = runningAttempts.get(requestId);
        if (attempt != null) {
            stop(attempt);
        }
        if (outcome instanceof Action.Refuse refuse) {
            retryLater(request, refuse);
        }
    }

    private void tick() {
        handle(new Event.Tick());
        scheduleIn(TICK_INTERVAL_MS, this::tick);
    }

    private void reportLoad() {
        for (BatchingEngine engine : engines.values()) {
            if (engine.isAlive) {
                double layerTimeUs = poolSpec.layerTimeUs(engine.spec.acceleratorKind(), BatchingPool.MODEL);
                handle(new Event.LoadReported(engine.loadReport(layerTimeUs, clock.nowMs())));
            }
        }
        samples.add(LayerCapacitySample.take(clock.nowMs(), engines.values(), poolSpec, pool.meanServiceS()));
        scheduleIn(REPORT_INTERVAL_MS, this::reportLoad);
    }

    private void startAttempt(Action.StartAttempt start) {
        ClientRequest request = requestsById.get(start.requestId());
        request.trace.startedAttempts++;
        BatchedAttempt attempt = new BatchedAttempt(start, request.trace.spec);
        runningAttempts.put(start.requestId(), attempt);
        String refusing = findRefusingEngine(attempt.chain.stages(), attempt.spec);
        BatchingEngine first = engines.get(start.chain().firstStage().endpointId());
        boolean isEntryRefused = refusing == null
                && (first.runningEntries >= first.spec.slots() || !first.tryTakeRequest(clock.nowMs()));
        if (refusing != null || isEntryRefused) {
            String failed = isEntryRefused ? first.spec.id() : refusing;
            boolean isDead = !engines.get(failed).isAlive;
            long delayMs = isDead && !failed.equals(first.spec.id()) ? STALL_MS : RESPONSE_DELAY_MS;
            attempt.chain = null;
            scheduleIn(delayMs, () -> {
                if (isRunning(attempt)) {
                    fail(attempt, failed, isDead ? Reason.STAGE_DIED : Reason.ENDPOINT_REFUSED, Verdict.NOT_RUN);
                }
            });
            return;
        }
        attempt.lastProgressAtUs = clock.nowUs();
        attempt.chain.stages().forEach(stage -> adjustUsage(stage, attempt.spec, 1));
        first.runningEntries++;
        first.acceptedEntries++;
        scheduleIn(RESPONSE_DELAY_MS, () -> {
            if (isRunning(attempt)) {
                handle(new Event.AttemptStarted(start.requestId(), start.epoch()));
            }
        });
        enqueuePrompt(attempt);
    }

    private void enqueuePrompt(BatchedAttempt attempt) {
        int lastStage = attempt.chain.stages().size() - 1;
        enqueue(new StageWork(attempt, 0, attempt.contextTokens(), lastStage, false));
    }

    private boolean isRunning(BatchedAttempt attempt) {
        return runningAttempts.get(attempt.start.requestId()) == attempt;
    }

    /** Returns the first engine that cannot run its stage, or null if all can. */
    private String findRefusingEngine(List<Stage> stages, RequestSpec spec) {
        for (Stage stage : stages) {
            BatchingEngine engine = engines.get(stage.endpointId());
            boolean hasMemory = engine.usedKvBytes + kvBytes(spec, stage) <= engine.kvCapacityBytes();
            if (!engine.holds(stage.layers()) || !hasMemory) {
                return stage.endpointId();
            }
        }
        return null;
    }

    private static long kvBytes(RequestSpec spec, Stage stage) {
        long perLayer = BatchingPool.MODEL.kvBytesPerToken() / BatchingPool.MODEL.layerCount();
        return spec.costTokens() * perLayer * stage.layers().size();
    }

    private void adjustUsage(Stage stage, RequestSpec spec, int sign) {
        BatchingEngine engine = engines.get(stage.endpointId());
        engine.usedKvBytes += sign * kvBytes(spec, stage);
        engine.runningAttempts += sign;
    }

    private void enqueue(StageWork work) {
        BatchingEngine engine =
                engines.get(work.attempt.chain.stages().get(work.stage).endpointId());
        if (engine.isAlive) {
            engine.add(work);
            startPass(engine);
        }
    }

    private void startPass(BatchingEngine engine) {
        if (engine.isInPass || !engine.isAlive) {
            return;
        }
        BatchingEngine.Pass pass = engine.startPass(pool.times());
        if (pass == null) {
            return;
        }
        int crashes = engine.crashes;
        clock.schedule(clock.nowUs() + (long) Math.ceil(pass.durationUs()), () -> {
            if (engine.crashes == crashes) {
                engine.isInPass = false;
                pass.completed().forEach(this::forward);
                startPass(engine);
            }
        });
    }

    /** Sends completed work to the next stage, or the generated tokens of the last stage to the first one. */
    private void forward(StageWork work) {
        if (work.isDiscarded()) {
            return;
        }
        List<Stage> stages = work.attempt.chain.stages();
        int tokens = work.isPrompt() ? work.promptTokens : pool.times().stepsPerPass();
        boolean isLast = work.stage == (work.isPrompt() ? work.lastPromptStage : stages.size() - 1);
        String from = stages.get(work.stage).endpointId();
        String to = stages.get(isLast ? 0 : work.stage + 1).endpointId();
        boolean isCross = !dataCentre(from).equals(dataCentre(to));
        double delayUs = isCross ? pool.times().crossDataCentreDelayUs() * (work.isPrompt() ? 1 : tokens) : 0;
        if (!isLast) {
            delayUs += pool.times().linkTransferUs(tokens);
            if (isCross) {
                double transferUs = pool.times().crossDataCentreTransferUs(tokens);
                pathUseUs += transferUs;
                pathFreeAtUs = Math.max(pathFreeAtUs, clock.nowUs()) + (long) transferUs;
                delayUs += pathFreeAtUs - clock.nowUs();
            }
        }
        clock.schedule(clock.nowUs() + (long) delayUs, () -> {
            if (work.isDiscarded()) {
                return;
            }
            if (isLast) {
                completeRound(work);
            } else {
                enqueue(work.atNextStage());
            }
        });
    }

    private String dataCentre(String engineId) {
        return engines.get(engineId).spec.dataCentre();
    }

    private void completeRound(StageWork work) {
        BatchedAttempt attempt = work.attempt;
        String requestId = attempt.start.requestId();
        int epoch = attempt.start.epoch();
        if (!work.isReplay) {
            boolean isFirst = work.isPrompt();
            int tokens = isFirst ? 1 : pool.times().stepsPerPass();
            attempt.deliveredTokens = Math.min(attempt.spec.maxNewTokens(), attempt.deliveredTokens + tokens);
            requestsById.get(requestId).recordTokens(attempt.deliveredTokens, clock.nowMs());
            if (isFirst) {
                handle(new Event.FirstToken(requestId, epoch));
            } else if (clock.nowUs() - attempt.lastProgressAtUs >= PROGRESS_INTERVAL_MS * 1_000) {
                attempt.lastProgressAtUs = clock.nowUs();
                handle(new Event.Progress(requestId, epoch, attempt.deliveredTokens));
            }
        }
        if (!isRunning(attempt) || work.isDiscarded()) {
            return;
        }
        if (attempt.deliveredTokens >= attempt.spec.maxNewTokens()) {
            stop(attempt);
            handle(new Event.AttemptFinished(requestId, epoch, attempt.deliveredTokens));
        } else {
            enqueue(new StageWork(attempt, 0, 0, 0, false));
        }
    }

    /** Moves a stream to a chain with the same first stage; its new stages process the tokens so far again. */
    private void reroute(Action.RerouteAttempt reroute) {
        BatchedAttempt attempt = runningAttempts.get(reroute.requestId());
        if (attempt == null || attempt.chain == null || attempt.start.epoch() != reroute.epoch()) {
            return;
        }
        Chain old = attempt.chain;
        List<Stage> added = reroute.chain().stages().stream()
                .filter(stage -> !old.stages().contains(stage))
                .toList();
        boolean isAccepted = findRefusingEngine(added, attempt.spec) == null
                && reroute.chain().stages().stream().allMatch(stage -> engines.get(stage.endpointId()).isAlive);
        if (isAccepted) {
            attempt.interruptions++;
            old.stages().stream()
                    .filter(stage -> !reroute.chain().stages().contains(stage))
                    .forEach(stage -> adjustUsage(stage, attempt.spec, -1));
            added.forEach(stage -> adjustUsage(stage, attempt.spec, 1));
            attempt.chain = reroute.chain();
            if (attempt.deliveredTokens == attempt.start.resumeFromToken()) {
                enqueuePrompt(attempt);
            } else {
                int first = attempt.chain.stages().indexOf(added.get(0));
                int last = first + added.size() - 1;
                enqueue(new StageWork(attempt, first, attempt.contextTokens(), last, true));
            }
        }
        scheduleIn(
                RESPONSE_DELAY_MS,
                () -> handle(new Event.AttemptRerouted(reroute.requestId(), reroute.epoch(), isAccepted)));
    }

    private void fail(BatchedAttempt attempt, String engineId, Reason reason, Verdict verdict) {
        stop(attempt);
        Event failed = new Event.AttemptFailed(
                attempt.start.requestId(), attempt.start.epoch(), engineId, reason, verdict, attempt.deliveredTokens);
        scheduleIn(RESPONSE_DELAY_MS, () -> handle(failed));
    }

    private void stop(BatchedAttempt attempt) {
        attempt.interruptions++;
        runningAttempts.remove(attempt.start.requestId());
        if (attempt.chain == null) {
            return;
        }
        attempt.chain.stages().forEach(stage -> adjustUsage(stage, attempt.spec, -1));
        engines.get(attempt.chain.firstStage().endpointId()).runningEntries--;
        attempt.chain.stages().forEach(stage -> continueOrder(engines.get(stage.endpointId())));
    }

    private Collection<BatchedAttempt> attemptsOn(String engineId) {
        return runningAttempts.values().stream()
                .filter(attempt -> attempt.chain != null && attempt.chain.uses(engineId))
                .toList();
    }

    /** Releases the layers that an order takes away and loads the others once no attempt uses the released ones. */
    private void executeOrder(Action.OrderEngine order, EngineOrder.LoadLayers load) {
        BatchingEngine engine = engines.get(order.endpointId());
        boolean isAccepted = engine.isAlive && engine.orderedLayers == null;
        if (isAccepted) {
            LayerRange kept = overlap(engine.layers, load.layers());
            engine.layers = kept;
            engine.orderedLayers = load.layers();
            if (load.handover() == Handover.CUT) {
                attemptsOnReleasedLayers(engine).forEach(attempt -> {
                    if (isRunning(attempt)) {
                        fail(attempt, engine.spec.id(), Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
                    }
                });
            }
            continueOrder(engine);
        }
        scheduleIn(
                RESPONSE_DELAY_MS,
                () -> handle(new Event.OrderAcknowledged(order.endpointId(), order.fencingToken(), isAccepted)));
    }

    private List<BatchedAttempt> attemptsOnReleasedLayers(BatchingEngine engine) {
        return attemptsOn(engine.spec.id()).stream()
                .filter(attempt -> attempt.chain.stages().stream()
                        .anyMatch(stage -> stage.endpointId().equals(engine.spec.id())
                                && (engine.layers == null || !engine.layers.contains(stage.layers()))))
                .toList();
    }

    private void continueOrder(BatchingEngine engine) {
        if (engine.orderedLayers == null
                || engine.isLoading
                || !attemptsOnReleasedLayers(engine).isEmpty()) {
            return;
        }
        engine.isLoading = true;
        activeLoads++;
        int loaded = engine.orderedLayers.size() - (engine.layers == null ? 0 : engine.layers.size());
        double contention = Math.max(1, (double) activeLoads / BatchingPool.LOADS_AT_ONCE);
        double timeRatio = clock.nowMs() < TRAFFIC_START_MS ? INITIAL_LOAD_TIME_RATIO : 1;
        double loadMs = BatchingPool.LOAD_MS * timeRatio * contention * loaded / BatchingPool.MODEL.layerCount();
        int crashes = engine.crashes;
        scheduleIn((long) loadMs, () -> {
            if (engine.crashes == crashes) {
                activeLoads--;
                engine.isLoading = false;
                engine.layers = engine.orderedLayers;
                engine.orderedLayers = null;
            }
        });
    }

    private static LayerRange overlap(LayerRange one, LayerRange other) {
        if (one == null || one.end() <= other.first() || other.end() <= one.first()) {
            return null;
        }
        return new LayerRange(Math.max(one.first(), other.first()), Math.min(one.end(), other.end()));
    }
}

package io.radishwinch.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.standins.StageAttempt.StageRef;
import io.radishwinch.standins.StageAttempt.Step;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Runs the attempts of an engine stand-in, as the first stage or as a later stage of their chains.
 *
 * <p>Not thread-safe; all methods are called on the event loop of the engine.
 */
final class EngineAttempts implements SimulatedAccelerator.EngineCallbacks {
    static final Buffer KEEP_ALIVE_LINE = Buffer.buffer("\n");
    private static final int MAX_LATER_STAGE_ATTEMPTS = 10_000;

    /** Time without a token after which the first stage checks the health of the later stages, in ms. */
    private static final long STAGE_RESPONSE_TIMEOUT_MS = 500;

    private static final long HEALTH_CHECK_TIMEOUT_MS = 300;

    private final Vertx vertx;
    private final HttpClient client;
    private final EngineConfig config;
    private final ExecutionLedger ledger;
    private final Runnable crashAction;
    private final SimulatedAccelerator accelerator;
    private final KvStore kvStore;
    private final PrefixCache prefixCache;
    private final KvTransfer kvTransfer;
    private final Map<String, StageAttempt> attempts = new LinkedHashMap<>();
    private final PriorityQueue<StageAttempt> queue =
            new PriorityQueue<>(Comparator.<StageAttempt>comparingInt(attempt -> attempt.priority)
                    .thenComparingLong(attempt -> attempt.arrivalOrder));
    private final Set<String> checkedEndpoints = new HashSet<>();
    private final Map<String, StageLink> links = new HashMap<>();
    private final Map<String, EngineConfig.Link> linkOverrides = new HashMap<>();
    private String heldModel = "";
    private LayerRange heldLayers;
    private double slowFactor = 1;
    private String crashMarker;
    private AttemptObserver observer = event -> {};
    private long nextArrivalOrder;
    private long startedCount;
    private long cancelledCount;
    private int runningCount;

    EngineAttempts(Vertx vertx, HttpClient client, EngineConfig config, ExecutionLedger ledger, Runnable crashAction) {
        this.vertx = vertx;
        this.client = client;
        this.config = config;
        this.ledger = ledger;
        this.crashAction = crashAction;
        this.accelerator = new SimulatedAccelerator(vertx, this);
        this.kvStore = new KvStore(config.kvTokens());
        this.prefixCache = new PrefixCache(config.cacheBlocks(), config.timing());
        this.kvTransfer = new KvTransfer(client, kvStore);
    }

    KvStore kvStore() {
        return kvStore;
    }

    KvTransfer kvTransfer() {
        return kvTransfer;
    }

    PrefixCache prefixCache() {
        return prefixCache;
    }

    int runningCount() {
        return runningCount;
    }

    int queuedCount() {
        return queue.size();
    }

    long startedCount() {
        return startedCount;
    }

    long cancelledCount() {
        return cancelledCount;
    }

    /** Returns the links by endpoint: those of the configuration with the overrides of {@link #setLink}. */
    Map<String, EngineConfig.Link> links() {
        Map<String, EngineConfig.Link> all = new HashMap<>(config.links());
        all.putAll(linkOverrides);
        return all;
    }

    void setLink(String endpoint, EngineConfig.Link link) {
        linkOverrides.put(endpoint, link);
        if (links.containsKey(endpoint)) {
            links.get(endpoint).setLink(link);
        }
    }

    void setSlowFactor(double newSlowFactor) {
        slowFactor = newSlowFactor;
    }

    void setCrashMarker(String newCrashMarker) {
        crashMarker = newCrashMarker;
    }

    void setObserver(AttemptObserver newObserver) {
        observer = newObserver;
    }

    void observe(StageAttempt attempt, AttemptEvent.Kind kind) {
        observer.onEvent(new AttemptEvent(
                System.currentTimeMillis(), config.id(), attempt.requestId, attempt.epoch, attempt.prompt, kind));
    }

    void setPaused(boolean newPaused) {
        accelerator.setPaused(newPaused);
    }

    boolean isQueueFull() {
        return runningCount >= config.slots() && queue.size() >= config.slots();
    }

    void clear() {
        attempts.values().forEach(attempt -> attempt.isClosed = true);
        attempts.clear();
        queue.clear();
        runningCount = 0;
        accelerator.clear();
        links.values().forEach(StageLink::close);
        links.clear();
        kvStore.clear();
        prefixCache.clear();
    }

    /**
     * Queues an attempt for its first stage.
     *
     * <p>An earlier attempt with the same key ends with an error.
     *
     * @param response response to the router, which is sent with status 200 and a chunked body
     */
    void enqueueFirstStage(StageAttempt attempt, HttpServerResponse response) {
        StageAttempt earlier = attempts.get(attempt.key);
        if (earlier != null) {
            endAttempt(earlier, errorLine(earlier, config.id(), "may-have-run", "attempt was sent again"));
        }
        attempt.response = response;
        attempt.arrivalOrder = nextArrivalOrder++;
        attempts.put(attempt.key, attempt);
        queue.add(attempt);
        admitQueued();
    }

    /** Cancels the attempt and returns whether it was queued or running with this engine as its first stage. */
    boolean cancel(String key) {
        StageAttempt attempt = attempts.get(key);
        if (attempt == null || !attempt.isFirst()) {
            return false;
        }
        cancelledCount++;
        endAttempt(
                attempt, errorLine(attempt, config.id(), attempt.isAdmitted ? "may-have-run" : "not-run", "cancelled"));
        return true;
    }

    /** Cancels an attempt whose router closed the connection. */
    void onConnectionClosed(StageAttempt attempt) {
        if (!attempt.isClosed) {
            cancelledCount++;
            endAttempt(attempt, null);
        }
    }

    /** Sends a keep-alive line on each stream, ends expired attempts and checks the health of unresponsive stages. */
    void checkAttempts(long nowMs) {
        for (StageAttempt attempt : List.copyOf(attempts.values())) {
            if (attempt.isFirst() && nowMs > attempt.deadlineAtMs) {
                String verdict = attempt.isAdmitted ? "may-have-run" : "not-run";
                endAttempt(attempt, errorLine(attempt, config.id(), verdict, "deadline passed"));
            } else if (attempt.isFirst() && !attempt.response.writeQueueFull()) {
                attempt.response.write(KEEP_ALIVE_LINE);
            }
            if (attempt.isFirst()
                    && attempt.isWaitingForLaterStages()
                    && nowMs - attempt.stepStartedAtMs > STAGE_RESPONSE_TIMEOUT_MS) {
                attempt.stages.subList(1, attempt.stages.size()).forEach(this::checkHealth);
            }
        }
    }

    /**
     * Requests the load report of a stage and fails the attempts that wait for it if there is no response.
     *
     * <p>Detects a stage that hangs with its connections open.
     */
    private void checkHealth(StageRef stage) {
        if (!checkedEndpoints.add(stage.endpoint())) {
            return;
        }
        RequestOptions target = new RequestOptions()
                .setHost(stage.host())
                .setPort(stage.port())
                .setURI("/v1/load")
                .setTimeout(HEALTH_CHECK_TIMEOUT_MS);
        client.request(target)
                .compose(request -> request.send())
                .compose(response -> response.body())
                .onComplete(result -> {
                    checkedEndpoints.remove(stage.endpoint());
                    if (result.failed()) {
                        failAttemptsWaitingFor(stage.endpoint());
                    }
                });
    }

    private void failAttemptsWaitingFor(String endpoint) {
        for (StageAttempt attempt : List.copyOf(attempts.values())) {
            if (attempt.isFirst() && attempt.isWaitingForLaterStages() && attempt.usesEndpoint(endpoint)) {
                endAttempt(attempt, errorLine(attempt, endpoint, "may-have-run", "stage does not answer"));
            }
        }
    }

    private void admitQueued() {
        while (runningCount < config.slots() && !queue.isEmpty()) {
            StageAttempt attempt = queue.remove();
            attempt.isAdmitted = true;
            runningCount++;
            attempt.response.write(Json.line(streamLine(attempt, "accepted").put("endpoint", config.id())));
            if (attempt.resumeFrom >= attempt.maxNewTokens) {
                completeAttempt(attempt, attempt.resumeFrom);
                continue;
            }
            startStage(attempt);
            enqueueStep(attempt, attempt.resumeFrom, "");
        }
    }

    /** Opens the attempt on the next stage and imports the KV cache of this stage. */
    private void startStage(StageAttempt attempt) {
        startedCount++;
        if (!attempt.isLast()) {
            linkTo(attempt.nextStage()).send(Json.line(attempt.openMessage()));
        }
        LayerRange layers = layersOf(attempt);
        boolean isHeld = kvStore.heldTokens(attempt.requestId, layers) >= attempt.promptTokens;
        List<StageRef> sources = attempt.stage().kvSources();
        if (isHeld || sources.isEmpty()) {
            attempt.isReady = true;
            return;
        }
        kvTransfer
                .fetchFromAny(sources, attempt.requestId, attempt.model, layers)
                .onComplete(ignored -> {
                    attempt.isReady = true;
                    if (attempt.queuedStep != null && !attempt.isClosed) {
                        accelerator.add(attempt.queuedStep);
                        attempt.queuedStep = null;
                    }
                });
    }

    private void enqueueStep(StageAttempt attempt, int sequence, String trace) {
        attempt.stepSequence = sequence;
        attempt.stepStartedAtMs = System.currentTimeMillis();
        if (attempt.isReady) {
            accelerator.add(attempt, sequence, trace);
        } else {
            attempt.queuedStep = new Step(attempt, sequence, trace, 0);
        }
    }

    private void writeToken(StageAttempt attempt, int sequence, String trace, String text) {
        if (attempt.isClosed || sequence != attempt.stepSequence) {
            return;
        }
        HttpServerResponse response = attempt.response;
        response.write(TokenLine.of(attempt, sequence, trace, text));
        int next = sequence + 1;
        if (next >= attempt.maxNewTokens) {
            completeAttempt(attempt, next);
        } else if (response.writeQueueFull()) {
            attempt.isStalled = true;
            response.drainHandler(ignored -> {
                if (attempt.isStalled && !attempt.isClosed) {
                    attempt.isStalled = false;
                    enqueueStep(attempt, next, "");
                }
            });
        } else {
            enqueueStep(attempt, next, "");
        }
    }

    private void completeAttempt(StageAttempt attempt, int tokens) {
        observe(attempt, AttemptEvent.Kind.COMPLETED);
        endAttempt(
                attempt,
                Json.line(streamLine(attempt, "done").put("tokens", tokens).put("finish", "length")));
    }

    private static ObjectNode streamLine(StageAttempt attempt, String type) {
        return Json.object().put("type", type).put("request", attempt.requestId).put("epoch", attempt.epoch);
    }

    private static Buffer errorLine(StageAttempt attempt, String endpoint, String verdict, String detail) {
        return Json.line(streamLine(attempt, "error")
                .put("endpoint", endpoint)
                .put("verdict", verdict)
                .put("detail", detail));
    }

    @Override
    public int slots() {
        return config.slots();
    }

    @Override
    public double layerTimeUs() {
        return config.layerTimeUs() * slowFactor;
    }

    @Override
    public int takePrefillTokens(StageAttempt attempt) {
        if (attempt.isPrefilled) {
            return 0;
        }
        attempt.isPrefilled = true;
        int totalTokens = attempt.promptTokens + attempt.resumeFrom;
        int reusedTokens = Math.min(totalTokens, kvStore.heldTokens(attempt.requestId, layersOf(attempt)));
        int blocks = attempt.prefixHashes.size();
        if (blocks > 0) {
            int cachedBlocks = prefixCache.lookUpAndAdd(attempt.prefixHashes, System.currentTimeMillis());
            reusedTokens = Math.max(reusedTokens, (int) ((long) attempt.promptTokens * cachedBlocks / blocks));
        }
        return totalTokens - reusedTokens;
    }

    @Override
    public void onStepExecuted(Step step, long stageUs) {
        StageAttempt attempt = step.attempt();
        if (crashMarker != null && attempt.prompt.contains(crashMarker)) {
            crashAction.run();
            return;
        }
        if (attempt.isFirst() && !attempt.hasRun) {
            attempt.hasRun = true;
            observe(attempt, AttemptEvent.Kind.STARTED);
        }
        StageRef stage = attempt.stage();
        ledger.record(attempt.key, step.sequence(), stage.first(), stage.end(), config.id());
        kvStore.put(attempt.requestId, layersOf(attempt), attempt.promptTokens + step.sequence() + 1);
        String stageTrace = stage.first() + "-" + stage.end() + ":" + stageUs;
        String trace = step.trace().isEmpty() ? stageTrace : step.trace() + "," + stageTrace;
        if (!attempt.isLast()) {
            linkTo(attempt.nextStage())
                    .sendToken(Buffer.buffer("S\t" + attempt.key + "\t" + step.sequence() + "\t" + trace + "\n"));
            return;
        }
        String text = Vocabulary.token(attempt.seed, step.sequence());
        if (attempt.isFirst()) {
            writeToken(attempt, step.sequence(), trace, text);
        } else {
            linkTo(attempt.firstStage())
                    .sendToken(Buffer.buffer(
                            "T\t" + attempt.key + "\t" + step.sequence() + "\t" + trace + "\t" + text + "\n"));
        }
    }

    /**
     * Handles a message from another engine.
     *
     * @throws IllegalArgumentException if the message is malformed or of an unknown type
     */
    void handleMessage(String line, String from) {
        if (line.startsWith("{")) {
            JsonNode message = Json.read(Buffer.buffer(line));
            if (message.path("op").asText().equals("open")) {
                startLaterStage(StageAttempt.forLaterStage(message));
            } else {
                handleStageFailure(Json.required(message, "key").asText(), message);
            }
            return;
        }
        String[] parts = line.split("\t", 5);
        StageAttempt attempt = attempts.get(parts[1]);
        if (attempt == null || attempt.isClosed) {
            return;
        }
        switch (parts[0]) {
            case "S" -> enqueueStep(attempt, Integer.parseInt(parts[2]), parts[3]);
            case "T" -> writeToken(attempt, Integer.parseInt(parts[2]), parts[3], parts[4]);
            case "C" -> endAttempt(attempt, null);
            default -> throw new IllegalArgumentException("message of unknown type from engine " + from);
        }
    }

    private void startLaterStage(StageAttempt attempt) {
        if (!holdsLayersOf(attempt) || attempts.size() >= MAX_LATER_STAGE_ATTEMPTS) {
            reportFailure(attempt, config.id(), "layers are not held");
            return;
        }
        attempt.isAdmitted = true;
        runningCount++;
        attempts.put(attempt.key, attempt);
        startStage(attempt);
    }

    boolean holdsLayersOf(StageAttempt attempt) {
        return attempt.stage().endpoint().equals(config.id())
                && heldModel.equals(attempt.model)
                && heldLayers != null
                && heldLayers.contains(layersOf(attempt));
    }

    private void handleStageFailure(String key, JsonNode message) {
        StageAttempt attempt = attempts.get(key);
        if (attempt != null && attempt.isFirst()) {
            String endpoint = message.path("endpoint").asText();
            endAttempt(
                    attempt,
                    errorLine(
                            attempt,
                            endpoint,
                            "may-have-run",
                            message.path("detail").asText()));
        }
    }

    /** Ends an attempt and reports the failed stage to the first stage of the chain. */
    private void reportFailure(StageAttempt attempt, String endpoint, String detail) {
        if (attempt.isFirst()) {
            endAttempt(attempt, errorLine(attempt, endpoint, "may-have-run", detail));
            return;
        }
        ObjectNode message = Json.object()
                .put("op", "fail")
                .put("key", attempt.key)
                .put("endpoint", endpoint)
                .put("detail", detail);
        linkTo(attempt.firstStage()).send(Json.line(message));
        endAttempt(attempt, null);
    }

    /** Fails the attempts whose previous stage is the given engine, because its message stream has closed. */
    void onIncomingStreamClosed(String from) {
        for (StageAttempt attempt : List.copyOf(attempts.values())) {
            if (!attempt.isFirst()
                    && attempt.stages.get(attempt.stageIndex - 1).endpoint().equals(from)) {
                reportFailure(attempt, from, "stage went away");
            }
        }
    }

    private StageLink linkTo(StageRef peer) {
        return links.computeIfAbsent(peer.endpoint(), id -> {
            EngineConfig.Link link = links().getOrDefault(id, EngineConfig.Link.DEFAULT);
            return new StageLink(vertx, client, peer, config.id(), link, () -> onLinkFailed(id));
        });
    }

    private void onLinkFailed(String endpoint) {
        links.remove(endpoint);
        for (StageAttempt attempt : new ArrayList<>(attempts.values())) {
            if (!attempt.isLast() && attempt.nextStage().endpoint().equals(endpoint)) {
                reportFailure(attempt, endpoint, "stage does not answer");
            } else if (!attempt.isFirst() && attempt.firstStage().endpoint().equals(endpoint)) {
                endAttempt(attempt, null);
            }
        }
    }

    private void endAttempt(StageAttempt attempt, Buffer lastLine) {
        if (attempt.isClosed) {
            return;
        }
        attempt.isClosed = true;
        attempts.remove(attempt.key, attempt);
        if (attempt.isAdmitted) {
            runningCount--;
        } else {
            queue.remove(attempt);
        }
        if (attempt.isFirst()) {
            observe(attempt, AttemptEvent.Kind.ENDED);
            if (lastLine != null) {
                attempt.response.end(lastLine);
            }
        }
        StageLink next = attempt.isLast() ? null : links.get(attempt.nextStage().endpoint());
        if (next != null && attempt.isAdmitted) {
            next.send(Buffer.buffer("C\t" + attempt.key + "\n"));
        }
        admitQueued();
    }

    void setHeldLayers(String model, LayerRange layers) {
        heldModel = model;
        heldLayers = layers;
    }

    String heldModel() {
        return heldModel;
    }

    LayerRange heldLayers() {
        return heldLayers;
    }

    private static LayerRange layersOf(StageAttempt attempt) {
        return new LayerRange(attempt.stage().first(), attempt.stage().end());
    }
}

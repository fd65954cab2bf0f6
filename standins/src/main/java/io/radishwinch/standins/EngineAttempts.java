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

/** Attempts that an engine stand-in runs, as the head or as a later stage of their chains; owned by one event loop. */
final class EngineAttempts implements StepLoop.Work {
    static final Buffer KEEP_ALIVE = Buffer.buffer("\n");
    private static final int MAX_LATER_ATTEMPTS = 10_000;

    /** Time without a token after which the head asks the later stages whether they live. */
    private static final long STAGE_PATIENCE_MS = 500;

    private static final long PROBE_TIMEOUT_MS = 300;

    private final Vertx vertx;
    private final HttpClient client;
    private final EngineConfig config;
    private final ExecutionLedger ledger;
    private final Runnable crash;
    private final StepLoop loop;
    private final KvStore kv;
    private final PrefixCache cache;
    private final KvTransfer transfer;
    private final Map<String, StageAttempt> attempts = new LinkedHashMap<>();
    private final PriorityQueue<StageAttempt> queue =
            new PriorityQueue<>(Comparator.<StageAttempt>comparingInt(attempt -> attempt.priority)
                    .thenComparingLong(attempt -> attempt.arrival));
    private final Set<String> probing = new HashSet<>();
    private final Map<String, StageLink> links = new HashMap<>();
    private final Map<String, EngineConfig.Link> linkChanges = new HashMap<>();
    private String heldModel = "";
    private LayerRange heldLayers;
    private double slowFactor = 1;
    private String crashMarker;
    private long arrivals;
    private long begun;
    private long cancelled;
    private int running;

    EngineAttempts(Vertx vertx, HttpClient client, EngineConfig config, ExecutionLedger ledger, Runnable crash) {
        this.vertx = vertx;
        this.client = client;
        this.config = config;
        this.ledger = ledger;
        this.crash = crash;
        this.loop = new StepLoop(vertx, this);
        this.kv = new KvStore(config.kvTokens());
        this.cache = new PrefixCache(config.cacheBlocks(), config.timing());
        this.transfer = new KvTransfer(client, kv);
    }

    // ------------------------------------------------------------------ state and faults

    KvStore kv() {
        return kv;
    }

    KvTransfer transfer() {
        return transfer;
    }

    PrefixCache cache() {
        return cache;
    }

    int running() {
        return running;
    }

    int queued() {
        return queue.size();
    }

    long begun() {
        return begun;
    }

    long cancelled() {
        return cancelled;
    }

    Map<String, EngineConfig.Link> links() {
        Map<String, EngineConfig.Link> all = new HashMap<>(config.links());
        all.putAll(linkChanges);
        return all;
    }

    void setLink(String endpoint, EngineConfig.Link link) {
        linkChanges.put(endpoint, link);
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

    void setHalted(boolean halted) {
        loop.setHalted(halted);
    }

    boolean isQueueFull() {
        return running >= config.slots() && queue.size() >= config.slots();
    }

    void stopAll() {
        attempts.values().forEach(attempt -> attempt.closed = true);
        attempts.clear();
        queue.clear();
        running = 0;
        loop.clear();
        links.values().forEach(StageLink::close);
        links.clear();
        kv.clear();
        cache.clear();
    }

    // ------------------------------------------------------------------ head

    /** Takes an attempt whose answer has status 200 and a chunked body from here on. */
    void openHead(StageAttempt attempt, HttpServerResponse response) {
        StageAttempt earlier = attempts.get(attempt.key);
        if (earlier != null) {
            end(earlier, error(earlier, config.id(), "may-have-run", "attempt was sent again"));
        }
        attempt.response = response;
        attempt.arrival = arrivals++;
        attempts.put(attempt.key, attempt);
        queue.add(attempt);
        admitWaiting();
    }

    boolean cancel(String key) {
        StageAttempt attempt = attempts.get(key);
        if (attempt == null || !attempt.isHead()) {
            return false;
        }
        cancelled++;
        end(attempt, error(attempt, config.id(), attempt.admitted ? "may-have-run" : "not-run", "cancelled"));
        return true;
    }

    /** The router closed its connection. */
    void abandoned(StageAttempt attempt) {
        if (!attempt.closed) {
            cancelled++;
            end(attempt, null);
        }
    }

    /** Sends an empty line on each stream, and ends attempts whose deadline has passed. */
    void sweep(long nowMs) {
        for (StageAttempt attempt : List.copyOf(attempts.values())) {
            if (attempt.isHead() && nowMs > attempt.deadlineAtMs) {
                String verdict = attempt.admitted ? "may-have-run" : "not-run";
                end(attempt, error(attempt, config.id(), verdict, "deadline passed"));
            } else if (attempt.isHead() && !attempt.response.writeQueueFull()) {
                attempt.response.write(KEEP_ALIVE);
            }
            if (attempt.isHead() && attempt.awaitsStages() && nowMs - attempt.stepStartedMs > STAGE_PATIENCE_MS) {
                attempt.stages.subList(1, attempt.stages.size()).forEach(this::probe);
            }
        }
    }

    /** Asks a stage for its load; one that does not answer has failed, for example because it hangs. */
    private void probe(StageRef stage) {
        if (!probing.add(stage.endpoint())) {
            return;
        }
        RequestOptions target = new RequestOptions()
                .setHost(stage.host())
                .setPort(stage.port())
                .setURI("/v1/load")
                .setTimeout(PROBE_TIMEOUT_MS);
        client.request(target)
                .compose(request -> request.send())
                .compose(answer -> answer.body())
                .onComplete(answer -> {
                    probing.remove(stage.endpoint());
                    if (answer.failed()) {
                        stageLost(stage.endpoint());
                    }
                });
    }

    private void stageLost(String endpoint) {
        for (StageAttempt attempt : List.copyOf(attempts.values())) {
            if (attempt.isHead() && attempt.awaitsStages() && attempt.uses(endpoint)) {
                end(attempt, error(attempt, endpoint, "may-have-run", "stage does not answer"));
            }
        }
    }

    private void admitWaiting() {
        while (running < config.slots() && !queue.isEmpty()) {
            StageAttempt attempt = queue.remove();
            attempt.admitted = true;
            running++;
            attempt.response.write(Json.line(lineOf(attempt, "accepted").put("endpoint", config.id())));
            if (attempt.resumeFrom >= attempt.maxNewTokens) {
                finish(attempt, attempt.resumeFrom);
                continue;
            }
            begin(attempt);
            enqueueStep(attempt, attempt.resumeFrom, "");
        }
    }

    /** Opens the attempt on the next stage and fetches KV cache for this one. */
    private void begin(StageAttempt attempt) {
        begun++;
        if (!attempt.isLast()) {
            link(attempt.nextStage()).send(Json.line(attempt.openMessage()));
        }
        LayerRange layers = layersOf(attempt);
        boolean held = kv.tokens(attempt.requestId, layers) >= attempt.promptTokens;
        List<StageRef> sources = attempt.stage().kvSources();
        if (held || sources.isEmpty()) {
            attempt.ready = true;
            return;
        }
        transfer.fetchFirst(sources, attempt.requestId, attempt.model, layers).onComplete(ignored -> {
            attempt.ready = true;
            if (attempt.waitingStep != null && !attempt.closed) {
                loop.add(attempt.waitingStep);
                attempt.waitingStep = null;
            }
        });
    }

    private void enqueueStep(StageAttempt attempt, int sequence, String trace) {
        attempt.stepSequence = sequence;
        attempt.stepStartedMs = System.currentTimeMillis();
        if (attempt.ready) {
            loop.add(attempt, sequence, trace);
        } else {
            attempt.waitingStep = new Step(attempt, sequence, trace, 0);
        }
    }

    private void token(StageAttempt attempt, int sequence, String trace, String text) {
        if (attempt.closed || sequence != attempt.stepSequence) {
            return;
        }
        HttpServerResponse response = attempt.response;
        response.write(TokenLine.of(attempt, sequence, trace, text));
        int next = sequence + 1;
        if (next >= attempt.maxNewTokens) {
            finish(attempt, next);
        } else if (response.writeQueueFull()) {
            attempt.stalled = true;
            response.drainHandler(ignored -> {
                if (attempt.stalled && !attempt.closed) {
                    attempt.stalled = false;
                    enqueueStep(attempt, next, "");
                }
            });
        } else {
            enqueueStep(attempt, next, "");
        }
    }

    private void finish(StageAttempt attempt, int tokens) {
        end(attempt, Json.line(lineOf(attempt, "done").put("tokens", tokens).put("finish", "length")));
    }

    private static ObjectNode lineOf(StageAttempt attempt, String type) {
        return Json.object().put("type", type).put("request", attempt.requestId).put("epoch", attempt.epoch);
    }

    private static Buffer error(StageAttempt attempt, String endpoint, String verdict, String detail) {
        return Json.line(lineOf(attempt, "error")
                .put("endpoint", endpoint)
                .put("verdict", verdict)
                .put("detail", detail));
    }

    // ------------------------------------------------------------------ work

    @Override
    public int slots() {
        return config.slots();
    }

    @Override
    public double layerTimeUs() {
        return config.layerTimeUs() * slowFactor;
    }

    @Override
    public int prefillTokens(StageAttempt attempt) {
        if (attempt.prefilled) {
            return 0;
        }
        attempt.prefilled = true;
        int total = attempt.promptTokens + attempt.resumeFrom;
        int held = Math.min(total, kv.tokens(attempt.requestId, layersOf(attempt)));
        int blocks = attempt.prefixHashes.size();
        if (blocks > 0) {
            int cachedBlocks = cache.use(attempt.prefixHashes, System.currentTimeMillis());
            held = Math.max(held, (int) ((long) attempt.promptTokens * cachedBlocks / blocks));
        }
        return total - held;
    }

    @Override
    public void executed(Step step, long stageUs) {
        StageAttempt attempt = step.attempt();
        if (crashMarker != null && attempt.prompt.contains(crashMarker)) {
            crash.run();
            return;
        }
        StageRef stage = attempt.stage();
        ledger.record(attempt.key, step.sequence(), stage.first(), stage.end(), config.id());
        kv.put(attempt.requestId, layersOf(attempt), attempt.promptTokens + step.sequence() + 1);
        String ran = stage.first() + "-" + stage.end() + ":" + stageUs;
        String trace = step.trace().isEmpty() ? ran : step.trace() + "," + ran;
        if (!attempt.isLast()) {
            link(attempt.nextStage())
                    .sendToken(Buffer.buffer("S\t" + attempt.key + "\t" + step.sequence() + "\t" + trace + "\n"));
            return;
        }
        String text = Vocabulary.token(attempt.seed, step.sequence());
        if (attempt.isHead()) {
            token(attempt, step.sequence(), trace, text);
        } else {
            link(attempt.headStage())
                    .sendToken(Buffer.buffer(
                            "T\t" + attempt.key + "\t" + step.sequence() + "\t" + trace + "\t" + text + "\n"));
        }
    }

    // ------------------------------------------------------------------ messages between stages

    /** Takes a message of another engine. */
    void message(String line, String from) {
        if (line.startsWith("{")) {
            JsonNode message = Json.read(Buffer.buffer(line));
            if (message.path("op").asText().equals("open")) {
                openLater(StageAttempt.later(message));
            } else {
                failed(Json.required(message, "key").asText(), message);
            }
            return;
        }
        String[] parts = line.split("\t", 5);
        StageAttempt attempt = attempts.get(parts[1]);
        if (attempt == null || attempt.closed) {
            return;
        }
        switch (parts[0]) {
            case "S" -> enqueueStep(attempt, Integer.parseInt(parts[2]), parts[3]);
            case "T" -> token(attempt, Integer.parseInt(parts[2]), parts[3], parts[4]);
            case "C" -> end(attempt, null);
            default -> throw new IllegalArgumentException("unknown message from " + from);
        }
    }

    private void openLater(StageAttempt attempt) {
        if (!holds(attempt) || attempts.size() >= MAX_LATER_ATTEMPTS) {
            report(attempt, config.id(), "layers are not held");
            return;
        }
        attempt.admitted = true;
        running++;
        attempts.put(attempt.key, attempt);
        begin(attempt);
    }

    boolean holds(StageAttempt attempt) {
        return attempt.stage().endpoint().equals(config.id())
                && heldModel.equals(attempt.model)
                && heldLayers != null
                && heldLayers.contains(layersOf(attempt));
    }

    private void failed(String key, JsonNode message) {
        StageAttempt attempt = attempts.get(key);
        if (attempt != null && attempt.isHead()) {
            String endpoint = message.path("endpoint").asText();
            end(
                    attempt,
                    error(
                            attempt,
                            endpoint,
                            "may-have-run",
                            message.path("detail").asText()));
        }
    }

    /** Tells the head that a stage failed. */
    private void report(StageAttempt attempt, String endpoint, String detail) {
        if (attempt.isHead()) {
            end(attempt, error(attempt, endpoint, "may-have-run", detail));
            return;
        }
        ObjectNode message = Json.object()
                .put("op", "fail")
                .put("key", attempt.key)
                .put("endpoint", endpoint)
                .put("detail", detail);
        link(attempt.headStage()).send(Json.line(message));
        end(attempt, null);
    }

    /** The stream from another engine ended: its attempts cannot go on here. */
    void streamEnded(String from) {
        for (StageAttempt attempt : List.copyOf(attempts.values())) {
            if (!attempt.isHead()
                    && attempt.stages.get(attempt.index - 1).endpoint().equals(from)) {
                report(attempt, from, "stage went away");
            }
        }
    }

    private StageLink link(StageRef peer) {
        return links.computeIfAbsent(peer.endpoint(), id -> {
            EngineConfig.Link link = links().getOrDefault(id, EngineConfig.Link.DEFAULT);
            return new StageLink(vertx, client, peer, config.id(), link, () -> linkBroken(id));
        });
    }

    private void linkBroken(String endpoint) {
        links.remove(endpoint);
        for (StageAttempt attempt : new ArrayList<>(attempts.values())) {
            if (!attempt.isLast() && attempt.nextStage().endpoint().equals(endpoint)) {
                report(attempt, endpoint, "stage does not answer");
            } else if (!attempt.isHead() && attempt.headStage().endpoint().equals(endpoint)) {
                end(attempt, null);
            }
        }
    }

    private void end(StageAttempt attempt, Buffer lastLine) {
        if (attempt.closed) {
            return;
        }
        attempt.closed = true;
        attempts.remove(attempt.key, attempt);
        if (attempt.admitted) {
            running--;
        } else {
            queue.remove(attempt);
        }
        if (attempt.isHead() && lastLine != null) {
            attempt.response.end(lastLine);
        }
        StageLink next = attempt.isLast() ? null : links.get(attempt.nextStage().endpoint());
        if (next != null && attempt.admitted) {
            next.send(Buffer.buffer("C\t" + attempt.key + "\n"));
        }
        admitWaiting();
    }

    // ------------------------------------------------------------------ holdings

    void setHolding(String model, LayerRange layers) {
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

package io.radishwinch.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.radishwinch.core.model.LayerRange;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.parsetools.RecordParser;
import java.util.Map;
import java.util.Random;

/**
 * A stand-in for a model engine that holds a range of layers and implements the engine protocol of docs/protocols.md.
 */
public final class EngineStandIn extends StandInServer {
    private static final long KEEP_ALIVE_INTERVAL_MS = 250;
    private static final long KV_BYTES_PER_TOKEN = 1_024;

    private final EngineConfig config;
    private final EngineAttempts attempts;
    private final HttpClient client;
    private ObjectNode loadReport = Json.object();
    private long loadReportAtMs;
    private long highestFencingToken;
    private long ordersAccepted;
    private boolean isLeaving;
    private Random refusals = new Random(0);
    private double refusedShare;
    private long keepAliveTimer = -1;
    private long reportTimer = -1;

    private EngineStandIn(Vertx vertx, EngineConfig config, ExecutionLedger ledger) {
        super(vertx);
        this.config = config;
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setTcpNoDelay(true).setConnectTimeout(500),
                new PoolOptions().setHttp1MaxSize(256));
        this.attempts = new EngineAttempts(vertx, client, config, ledger, this::crashNow);
        attempts.setHeldLayers(config.model(), config.layers());
    }

    /**
     * Starts an engine and waits until it listens.
     *
     * @param ledger ledger that records the executed layers
     */
    public static EngineStandIn start(Vertx vertx, EngineConfig config, ExecutionLedger ledger) {
        EngineStandIn engine = new EngineStandIn(vertx, config, ledger);
        engine.listen(config.port());
        engine.run(engine::startTimers);
        return engine;
    }

    /** Returns the configuration with which the engine was started. */
    public EngineConfig config() {
        return config;
    }

    /** Returns the endpoint identifier. */
    public String id() {
        return config.id();
    }

    /** Returns the layers that the engine holds, or null while other layers are loading. */
    public LayerRange layers() {
        return call(attempts::heldLayers);
    }

    /** Returns the number of running attempts, as the first stage or as a later stage. */
    public int runningAttempts() {
        return call(attempts::runningCount);
    }

    /** Returns the total number of started attempts, as the first stage or as a later stage. */
    public long startedAttempts() {
        return call(attempts::startedCount);
    }

    /** Returns the number of attempts that a cancellation or a closed connection ended. */
    public long cancelledAttempts() {
        return call(attempts::cancelledCount);
    }

    /** Returns the number of accepted orders. */
    public long acceptedOrders() {
        return call(() -> ordersAccepted);
    }

    /** Sets the factor by which the layer time is multiplied; 1 is the configured speed. */
    public void setSlowFactor(double factor) {
        run(() -> attempts.setSlowFactor(factor));
    }

    /** Sets the observer of the attempts whose first stage this engine is; called on the event loop of the engine. */
    public void setObserver(AttemptObserver observer) {
        run(() -> attempts.setObserver(observer));
    }

    /**
     * Refuses a share of the attempts as not run, as if the queue were full.
     *
     * @param share share from 0 to 1
     * @param seed seed of the choice
     */
    public void refuseShare(double share, long seed) {
        run(() -> {
            refusedShare = share;
            refusals = new Random(seed);
        });
    }

    /** Crashes the engine when it runs a prompt that contains the marker; null disables this. */
    public void crashOnPrompt(String marker) {
        run(() -> attempts.setCrashMarker(marker));
    }

    /** Replaces the link to another engine. */
    public void setLink(String endpoint, EngineConfig.Link link) {
        run(() -> attempts.setLink(endpoint, link));
    }

    /** Sets whether the engine refuses new attempts and marks itself as leaving in its load reports. */
    public void setLeaving(boolean newLeaving) {
        run(() -> {
            isLeaving = newLeaving;
            refreshLoadReport();
        });
    }

    @Override
    public void restart() {
        super.restart();
        run(this::startTimers);
    }

    @Override
    public void close() {
        super.close();
        await(client.close());
    }

    @Override
    void onStopped() {
        vertx.cancelTimer(keepAliveTimer);
        vertx.cancelTimer(reportTimer);
        attempts.clear();
        highestFencingToken = 0;
    }

    @Override
    void onPauseChanged() {
        attempts.setPaused(isPaused());
    }

    private void startTimers() {
        refreshLoadReport();
        keepAliveTimer = vertx.setPeriodic(KEEP_ALIVE_INTERVAL_MS, id -> {
            if (!isPaused()) {
                attempts.checkAttempts(System.currentTimeMillis());
            }
        });
        reportTimer = vertx.setPeriodic(Math.max(1, config.timing().reportIntervalMs()), id -> refreshLoadReport());
    }

    @Override
    void handle(HttpServerRequest request) {
        String path = request.path();
        HttpMethod method = request.method();
        if (path.equals("/stand-in/stage-stream")) {
            receiveStageStream(request);
        } else if (method == HttpMethod.GET && path.equals("/v1/load")) {
            respondJson(request.response(), 200, loadReportBody());
        } else if (method == HttpMethod.GET && path.equals("/v1/cache-events")) {
            respondCacheEvents(request);
        } else if (method == HttpMethod.DELETE && path.startsWith("/v1/attempts/")) {
            boolean isFound = attempts.cancel(path.substring("/v1/attempts/".length()));
            respondJson(request.response(), isFound ? 200 : 404, Buffer.buffer("{}"));
        } else if (method == HttpMethod.POST) {
            readBody(request, MAX_BODY_BYTES, body -> handlePost(request, path, body));
        } else {
            respondNotRun(request.response(), 404);
        }
    }

    private void handlePost(HttpServerRequest request, String path, Buffer body) {
        try {
            JsonNode node = Json.read(body);
            switch (path) {
                case "/v1/attempts" -> startAttempt(request, node);
                case "/v1/orders" -> executeOrder(request, node);
                case "/v1/kv/export" -> exportKv(request.response(), node);
                case "/v1/kv/import" -> importKv(request.response(), node);
                default -> respondNotRun(request.response(), 404);
            }
        } catch (IllegalArgumentException e) {
            request.response().putHeader("X-Not-Run", "true");
            respondJson(request.response(), 400, Json.write(Json.object().put("error", e.getMessage())));
        }
    }

    private void startAttempt(HttpServerRequest request, JsonNode body) {
        StageAttempt attempt = StageAttempt.forFirstStage(body);
        long remainingMs = Json.required(body, "remainingMs").asLong();
        if (!attempts.holdsLayersOf(attempt)) {
            respondNotRun(request.response(), 409);
            return;
        }
        attempts.observe(attempt, AttemptEvent.Kind.ARRIVED);
        if (isLeaving || remainingMs <= 0 || attempts.isQueueFull() || refusals.nextDouble() < refusedShare) {
            attempts.observe(attempt, AttemptEvent.Kind.REFUSED);
            respondNotRun(request.response(), 503);
            return;
        }
        attempt.deadlineAtMs = System.currentTimeMillis() + remainingMs;
        HttpServerResponse response =
                request.response().setChunked(true).putHeader("Content-Type", "application/x-ndjson");
        response.exceptionHandler(ignored -> attempts.onConnectionClosed(attempt));
        response.closeHandler(ignored -> attempts.onConnectionClosed(attempt));
        attempts.enqueueFirstStage(attempt, response);
    }

    private void receiveStageStream(HttpServerRequest request) {
        String from = request.getHeader("X-From");
        RecordParser lines = RecordParser.newDelimited("\n", line -> {
            if (isUp()) {
                attempts.handleMessage(line.toString(), from);
            }
        });
        lines.maxRecordSize(MAX_BODY_BYTES);
        lines.exceptionHandler(ignored -> request.connection().close());
        request.handler(lines);
        boolean[] isClosed = new boolean[1];
        Runnable onClosed = () -> {
            if (!isClosed[0]) {
                isClosed[0] = true;
                attempts.onIncomingStreamClosed(from);
            }
        };
        request.exceptionHandler(ignored -> onClosed.run());
        request.response().closeHandler(ignored -> onClosed.run());
        request.endHandler(ignored -> {
            onClosed.run();
            request.response().end();
        });
    }

    private void respondCacheEvents(HttpServerRequest request) {
        try {
            long from = Long.parseLong(request.getParam("from", "0"));
            respondJson(
                    request.response(),
                    200,
                    Json.write(attempts.prefixCache().eventsAfter(from, System.currentTimeMillis())));
        } catch (NumberFormatException e) {
            respondNotRun(request.response(), 400);
        }
    }

    private Buffer loadReportBody() {
        return Json.write(loadReport.put("ageMs", System.currentTimeMillis() - loadReportAtMs));
    }

    private void refreshLoadReport() {
        ObjectNode node = Json.object();
        node.put("endpoint", config.id());
        node.put("dataCentre", config.dataCentre());
        node.put("acceleratorKind", config.acceleratorKind());
        node.put("slots", config.slots());
        node.put("running", attempts.runningCount());
        node.put("queued", attempts.queuedCount());
        node.put("kvFreeBytes", attempts.kvStore().freeTokens() * KV_BYTES_PER_TOKEN);
        node.put("layerTimeUs", attempts.layerTimeUs());
        ArrayNode holdings = node.putArray("holdings");
        if (attempts.heldLayers() != null) {
            holdings.addObject()
                    .put("model", attempts.heldModel())
                    .put("first", attempts.heldLayers().first())
                    .put("end", attempts.heldLayers().end());
        }
        ArrayNode links = node.putArray("links");
        for (Map.Entry<String, EngineConfig.Link> link : attempts.links().entrySet()) {
            links.addObject()
                    .put("to", link.getKey())
                    .put("delayUs", link.getValue().delayUs())
                    .put("tokensPerS", link.getValue().tokensPerS());
        }
        node.put("honoursFencing", config.honoursFencing());
        node.put("checksOrders", !config.orderKey().isEmpty());
        node.put("leaving", isLeaving);
        loadReport = node;
        loadReportAtMs = System.currentTimeMillis();
    }

    private void executeOrder(HttpServerRequest request, JsonNode body) {
        HttpServerResponse response = request.response();
        if (!config.orderKey().isEmpty()
                && !("Bearer " + config.orderKey()).equals(request.getHeader("Authorization"))) {
            respondNotRun(response, 401);
            return;
        }
        long fencingToken = Json.required(body, "fencing").asLong();
        JsonNode order = Json.required(body, "order");
        if (config.honoursFencing() && fencingToken <= highestFencingToken) {
            respondJson(
                    response,
                    409,
                    Json.write(Json.object().put("accepted", false).put("fencing", highestFencingToken)));
            return;
        }
        switch (Json.required(order, "type").asText()) {
            case "load-layers" ->
                loadLayers(
                        Json.required(order, "model").asText(),
                        new LayerRange(
                                Json.required(order, "first").asInt(),
                                Json.required(order, "end").asInt()));
            case "load-adapter", "load-version", "change-role" -> {}
            default -> throw new IllegalArgumentException("order has an unknown type");
        }
        highestFencingToken = Math.max(highestFencingToken, fencingToken);
        ordersAccepted++;
        respondJson(
                response, 200, Json.write(Json.object().put("accepted", true).put("fencing", fencingToken)));
    }

    /** Replaces the held layers after the load time; running attempts continue with the previous layers. */
    private void loadLayers(String model, LayerRange layers) {
        attempts.setHeldLayers(model, null);
        refreshLoadReport();
        long loadMs = Math.max(1, layers.size() * config.timing().loadMsPerLayer());
        vertx.setTimer(loadMs, id -> {
            attempts.setHeldLayers(model, layers);
            refreshLoadReport();
        });
    }

    private void exportKv(HttpServerResponse response, JsonNode body) {
        LayerRange layers = new LayerRange(
                Json.required(body, "first").asInt(), Json.required(body, "end").asInt());
        int tokens =
                attempts.kvStore().heldTokens(Json.required(body, "request").asText(), layers);
        if (tokens == 0) {
            respondNotRun(response, 404);
            return;
        }
        response.putHeader("Content-Type", "application/octet-stream")
                .putHeader("X-Kv-Tokens", Integer.toString(tokens))
                .end(Buffer.buffer(new byte[tokens * KvStore.EXPORT_BYTES_PER_TOKEN]));
    }

    private void importKv(HttpServerResponse response, JsonNode body) {
        LayerRange layers = new LayerRange(
                Json.required(body, "first").asInt(), Json.required(body, "end").asInt());
        StageAttempt.StageRef source = StageAttempt.StageRef.read(Json.required(body, "source"));
        attempts.kvTransfer()
                .fetch(
                        source,
                        Json.required(body, "request").asText(),
                        Json.required(body, "model").asText(),
                        layers)
                .onSuccess(tokens ->
                        respondJson(response, 200, Json.write(Json.object().put("tokens", tokens))))
                .onFailure(ignored -> respondNotRun(response, 404));
    }
}

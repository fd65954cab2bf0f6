package io.radishwinch.bench;

import io.radishwinch.config.contract.KeyHash;
import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.server.RouterProcess;
import io.radishwinch.server.engine.AttemptRequest.StageTarget;
import io.radishwinch.server.engine.EndpointAddress;
import io.radishwinch.standins.EngineConfig;
import io.radishwinch.standins.EngineStandIn;
import io.radishwinch.standins.StandInFleet;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A router with two traffic threads and engine stand-ins for two models, on loopback.
 *
 * <p>The engines of the load model take 10 ms per token, so tokens arrive one at a time. The engines of the latency
 * model take no time and form a single chain, so a request for it measures the latency that the code adds.
 */
final class LoadTestFleet {
    static final String CALLER_KEY = "load-key";
    static final String LOAD_MODEL = "load";
    static final String LATENCY_MODEL = "probe";
    static final int TRAFFIC_THREADS = 2;

    private static final LayerRange FIRST_HALF = new LayerRange(0, StandInFleet.MODEL_LAYERS / 2);
    private static final LayerRange SECOND_HALF =
            new LayerRange(StandInFleet.MODEL_LAYERS / 2, StandInFleet.MODEL_LAYERS);
    private static final double LOAD_TOKEN_INTERVAL_US = 10_000;
    static final int ENGINE_EVENT_LOOPS = 4;
    private static final int LOAD_SLOTS = 512;
    private static final int LATENCY_SLOTS = 64;
    private static final long START_TIMEOUT_S = 20;

    final RouterProcess router;
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(ENGINE_EVENT_LOOPS));
    private final StandInFleet fleet;

    LoadTestFleet() throws Exception {
        List<EngineConfig> engines = new ArrayList<>();
        double layerUs = LOAD_TOKEN_INTERVAL_US / StandInFleet.MODEL_LAYERS;
        for (int i = 0; i < 2; i++) {
            engines.add(engineConfig("load-a" + i, LOAD_MODEL, layerUs, LOAD_SLOTS, FIRST_HALF));
            engines.add(engineConfig("load-b" + i, LOAD_MODEL, layerUs, LOAD_SLOTS, SECOND_HALF));
        }
        engines.add(engineConfig("probe-a", LATENCY_MODEL, 0, LATENCY_SLOTS, FIRST_HALF));
        engines.add(engineConfig("probe-b", LATENCY_MODEL, 0, LATENCY_SLOTS, SECOND_HALF));
        fleet = StandInFleet.start(vertx, engines);
        for (String model : List.of(LOAD_MODEL, LATENCY_MODEL)) {
            putObject(
                    "config/models/" + model,
                    "schema: model/v1\nname: " + model + "\nlayerCount: " + StandInFleet.MODEL_LAYERS + "\n");
        }
        putObject(
                "config/contracts/app",
                "schema: contract/v1\ncaller: app\nkeyHashes: ['sha256:" + KeyHash.of(CALLER_KEY) + "']\n"
                        + "limits:\n  requestsPerS: 100000\n  tokensPerS: 100000000\n  concurrentRequests: 100000\n");
        router = new RouterProcess(RouterSettings.defaults()
                .with(SettingKey.ROUTER_ID, "router-1")
                .with(SettingKey.CALLER_PORT, 0)
                .with(SettingKey.ADMIN_PORT, 0)
                .with(SettingKey.PEER_PORT, 0)
                .with(SettingKey.TRAFFIC_THREADS, TRAFFIC_THREADS)
                .with(SettingKey.PLATFORM_PORT, fleet.platform().port()));
    }

    private static EngineConfig engineConfig(String id, String model, double layerUs, int slots, LayerRange layers) {
        EngineConfig config = EngineConfig.of(id, "large", layerUs, layers).withSlots(slots);
        return new EngineConfig(
                id,
                config.dataCentre(),
                0,
                config.acceleratorKind(),
                layerUs,
                slots,
                model,
                layers,
                Map.of(),
                true,
                "",
                config.cacheBlocks(),
                config.kvTokens(),
                config.timing());
    }

    private void putObject(String key, String value) {
        fleet.platform().putObject(key, value.getBytes(StandardCharsets.UTF_8));
    }

    void startRouter() throws Exception {
        router.start().toCompletionStage().toCompletableFuture().get(START_TIMEOUT_S, TimeUnit.SECONDS);
    }

    Vertx vertx() {
        return vertx;
    }

    /** Returns the stages of the only chain of the latency model. */
    List<StageTarget> latencyStages() {
        List<StageTarget> stages = new ArrayList<>();
        for (String id : List.of("probe-a", "probe-b")) {
            EngineStandIn engine = fleet.engine(id);
            stages.add(new StageTarget(
                    new EndpointAddress(engine.id(), "127.0.0.1", engine.port()),
                    engine.config().layers(),
                    List.of()));
        }
        return stages;
    }
}

package io.radishwinch.server;

import io.radishwinch.config.contract.KeyHash;
import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import io.radishwinch.standins.PlatformStandIn;
import io.radishwinch.standins.StandInFleet;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

/** Runs the stand-ins and routers of a test on loopback. */
final class TestDeployment implements AutoCloseable {
    static final String KEY = "test-key";
    static final String MODEL = StandInFleet.MODEL;

    private static final int MAX_POLLS = 600;
    private static final long POLL_MS = 25;

    final StandInFleet fleet;
    final List<RouterProcess> routers = new ArrayList<>();
    private final Vertx vertx = Vertx.vertx();

    TestDeployment(int routerCount) throws Exception {
        fleet = StandInFleet.start(vertx);
        put("config/models/" + MODEL, "schema: model/v1\nname: " + MODEL + "\nlayerCount: 24\n");
        put(
                "config/services/" + StandInFleet.BILLING,
                "schema: service/v1\nname: " + StandInFleet.BILLING
                        + "\noperations: [{method: POST, pathPrefix: /charges, repeatable: false}]\n");
        put(
                "config/contracts/app",
                "schema: contract/v1\ncaller: app\nkeyHashes: ['sha256:" + KeyHash.of(KEY)
                        + "']\nranks: {interactive: {timeoutMs: 20000}, account-action: {timeoutMs: 10000}}\n");
        for (int i = 0; i < routerCount; i++) {
            startRouter("router-" + i);
        }
        for (RouterProcess router : routers) {
            RecordedSession session = new RecordedSession(router.callerPort());
            waitUntil(
                    () -> session.statusOf("/v1/completions", RecordedSession.completion("warm-up", 1, false)) == 200);
        }
    }

    RouterProcess startRouter(String id) throws Exception {
        return startRouter(id, settings -> settings);
    }

    RouterProcess startRouter(String id, UnaryOperator<RouterSettings> change) throws Exception {
        RouterProcess router = new RouterProcess(change.apply(RouterSettings.defaults()
                .with(SettingKey.ROUTER_ID, id)
                .with(SettingKey.CALLER_PORT, 0)
                .with(SettingKey.ADMIN_PORT, 0)
                .with(SettingKey.PEER_PORT, 0)
                .with(SettingKey.CALLER_MAX_BODY_BYTES, 65536)
                .with(SettingKey.CALLER_BODY_TIMEOUT_MS, 500)
                .with(SettingKey.PLATFORM_VM_LIST_MS, 200)
                .with(SettingKey.ENDPOINT_LOAD_INTERVAL_MS, 100)
                .with(SettingKey.PLATFORM_PORT, fleet.platform().port())));
        await(router.start());
        routers.add(router);
        fleet.platform().putVm(new PlatformStandIn.Vm(id, "dc-1", "127.0.0.1", router.peerPort(), "router", "", false));
        return router;
    }

    void put(String key, String text) {
        fleet.platform().putObject(key, text.getBytes(StandardCharsets.UTF_8));
    }

    static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(60, TimeUnit.SECONDS);
    }

    /** Waits until a condition holds; fails after 15 s, which is far longer than any condition needs. */
    static void waitUntil(BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; i < MAX_POLLS; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            Thread.sleep(POLL_MS);
        }
        throw new AssertionError("condition not met within the timeout");
    }

    @Override
    public void close() throws Exception {
        for (RouterProcess router : routers) {
            await(router.close());
        }
        fleet.close();
        await(vertx.close());
    }
}

package io.radishwinch.embedded;

import io.radishwinch.config.contract.KeyHash;
import io.radishwinch.config.settings.Operator;
import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import io.radishwinch.server.RouterProcess;
import io.radishwinch.standins.PlatformStandIn;
import io.radishwinch.standins.StandInFleet;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Stand-ins of platform, engines and plain services, and routers, all on loopback. */
public final class EmbeddedDeployment implements AutoCloseable {
    /** Bearer key of the operator of an embedded deployment. */
    public static final String OPERATOR_KEY = "example-admin";

    /** Interval between writes of the day summaries, in ms. */
    static final long REPORT_INTERVAL_MS = 1_000;

    private static final String LOOPBACK = "127.0.0.1";
    private static final String DATA_CENTRE = "dc1";
    private static final long AWAIT_TIMEOUT_S = 30;

    private final Vertx vertx = Vertx.vertx();
    private final StandInFleet fleet;
    private final List<RouterProcess> routers = new ArrayList<>();

    /**
     * Starts a deployment.
     *
     * @param routerCount number of routers
     * @throws IllegalStateException if a router does not start
     */
    public EmbeddedDeployment(int routerCount) {
        fleet = StandInFleet.start(vertx);
        for (int i = 1; i <= routerCount; i++) {
            startRouter("router-" + i);
        }
    }

    /** Starts a further router and adds it to the VM list. */
    public RouterProcess startRouter(String routerId) {
        RouterProcess router = new RouterProcess(RouterSettings.defaults()
                .with(SettingKey.ROUTER_ID, routerId)
                .with(SettingKey.DATA_CENTRE, DATA_CENTRE)
                .with(SettingKey.CALLER_PORT, 0)
                .with(SettingKey.ADMIN_PORT, 0)
                .with(SettingKey.PEER_PORT, 0)
                .with(SettingKey.PLATFORM_PORT, fleet.platform().port())
                .with(SettingKey.PLATFORM_VM_LIST_MS, 500)
                .with(SettingKey.REPORT_INTERVAL_MS, REPORT_INTERVAL_MS)
                .withOperators(List.of(new Operator("example-admin", Operator.Role.ADMIN, KeyHash.of(OPERATOR_KEY)))));
        await(router.start());
        routers.add(router);
        fleet.platform()
                .putVm(new PlatformStandIn.Vm(routerId, DATA_CENTRE, LOOPBACK, router.peerPort(), "router", "", false));
        return router;
    }

    /** Returns the stand-ins. */
    public StandInFleet fleet() {
        return fleet;
    }

    /** Returns the routers in the order of their start. */
    public List<RouterProcess> routers() {
        return List.copyOf(routers);
    }

    /**
     * Waits for an asynchronous result.
     *
     * @throws IllegalStateException if it fails or takes longer than 30 s
     */
    public static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(AWAIT_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            throw new IllegalStateException("no result within " + AWAIT_TIMEOUT_S + " s", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    @Override
    public void close() {
        routers.forEach(router -> await(router.close()));
        fleet.close();
        await(vertx.close());
    }
}

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

/** A deployment on loopback of routers and of stand-ins for the platform, the engines and the plain services. */
public final class EmbeddedDeployment implements AutoCloseable {
    /** Bearer key of the operator of the deployment. */
    public static final String OPERATOR_KEY = "example-admin";

    /** Interval between writes of the day summaries by a router, in ms. */
    static final long REPORT_INTERVAL_MS = 1_000;

    private static final String LOOPBACK = "127.0.0.1";
    private static final String DATA_CENTRE = "dc1";
    private static final long AWAIT_TIMEOUT_S = 30;

    private final Vertx vertx = Vertx.vertx();
    private final StandInFleet fleet;
    private final List<RouterProcess> routers = new ArrayList<>();

    /**
     * Starts the stand-ins and the routers.
     *
     * @param routerCount number of routers
     * @throws IllegalStateException if a router does not start within 30 s
     */
    public EmbeddedDeployment(int routerCount) {
        fleet = StandInFleet.start(vertx);
        for (int i = 1; i <= routerCount; i++) {
            startRouter("router-" + i);
        }
    }

    /**
     * Starts a further router and adds it to the VM list.
     *
     * @throws IllegalStateException if the router does not start within 30 s
     */
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

    /** Returns the routers in the order in which they were started. */
    public List<RouterProcess> routers() {
        return List.copyOf(routers);
    }

    /**
     * Waits for the result of a future and returns it.
     *
     * @throws IllegalStateException if the future fails or does not complete within 30 s
     */
    public static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(AWAIT_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            throw new IllegalStateException("future did not complete within " + AWAIT_TIMEOUT_S + " s", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for a future", e);
        }
    }

    @Override
    public void close() {
        routers.forEach(router -> await(router.close()));
        fleet.close();
        await(vertx.close());
    }
}

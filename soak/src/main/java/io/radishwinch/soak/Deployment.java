package io.radishwinch.soak;

import io.radishwinch.core.model.LayerRange;
import io.radishwinch.soak.scenario.ChangeKind;
import io.radishwinch.soak.scenario.Scenario;
import io.radishwinch.soak.scenario.Scenario.RequestClass;
import io.radishwinch.standins.AttemptObserver;
import io.radishwinch.standins.EngineConfig;
import io.radishwinch.standins.EngineStandIn;
import io.radishwinch.standins.ExecutionLedger;
import io.radishwinch.standins.PlatformStandIn;
import io.radishwinch.standins.StandInFleet;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Routers as processes, and engines and the store as stand-ins in this process, all on loopback. */
final class Deployment implements AutoCloseable {
    /** Name of the model. */
    static final String MODEL = "soak-model";

    /** Data centre of all VMs. */
    static final String DATA_CENTRE = "dc1";

    /** Caller that sends nothing. */
    static final String BYSTANDER = "soak-bystander";

    private static final String LOOPBACK = "127.0.0.1";
    private static final String OPERATOR_KEY = "soak-operator";
    private static final int READY_TIMEOUT_MS = 60_000;
    private static final int WARM_UP_DEADLINE_MS = 2_000;
    private static final int POLL_INTERVAL_MS = 100;
    private static final long CLOSE_TIMEOUT_S = 10;
    private static final double US_PER_MS = 1_000;
    private static final int CACHE_BLOCKS = 4_096;
    private static final int KV_TOKENS = 1_000_000;

    private final Scenario scenario;
    private final Vertx vertx = Vertx.vertx();
    private final AdminCalls admin = new AdminCalls(OPERATOR_KEY);
    private final PlatformStandIn platform;
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final List<RouterProcess> routers = new CopyOnWriteArrayList<>();
    private final Map<ChangeKind, Boolean> isChanged = new EnumMap<>(ChangeKind.class);
    private final Thread killer = new Thread(() -> routers.forEach(RouterProcess::kill), "soak-killer");

    /** Creates a deployment; {@link #start} starts its processes, which end with this one at the latest. */
    Deployment(Scenario scenario) {
        this.scenario = scenario;
        this.platform = PlatformStandIn.start(vertx, 0, PlatformStandIn.DEFAULT_HISTORY_SIZE);
        Runtime.getRuntime().addShutdownHook(killer);
    }

    static String keyOf(RequestClass requests) {
        return "soak-" + requests.name();
    }

    /**
     * Starts engines and routers, writes the configuration and waits until each router serves each class.
     *
     * @throws IOException if a router does not start or does not serve within 60 s
     */
    void start(AttemptObserver observer, CallerClient client, Path directory) throws IOException, InterruptedException {
        startEngines(observer);
        for (int i = 1; i <= scenario.routers().count(); i++) {
            String id = "router-" + i;
            routers.add(
                    new RouterProcess(id, Documents.router(id, scenario, platform.port(), OPERATOR_KEY), directory));
        }
        for (RouterProcess router : routers) {
            router.awaitStart();
            platform.putVm(
                    new PlatformStandIn.Vm(router.id(), DATA_CENTRE, LOOPBACK, router.peerPort(), "router", "", false));
        }
        for (ChangeKind kind : ChangeKind.values()) {
            write(kind);
        }
        long deadlineMs = System.currentTimeMillis() + READY_TIMEOUT_MS;
        for (RouterProcess router : routers) {
            for (RequestClass requests : scenario.classes()) {
                awaitService(client, router, requests, deadlineMs);
            }
        }
    }

    private void startEngines(AttemptObserver observer) {
        Scenario.Pool pool = scenario.pool();
        for (int i = 1; i <= pool.endpoints(); i++) {
            EngineConfig config = new EngineConfig(
                    "engine-" + i,
                    DATA_CENTRE,
                    0,
                    "soak",
                    pool.eventIntervalMs() * US_PER_MS / pool.layers(),
                    pool.slots(),
                    MODEL,
                    new LayerRange(0, pool.layers()),
                    Map.of(),
                    true,
                    "",
                    CACHE_BLOCKS,
                    KV_TOKENS,
                    EngineConfig.Timing.DEFAULT);
            EngineStandIn engine = EngineStandIn.start(vertx, config, new ExecutionLedger());
            engine.setObserver(observer);
            engines.add(engine);
            platform.putVm(StandInFleet.vm(engine));
        }
    }

    private void awaitService(CallerClient client, RouterProcess router, RequestClass requests, long deadlineMs)
            throws IOException, InterruptedException {
        RequestClass warmUp = new RequestClass(requests.name(), 1, 0, 0, WARM_UP_DEADLINE_MS, 1);
        CallerRecord last;
        do {
            last = client.send("warm-up", warmUp, keyOf(requests), router.id(), router.callerPort());
            if (last.response().end() == CallerRecord.End.COMPLETE) {
                return;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        } while (System.currentTimeMillis() < deadlineMs);
        throw new IOException(router.id() + " does not serve " + requests.name() + " within " + READY_TIMEOUT_MS
                + " ms: " + last.outcome());
    }

    List<RouterProcess> routers() {
        return routers;
    }

    List<EngineStandIn> engines() {
        return engines;
    }

    /** Makes a change of the configuration, or undoes the last one of its kind. */
    void change(ChangeKind kind) throws IOException, InterruptedException {
        isChanged.merge(kind, true, (before, ignored) -> !before);
        write(kind);
    }

    private void write(ChangeKind kind) throws IOException, InterruptedException {
        int port = routers.get(0).adminPort();
        switch (kind) {
            case BYSTANDER -> admin.put(port, "/contracts/" + BYSTANDER, Documents.bystander(isChanged(kind)));
            case MODEL -> admin.put(port, "/models/" + MODEL, Documents.model(scenario, isChanged(kind)));
            case LIMITS, TIMEOUT -> {
                for (RequestClass requests : scenario.classes()) {
                    admin.put(
                            port,
                            "/contracts/" + requests.name(),
                            Documents.contract(requests, isChanged(ChangeKind.LIMITS), isChanged(ChangeKind.TIMEOUT)));
                }
            }
        }
    }

    private boolean isChanged(ChangeKind kind) {
        return isChanged.getOrDefault(kind, false);
    }

    /** Returns what the routers logged and know of a request. */
    List<Timeline.Entry> routerEntries(CallerRecord request) throws IOException, InterruptedException {
        List<Timeline.Entry> entries = new ArrayList<>();
        if (request.requestId().isEmpty()) {
            return entries;
        }
        for (RouterProcess router : routers) {
            entries.addAll(router.linesOf(request.requestId(), request.endedAtMs()));
            entries.addAll(admin.explain(router.adminPort(), router.id(), request.requestId()));
        }
        return entries;
    }

    /** Returns the lines on errors in the logs of the routers, each after the name of its router. */
    List<String> errorLines() throws IOException {
        List<String> lines = new ArrayList<>();
        for (RouterProcess router : routers) {
            router.errorLines().forEach(line -> lines.add(router.id() + ": " + line));
        }
        return lines;
    }

    @Override
    public void close() {
        routers.forEach(RouterProcess::close);
        engines.forEach(EngineStandIn::close);
        platform.close();
        try {
            vertx.close().toCompletionStage().toCompletableFuture().get(CLOSE_TIMEOUT_S, TimeUnit.SECONDS);
            Runtime.getRuntime().removeShutdownHook(killer);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the stand-ins cannot be closed", e);
        }
    }
}

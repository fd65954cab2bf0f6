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
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

    private static final System.Logger LOG = System.getLogger(Deployment.class.getName());
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
    private final List<Account> accounts;
    private final Map<ChangeKind, Integer> changeCounts = new EnumMap<>(ChangeKind.class);

    /** Keys that no caller uses, by the name of their account. */
    private final Map<String, String> replacedKeys = new HashMap<>();

    private final Thread killer = new Thread(() -> routers.forEach(RouterProcess::abandon), "soak-killer");

    /** Creates a deployment; {@link #start} starts its processes, which end with this one at the latest. */
    Deployment(Scenario scenario) {
        this.scenario = scenario;
        this.accounts = scenario.classes().stream()
                .flatMap(requests -> Account.of(requests).stream())
                .toList();
        this.platform = PlatformStandIn.start(vertx, 0, PlatformStandIn.DEFAULT_HISTORY_SIZE);
        Runtime.getRuntime().addShutdownHook(killer);
    }

    /**
     * Starts engines and routers, writes the configuration and waits until each router serves each class.
     *
     * @throws IOException if a router does not start or does not serve within 60 s
     */
    void start(AttemptObserver observer, CallerClient client, Path directory) throws IOException, InterruptedException {
        startEngines(observer);
        // In the store before the routers start, so that no router has a part of the configuration by a write of its
        // own.
        store("contracts/" + BYSTANDER, Documents.bystander(false));
        store("models/" + MODEL, Documents.model(scenario, false));
        accounts.forEach(account -> store("contracts/" + account.name(), contract(account)));
        for (int i = 1; i <= scenario.routers().count(); i++) {
            RouterProcess router = new RouterProcess("router-" + i, directory);
            routers.add(router);
            router.start(settings(router));
        }
        for (RouterProcess router : routers) {
            router.awaitStart();
            platform.putVm(new PlatformStandIn.Vm(
                    router.id(), DATA_CENTRE, RouterProcess.HOST, router.ports().peer(), "router", "", false));
        }
        long deadlineMs = System.currentTimeMillis() + READY_TIMEOUT_MS;
        for (RouterProcess router : routers) {
            for (RequestClass requests : scenario.classes()) {
                awaitService(client, router, requests, deadlineMs);
            }
        }
    }

    private void store(String name, String document) {
        platform.putObject("config/" + name, document.getBytes(StandardCharsets.UTF_8));
    }

    private String settings(RouterProcess router) {
        return Documents.router(router.id(), scenario, platform.port(), OPERATOR_KEY, router.ports());
    }

    /**
     * Kills routers at the same time, starts them again at their addresses and waits until they listen.
     *
     * @throws IOException if a router does not start
     */
    void restart(List<RouterProcess> chosen, SoakRecord record) throws IOException, InterruptedException {
        Map<RouterProcess, Long> killedAtMs = new LinkedHashMap<>();
        for (RouterProcess router : chosen) {
            killedAtMs.put(router, System.currentTimeMillis());
            record.add(router.id() + " is killed");
            router.kill();
        }
        for (RouterProcess router : chosen) {
            router.start(settings(router));
        }
        for (RouterProcess router : chosen) {
            router.awaitStart();
            record.add(router.id() + " listens again");
            record.add(new RouterRestart(router.id(), killedAtMs.get(router), System.currentTimeMillis()));
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
        Account account = new Account(new RequestClass(requests.name(), 1, 1, 1, 0, 0, WARM_UP_DEADLINE_MS, 1), 1);
        CallerRecord last;
        do {
            last = client.send("warm-up", account, account.key(1), router);
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
        changeCounts.merge(kind, 1, Integer::sum);
        write(kind);
    }

    private void write(ChangeKind kind) throws IOException, InterruptedException {
        int count = changeCounts.getOrDefault(kind, 0);
        switch (kind) {
            case BYSTANDER -> put("/contracts/" + BYSTANDER, Documents.bystander(isChanged(kind)));
            case MODEL -> put("/models/" + MODEL, Documents.model(scenario, isChanged(kind)));
            case LIMITS, TIMEOUT -> {
                for (RequestClass requests : scenario.classes()) {
                    writeAccount(new Account(requests, 1 + count % requests.accounts()));
                }
            }
            case ACCOUNT -> {
                String name = BYSTANDER + "." + count;
                put("/contracts/" + name, Documents.addedAccount(name));
            }
            case KEY -> {
                Account account = accounts.get(count % accounts.size());
                replacedKeys.put(account.name(), "replaced-" + count);
                writeAccount(account);
            }
        }
    }

    private void writeAccount(Account account) throws IOException, InterruptedException {
        put("/contracts/" + account.name(), contract(account));
    }

    private String contract(Account account) {
        List<String> keys = new ArrayList<>(account.keys());
        Optional.ofNullable(replacedKeys.get(account.name())).ifPresent(keys::add);
        return Documents.contract(account, keys, isChanged(ChangeKind.LIMITS), isChanged(ChangeKind.TIMEOUT));
    }

    /** Writes a document through the first router that takes it, because any of them may be down or starting. */
    private void put(String path, String document) throws IOException, InterruptedException {
        long deadlineMs = System.currentTimeMillis() + READY_TIMEOUT_MS;
        for (int i = 0; ; i++) {
            try {
                admin.put(routers.get(i % routers.size()).ports().admin(), path, document);
                return;
            } catch (AdminCalls.RefusedException e) {
                throw e;
            } catch (IOException e) {
                if (scenario.routers().restarts().kinds().isEmpty() || System.currentTimeMillis() > deadlineMs) {
                    throw e;
                }
                LOG.log(System.Logger.Level.DEBUG, "the change is sent again: {0}", e.getMessage());
                Thread.sleep(POLL_INTERVAL_MS);
            }
        }
    }

    private boolean isChanged(ChangeKind kind) {
        return changeCounts.getOrDefault(kind, 0) % 2 == 1;
    }

    /** Returns what the routers logged and know of a request. */
    List<Timeline.Entry> routerEntries(CallerRecord request) throws IOException, InterruptedException {
        List<Timeline.Entry> entries = new ArrayList<>();
        if (request.requestId().isEmpty()) {
            return entries;
        }
        for (RouterProcess router : routers) {
            entries.addAll(router.linesOf(request.requestId(), request.endedAtMs()));
            entries.addAll(admin.explain(router.ports().admin(), router.id(), request.requestId()));
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

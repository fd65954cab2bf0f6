package io.radishwinch.server;

import io.radishwinch.cluster.PeerNode;
import io.radishwinch.cluster.journal.Journal;
import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.Seed;
import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformClient.Vm;
import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.chain.ChainPlanner;
import io.radishwinch.core.chain.FewestStagesChainPlanner;
import io.radishwinch.core.chain.TableEndpointDirectory;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.impl.CoreSettings;
import io.radishwinch.core.impl.TableDecisionCore;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.server.engine.ClientOptions;
import io.radishwinch.server.engine.EndpointAddress;
import io.radishwinch.server.engine.HttpEngineClient;
import io.radishwinch.server.http.Authenticator;
import io.radishwinch.server.http.CallerServer;
import io.radishwinch.server.http.JournalAccess;
import io.radishwinch.server.metrics.RouterMetrics;
import io.radishwinch.server.peer.PeerTls;
import io.radishwinch.server.peer.PeerTransport;
import io.radishwinch.server.platform.HttpPlatformClient;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** One router: its control thread, traffic threads, servers and clients. */
public final class RouterProcess {
    private static final System.Logger LOG = System.getLogger(RouterProcess.class.getName());
    private static final long TICK_INTERVAL_MS = 50;
    private static final long CACHE_INTERVAL_MS = 1000;

    private final RouterSettings settings;
    private final RouterClock clock = new RouterClock();
    private final RouterMetrics metrics = new RouterMetrics();
    private final Authenticator authenticator = new Authenticator();
    private final Vertx controlVertx =
            Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(2));
    private final Vertx trafficVertx;
    private final List<Long> timers = new ArrayList<>();

    private ControlLoop control;
    private EndpointTracker endpoints;
    private PlatformClient platform;
    private ConfigurationFollower configuration;
    private PeerTransport peers;
    private PeerNode node;
    private CallerServer callers;
    private volatile boolean configured;
    private volatile boolean draining;

    /** Creates a router that is not started. */
    public RouterProcess(RouterSettings settings) {
        this.settings = settings;
        this.trafficVertx = Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(settings.integer(SettingKey.TRAFFIC_THREADS))
                .setWorkerPoolSize(2));
    }

    // Life cycle

    /** Starts all servers; fails if an address is in use or a TLS file cannot be read. */
    public Future<Void> start() {
        Context context = controlVertx.getOrCreateContext();
        TableEndpointDirectory directory = new TableEndpointDirectory();
        ChainPlanner planner = new FewestStagesChainPlanner(directory.table());
        TableDecisionCore core = TableDecisionCore.create(CoreSettings.defaults(), directory, planner);
        control = new ControlLoop(context, clock, core, this::perform);
        ClientOptions options = ClientOptions.defaults();
        endpoints = new EndpointTracker(control, new HttpEngineClient(controlVertx, options, clock, ""));
        platform = new HttpPlatformClient(
                controlVertx,
                settings.text(SettingKey.PLATFORM_HOST),
                settings.integer(SettingKey.PLATFORM_PORT),
                options);
        configuration = new ConfigurationFollower(controlVertx, platform, this::configure);
        peers = new PeerTransport(
                controlVertx,
                PeerTls.of(settings),
                metrics,
                frame -> peers.send(node.receive(frame, clock.getAsLong())));
        callers = new CallerServer(trafficVertx, settings, callerParts(null));
        return peers.listen(settings.text(SettingKey.PEER_HOST), settings.integer(SettingKey.PEER_PORT))
                .compose(port -> onControl(context, () -> startControl(port)))
                .compose(ignored -> callers.start());
    }

    private CallerServer.Parts callerParts(Journal journal) {
        return new CallerServer.Parts(
                control,
                endpoints,
                new JournalAccess(control, journal),
                authenticator,
                new OutcomeRecorder(metrics),
                RouterProcess::newRequestId,
                this::isReady);
    }

    private void startControl(int peerPort) {
        String routerId = settings.text(SettingKey.ROUTER_ID);
        String host = settings.text(SettingKey.PEER_HOST);
        String id = routerId.isEmpty() ? host + ":" + peerPort : routerId;
        long seed = ThreadLocalRandom.current().nextLong();
        node = new PeerNode(
                id,
                settings.text(SettingKey.DATA_CENTRE),
                new Address(host, peerPort),
                System.currentTimeMillis(),
                seed);
        configuration.start();
        every(TICK_INTERVAL_MS, () -> control.post(new Event.Tick()));
        every(PeerNode.TICK_INTERVAL_MS, () -> peers.send(node.tick(clock.getAsLong())));
        every(settings.integer(SettingKey.ENDPOINT_LOAD_INTERVAL_MS), endpoints::readLoads);
        every(CACHE_INTERVAL_MS, endpoints::readCacheEvents);
        every(settings.integer(SettingKey.PLATFORM_VM_LIST_MS), this::readVms);
        readVms();
    }

    /**
     * Stops gracefully: readiness fails at once, running requests finish, and the router leaves its peers.
     *
     * @return completes when the last request was answered or the drain timeout passed
     */
    public Future<Void> drain() {
        draining = true;
        Promise<Void> idle = Promise.promise();
        long timeoutMs = settings.integer(SettingKey.DRAIN_TIMEOUT_MS);
        control.post(new Event.DrainStarted(clock.getAsLong() + timeoutMs));
        control.onIdle(idle::tryComplete);
        controlVertx.setTimer(Math.max(1, timeoutMs), ignored -> idle.tryComplete());
        return idle.future().onSuccess(ignored -> peers.send(node.leave(clock.getAsLong())));
    }

    /** Closes all connections and stops all threads. */
    public Future<Void> close() {
        timers.forEach(controlVertx::cancelTimer);
        configuration.close();
        return trafficVertx.close().eventually(() -> controlVertx.close());
    }

    // Access

    /** Returns the port on which callers are served. */
    public int callerPort() {
        return callers.port();
    }

    /** Returns the metrics of this router. */
    public RouterMetrics metrics() {
        return metrics;
    }

    /** Returns whether the router takes new work. */
    public boolean isReady() {
        return configured && !draining;
    }

    // Internals

    private void readVms() {
        platform.vms().subscribe().with(this::vmsRead, error -> {});
    }

    private void vmsRead(List<Vm> vms) {
        endpoints.vmsListed(vms);
        List<Seed> seeds = vms.stream()
                .filter(vm -> vm.role().equals("router") && !vm.leaving())
                .map(vm -> new Seed(vm.id(), vm.dataCentre(), new Address(vm.host(), vm.port())))
                .toList();
        peers.send(node.join(seeds, clock.getAsLong()));
    }

    private void configure(FleetConfig config) {
        authenticator.configure(config);
        control.post(new Event.ConfigInForce(config));
        configured = true;
    }

    private void perform(Action action) {
        if (action instanceof Action.CountRetry retry) {
            metrics.retried(retry.rank(), retry.reason());
        } else if (action instanceof Action.StateChanged change) {
            LOG.log(System.Logger.Level.INFO, "{0}: {1}", change.subject(), change.change());
        } else if (action instanceof Action.OrderEngine order) {
            order(order);
        }
    }

    private void order(Action.OrderEngine order) {
        EndpointAddress address = endpoints.address(order.endpointId());
        if (address == null) {
            control.post(new Event.OrderAcknowledged(order.endpointId(), order.fencingNumber(), false));
        }
    }

    private void every(long intervalMs, Runnable task) {
        timers.add(controlVertx.setPeriodic(intervalMs, ignored -> task.run()));
    }

    private static Future<Void> onControl(Context context, Runnable task) {
        Promise<Void> done = Promise.promise();
        context.runOnContext(ignored -> {
            task.run();
            done.complete();
        });
        return done.future();
    }

    private static String newRequestId() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return HexFormat.of().toHexDigits(random.nextLong()) + HexFormat.of().toHexDigits(random.nextLong());
    }
}

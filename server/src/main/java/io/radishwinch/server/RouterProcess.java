package io.radishwinch.server;

import io.radishwinch.cluster.PeerNode;
import io.radishwinch.cluster.journal.JournalListener;
import io.radishwinch.cluster.journal.JournalSettings;
import io.radishwinch.cluster.journal.ShardedJournal;
import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.cluster.membership.Seed;
import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformClient.Vm;
import io.radishwinch.config.settings.RouterFeature;
import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.chain.CostChainPlanner;
import io.radishwinch.core.chain.EndpointTable;
import io.radishwinch.core.chain.TableEndpointDirectory;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.health.HealthSettings;
import io.radishwinch.core.impl.CoreSettings;
import io.radishwinch.core.impl.TableDecisionCore;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.placement.NeverGrantedLease;
import io.radishwinch.core.placement.PlacementLease;
import io.radishwinch.core.placement.PlacementPlanner;
import io.radishwinch.core.placement.PlacementSettings;
import io.radishwinch.core.placement.RendezvousPlacementLease;
import io.radishwinch.report.FleetEvent;
import io.radishwinch.server.engine.ClientOptions;
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
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;

/** One router: its control thread, traffic threads, servers and clients. */
public final class RouterProcess {
    /** Reason for which a router that is shutting down is not ready. */
    static final String DRAINING = "the router is shutting down";

    private static final System.Logger LOG = System.getLogger(RouterProcess.class.getName());
    private static final long TICK_INTERVAL_MS = 50;
    private static final long CACHE_INTERVAL_MS = 1000;
    private static final long DAY_TICK_INTERVAL_MS = 10_000;
    private static final long HAND_OVER_TIMEOUT_MS = 2000;
    private static final long SHARE_INTERVAL_MS = 500;

    /** An isolated router stops giving orders after this time, in ms; longer than the detection of a failed router. */
    private static final long PLACEMENT_LEASE_MS = 6000;

    private final RouterSettings settings;
    private final RouterClock clock = new RouterClock();
    private final RouterMetrics metrics = new RouterMetrics();
    private final Authenticator authenticator = new Authenticator();
    private final PlatformHealth platformHealth = new PlatformHealth();
    private final Vertx controlVertx =
            Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(2));
    private final Vertx trafficVertx;
    private final long startedAtMs = System.currentTimeMillis();

    private ControlLoop control;
    private EndpointTracker endpoints;
    private PlatformClient platform;
    private PeerTransport peers;
    private PeerNode node;
    private PeerJournal journalPeers;
    private ShardedJournal journal;
    private ConfigurationFollower configuration;
    private DayService day;
    private OrderSender orders;
    private SharedState shared;
    private DemandMeter demand;
    private RendezvousPlacementLease lease;
    private CallerServer callers;
    private volatile int adminPort;
    private volatile boolean configured;
    private volatile boolean draining;

    /**
     * Parts that the operators' interface reads.
     *
     * @param settings settings in effect
     * @param control control loop
     * @param node membership and shared state
     * @param configuration configuration objects
     * @param platformHealth whether the platform answers
     * @param platform platform
     * @param day records of the day
     * @param endpoints endpoints
     * @param authenticator configuration in effect
     */
    record Parts(
            RouterSettings settings,
            ControlLoop control,
            PeerNode node,
            ConfigurationFollower configuration,
            PlatformHealth platformHealth,
            PlatformClient platform,
            DayService day,
            EndpointTracker endpoints,
            Authenticator authenticator) {}

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
        TableDecisionCore core = decisionCore();
        control = new ControlLoop(context, clock, core, this::perform);
        control.observe(this::observe);
        control.onFinish(requestId -> demand.finished(requestId));
        ClientOptions options = ClientOptions.defaults();
        HttpEngineClient engines = new HttpEngineClient(controlVertx, options, clock, "");
        endpoints = new EndpointTracker(control, engines);
        platform = new HttpPlatformClient(
                controlVertx,
                settings.text(SettingKey.PLATFORM_HOST),
                settings.integer(SettingKey.PLATFORM_PORT),
                options);
        peers = new PeerTransport(
                controlVertx,
                PeerTls.of(settings),
                metrics,
                frame -> peers.send(node.receive(frame, clock.getAsLong())));
        return peers.listen(settings.text(SettingKey.PEER_HOST), settings.integer(SettingKey.PEER_PORT))
                .compose(port -> onControl(context, () -> startControl(context, engines, port)))
                .compose(ignored -> callers.start())
                .compose(ignored -> startAdmin());
    }

    private TableDecisionCore decisionCore() {
        EndpointTable table = new EndpointTable();
        String routerId = settings.text(SettingKey.ROUTER_ID);
        lease = new RendezvousPlacementLease(routerId, PLACEMENT_LEASE_MS);
        PlacementLease effective =
                settings.isEnabled(RouterFeature.PLACEMENT_ORDERS) ? lease : new NeverGrantedLease(PLACEMENT_LEASE_MS);
        PlacementPlanner placement = new PlacementPlanner(
                PlacementSettings.forStore(settings.number(SettingKey.PLACEMENT_STORE_BYTES_PER_S)),
                effective,
                endpointId -> OptionalLong.of(0));
        TableEndpointDirectory directory = new TableEndpointDirectory(table, HealthSettings.defaults(), placement);
        long seed = ThreadLocalRandom.current().nextLong();
        return TableDecisionCore.create(
                CoreSettings.defaults().withSeed(seed), directory, new CostChainPlanner(table, seed));
    }

    private void startControl(Context context, HttpEngineClient engines, int peerPort) {
        String routerId = settings.text(SettingKey.ROUTER_ID);
        String host = settings.text(SettingKey.PEER_HOST);
        String id = routerId.isEmpty() ? host + ":" + peerPort : routerId;
        String processId = PeerJournal.processId(id, startedAtMs);
        Random random = new Random();
        node = new PeerNode(
                id,
                settings.text(SettingKey.DATA_CENTRE),
                new Address(host, peerPort),
                startedAtMs,
                random.nextLong(),
                ConfigurationFollower::problem);
        configuration = new ConfigurationFollower(platform, node, clock, this::configure);
        JournalSettings journalSettings = JournalSettings.of(processId);
        journalPeers = new PeerJournal(controlVertx, node, journalSettings.peerTimeoutMs(), peers::send);
        journal = new ShardedJournal(
                journalSettings,
                platform,
                platform,
                new ControlTimers(controlVertx, context),
                random,
                journalPeers,
                JournalListener.NONE);
        day = new DayService(platform, processId, ZoneId.systemDefault());
        orders = new OrderSender(control, platform, engines, endpoints, processId);
        callers = new CallerServer(trafficVertx, settings, callerParts());
        demand = new DemandMeter(clock.getAsLong());
        shared = new SharedState(
                node,
                control,
                endpoints,
                configuration,
                (sender, message) -> journalPeers.receive(sender, message, journal));
        node.addListener(shared);
        startTimers();
    }

    private CallerServer.Parts callerParts() {
        return new CallerServer.Parts(
                control,
                endpoints,
                new JournalAccess(control, journal),
                authenticator,
                new OutcomeRecorder(metrics, control, outcome -> day.record(outcome)),
                RouterProcess::newRequestId,
                this::isReady);
    }

    private Future<Void> startAdmin() {
        Parts parts = new Parts(
                settings, control, node, configuration, platformHealth, platform, day, endpoints, authenticator);
        AdminControl adminControl = new AdminControl(parts, metrics::scrape, this::notReadyReason);
        return new AdminServer(trafficVertx, settings, adminControl)
                .start()
                .onSuccess(port -> adminPort = port)
                .mapEmpty();
    }

    private void startTimers() {
        every(TICK_INTERVAL_MS, () -> control.post(new Event.Tick()));
        every(PeerNode.TICK_INTERVAL_MS, this::tickPeers);
        every(SHARE_INTERVAL_MS, this::shareLoad);
        every(settings.integer(SettingKey.ENDPOINT_LOAD_INTERVAL_MS), endpoints::readLoads);
        every(CACHE_INTERVAL_MS, endpoints::readCacheEvents);
        every(settings.integer(SettingKey.PLATFORM_VM_LIST_MS), this::readVms);
        every(DAY_TICK_INTERVAL_MS, day::tick);
        every(
                settings.integer(SettingKey.REPORT_INTERVAL_MS),
                () -> day.write().subscribe().with(done -> {}, e -> {}));
        readVms();
    }

    /**
     * Stops gracefully: readiness fails at once, running requests finish, the day summary is written and the router
     * leaves its peers.
     *
     * @return completes when that is done or the drain timeout has passed
     */
    public Future<Void> drain() {
        draining = true;
        LOG.log(System.Logger.Level.INFO, "draining");
        Promise<Void> idle = Promise.promise();
        long timeoutMs = settings.integer(SettingKey.DRAIN_TIMEOUT_MS);
        control.post(new Event.DrainStarted(clock.getAsLong() + timeoutMs));
        control.onIdle(idle::tryComplete);
        controlVertx.setTimer(Math.max(1, timeoutMs), ignored -> idle.tryComplete());
        return idle.future().compose(ignored -> leave());
    }

    private Future<Void> leave() {
        Promise<Void> left = Promise.promise();
        control.execute(() -> {
            day.record(FleetEvent.Kind.DRAIN, node.self().id(), "the router stopped after its requests had finished");
            day.handOver().subscribe().with(done -> left.tryComplete(), error -> left.tryComplete());
            peers.send(node.leave(clock.getAsLong()));
        });
        controlVertx.setTimer(HAND_OVER_TIMEOUT_MS, ignored -> left.tryComplete());
        return left.future();
    }

    /** Closes all connections and stops all threads without waiting for requests. */
    public Future<Void> close() {
        return trafficVertx.close().eventually(() -> controlVertx.close());
    }

    // Access

    /** Returns the port on which callers are served. */
    public int callerPort() {
        return callers.port();
    }

    /** Returns the port on which operators are served. */
    public int adminPort() {
        return adminPort;
    }

    /** Returns the port on which other routers are served. */
    public int peerPort() {
        return node.self().address().port();
    }

    /** Returns the metrics of this router. */
    public RouterMetrics metrics() {
        return metrics;
    }

    /** Returns whether the router takes new work. */
    public boolean isReady() {
        return notReadyReason().isEmpty();
    }

    private Optional<String> notReadyReason() {
        if (draining) {
            return Optional.of(DRAINING);
        }
        return configured ? Optional.empty() : Optional.of("no configuration yet");
    }

    // Control thread

    private void tickPeers() {
        peers.send(node.tick(clock.getAsLong()));
        configuration.tick();
    }

    private void shareLoad() {
        long nowMs = clock.getAsLong();
        node.observe(demand.read(nowMs), nowMs);
        shared.publishLoad();
        List<String> live =
                new ArrayList<>(node.members().stream().map(MemberInfo::id).toList());
        // A router that hears neither from peers nor from the platform may be cut off, so it gives no orders.
        if (!live.isEmpty() || platformHealth.isReachable()) {
            live.add(node.self().id());
            lease.confirm(live, nowMs);
        }
    }

    private void readVms() {
        platform.vms().subscribe().with(this::vmsRead, error -> platformHealth.failed());
    }

    private void vmsRead(List<Vm> vms) {
        platformHealth.succeeded();
        endpoints.vmsListed(vms);
        List<Seed> seeds = new ArrayList<>(configuredSeeds());
        vms.stream()
                .filter(vm -> vm.role().equals("router") && !vm.leaving())
                .forEach(vm -> seeds.add(new Seed(vm.id(), vm.dataCentre(), new Address(vm.host(), vm.port()))));
        peers.send(node.join(seeds, clock.getAsLong()));
    }

    private List<Seed> configuredSeeds() {
        return settings.texts(SettingKey.PEER_SEEDS).stream()
                .map(text -> {
                    int colon = text.lastIndexOf(':');
                    Address address =
                            new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
                    return new Seed(text, settings.text(SettingKey.DATA_CENTRE), address);
                })
                .toList();
    }

    private void configure(FleetConfig config) {
        if (config.version() > authenticator.config().version() && configured) {
            day.record(FleetEvent.Kind.CONFIGURATION, "configuration", "version " + config.version() + " is in effect");
        }
        LOG.log(System.Logger.Level.INFO, "configuration version {0} is in effect", config.version());
        authenticator.configure(config);
        shared.configure(config);
        control.post(new Event.ConfigInForce(config));
        configured = true;
    }

    /** Sees every event before the decision core does. */
    private void observe(Event event) {
        if (event instanceof Event.RequestArrived arrived) {
            demand.arrived(arrived.request());
        } else if (event instanceof Event.CallerGone gone) {
            demand.finished(gone.requestId());
        } else if (event instanceof Event.EndpointLeaving leaving) {
            shared.leaving(leaving.endpointId());
        } else if (event instanceof Event.AttemptFailed failed
                && (failed.reason() == Reason.STAGE_DIED || failed.reason() == Reason.ENDPOINT_TIMEOUT)) {
            endpoints.suspect(failed.failedEndpointId());
        } else if (event instanceof Event.EndpointGone gone && gone.crashed()) {
            day.record(FleetEvent.Kind.FAILURE, gone.endpointId(), "the endpoint does not answer");
        }
    }

    private void perform(Action action) {
        if (action instanceof Action.CountRetry retry) {
            metrics.retried(retry.rank(), retry.reason());
            day.recordRetry(retry.caller(), retry.rank(), retry.reason());
        } else if (action instanceof Action.StateChanged change) {
            LOG.log(System.Logger.Level.INFO, "{0}: {1}", change.subject(), change.change());
            day.record(FleetEvent.Kind.RESPONSE, change.subject(), change.change());
        } else if (action instanceof Action.OrderEngine order) {
            orders.send(order);
        } else if (action instanceof Action.ShareQuarantine quarantine) {
            shared.quarantined(quarantine);
        } else if (action instanceof Action.ShareCrash crash) {
            shared.crashed(crash);
        }
    }

    private void every(long intervalMs, Runnable task) {
        controlVertx.setPeriodic(intervalMs, ignored -> task.run());
    }

    private static Future<Void> onControl(Context context, Runnable task) {
        Promise<Void> done = Promise.promise();
        context.runOnContext(ignored -> {
            try {
                task.run();
                done.complete();
            } catch (RuntimeException e) {
                done.fail(e);
            }
        });
        return done.future();
    }

    private static String newRequestId() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return HexFormat.of().toHexDigits(random.nextLong()) + HexFormat.of().toHexDigits(random.nextLong());
    }
}

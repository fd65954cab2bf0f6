package io.radishwinch.server;

import io.radishwinch.cluster.PeerNode;
import io.radishwinch.cluster.configuration.ConfigurationObject;
import io.radishwinch.cluster.journal.JournalSettings;
import io.radishwinch.cluster.journal.ShardedJournal;
import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.cluster.membership.Seed;
import io.radishwinch.cluster.platform.CallBudget;
import io.radishwinch.cluster.platform.CallPriority;
import io.radishwinch.cluster.platform.CallRates;
import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformClient.Vm;
import io.radishwinch.cluster.platform.ResilientPlatformClient;
import io.radishwinch.cluster.platform.StoreVersion;
import io.radishwinch.config.settings.RouterFeature;
import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import io.radishwinch.core.DecisionCore.CoreView;
import io.radishwinch.core.DecisionCore.PoolView;
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
import io.radishwinch.core.queue.QueueSettings;
import io.radishwinch.core.retry.RetrySettings;
import io.radishwinch.protocol.generated.Frame;
import io.radishwinch.report.FleetEvent;
import io.radishwinch.report.RequestOutcome;
import io.radishwinch.server.engine.ClientOptions;
import io.radishwinch.server.engine.HttpEngineClient;
import io.radishwinch.server.http.CallerConfig;
import io.radishwinch.server.metrics.RouterMetrics;
import io.radishwinch.server.peer.PeerTransport;
import io.radishwinch.server.platform.HttpPlatformClient;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/** Owns the state of the control thread. The constructor and all methods must be called on that thread. */
final class ControlPlane {
    private static final System.Logger LOG = System.getLogger(ControlPlane.class.getName());
    /** State change that every router start causes for each endpoint; logged but left out of the report. */
    private static final String JOINED_CHANGE = "joined";

    private static final long TICK_INTERVAL_MS = 50;
    private static final long CACHE_POLL_INTERVAL_MS = 1000;
    private static final long DAY_TICK_INTERVAL_MS = 10_000;
    private static final long LOAD_SHARE_INTERVAL_MS = 500;
    private static final long FINAL_SUMMARY_TIMEOUT_MS = 2000;
    private static final long LOAD_INTERVAL_PER_ROUTER_MS = 330;

    /**
     * Time after which an isolated router stops sending orders, in ms; longer than the detection of a failed router.
     */
    private static final long PLACEMENT_LEASE_MS = 6000;

    private final Vertx vertx;
    private final RouterSettings settings;
    private final RouterClock clock;
    private final RouterMetrics metrics;
    private final PeerTransport peers;
    private final PeerNode node;
    private final PlatformHealth platformHealth = new PlatformHealth();
    private final ResilientPlatformClient platform;
    private final CallBudget budget;
    private final ControlLoop control;
    private final EndpointTracker endpoints;
    private final ConfigurationFollower configuration;
    private final JournalTransport journalTransport;
    private final JournalSettings journalSettings;
    private final ShardedJournal journal;
    private final DaySummaryService daySummaries;
    private final OrderSender orderSender;
    private final PeerStateBridge peerState;
    private final DemandMeter demandMeter;
    private final RendezvousPlacementLease lease;
    private volatile Map<String, Double> boundTokensPerSByPool = Map.of();
    private final Set<String> failedEndpoints = new HashSet<>();
    private final SurgeDetector surgeDetector;
    private volatile int liveRouters = 1;
    private volatile CallerConfig callerConfig = CallerConfig.empty();
    private boolean hasConfiguration;
    private long nextLoadPublishMs;
    private final List<Long> timerIds = new ArrayList<>();

    ControlPlane(
            Vertx vertx,
            RouterSettings settings,
            RouterClock clock,
            RouterMetrics metrics,
            PeerTransport peers,
            int peerPort) {
        this.vertx = vertx;
        this.settings = settings;
        this.clock = clock;
        this.metrics = metrics;
        this.peers = peers;
        Context context = vertx.getOrCreateContext();
        Random random = new Random();
        long startedAtMs = System.currentTimeMillis();
        String host = settings.text(SettingKey.PEER_HOST);
        String id = settings.text(SettingKey.ROUTER_ID).isEmpty()
                ? host + ":" + peerPort
                : settings.text(SettingKey.ROUTER_ID);
        String processId = JournalTransport.processId(id, startedAtMs);
        node = new PeerNode(
                id,
                settings.text(SettingKey.DATA_CENTRE),
                new Address(host, peerPort),
                startedAtMs,
                random.nextLong(),
                ConfigurationFollower::findError);
        VertxScheduler scheduler = new VertxScheduler(vertx, context, clock);
        budget = new CallBudget(scheduler, CallRates.share(1, 1, 1));
        platform =
                new ResilientPlatformClient(platformClient(), budget, scheduler, random, new PlatformCounters(metrics));
        lease = new RendezvousPlacementLease(id, PLACEMENT_LEASE_MS);
        control = new ControlLoop(context, clock, decisionCore(random.nextLong()), this::performSharedAction);
        demandMeter = new DemandMeter(clock.getAsLong());
        HttpEngineClient engines = new HttpEngineClient(vertx, ClientOptions.defaults(), clock, orderKey());
        endpoints = new EndpointTracker(control, engines);
        configuration = new ConfigurationFollower(platform, scheduler, random, node, clock, this::configure);
        journalSettings = JournalSettings.of(processId);
        journalTransport = new JournalTransport(vertx, node, journalSettings.peerTimeoutMs(), peers::send);
        PlatformClient urgent = platform.withPriority(CallPriority.URGENT);
        PlatformClient background = platform.withPriority(CallPriority.BACKGROUND);
        journal = new ShardedJournal(
                journalSettings, urgent, background, scheduler, random, journalTransport, new JournalCounters(metrics));
        daySummaries = new DaySummaryService(
                vertx, background, processId, ZoneId.of(settings.text(SettingKey.REPORT_TIME_ZONE)));
        surgeDetector = new SurgeDetector(daySummaries::record);
        orderSender = new OrderSender(control, platform, engines, endpoints, processId);
        peerState = new PeerStateBridge(
                node,
                control,
                endpoints,
                this::onConfigurationObject,
                (sender, message) -> journalTransport.receive(sender, message, journal));
        node.addListener(peerState);
        node.addListener(new ConfigurationRejections(
                metrics,
                (key, problem) -> LOG.log(
                        System.Logger.Level.WARNING, "configuration object {0} is rejected, {1}", key, problem)));
        control.setEventObserver(this::observeEvent);
        control.setFinishListener(demandMeter::requestFinished);
    }

    private PlatformClient platformClient() {
        ClientOptions options =
                ClientOptions.defaults().withCallTimeoutMs(settings.integer(SettingKey.PLATFORM_TIMEOUT_MS));
        return new HttpPlatformClient(
                vertx, settings.text(SettingKey.PLATFORM_HOST), settings.integer(SettingKey.PLATFORM_PORT), options);
    }

    private String orderKey() {
        return KeyFiles.read(settings.text(SettingKey.ENDPOINT_ORDER_KEY_FILE));
    }

    private TableDecisionCore decisionCore(long seed) {
        EndpointTable table = new EndpointTable();
        PlacementLease effective =
                settings.isEnabled(RouterFeature.PLACEMENT_ORDERS) ? lease : new NeverGrantedLease(PLACEMENT_LEASE_MS);
        // OrderSender adds the fencing token from the platform; the planner's numbers only distinguish its own orders.
        PlacementPlanner placement = new PlacementPlanner(
                PlacementSettings.forStore(settings.number(SettingKey.PLACEMENT_STORE_BYTES_PER_S)),
                effective,
                endpointId -> OptionalLong.of(0));
        TableEndpointDirectory directory = new TableEndpointDirectory(table, HealthSettings.defaults(), placement);
        QueueSettings queue = QueueSettings.defaults().withCapacity(settings.integer(SettingKey.QUEUE_MAX_REQUESTS));
        RetrySettings retry = RetrySettings.defaults().withMaxAttempts(settings.integer(SettingKey.RETRY_MAX_ATTEMPTS));
        CoreSettings core =
                CoreSettings.defaults().withSeed(seed).withQueue(queue).withRetry(retry);
        return TableDecisionCore.create(core, directory, new CostChainPlanner(table, seed));
    }

    void start() {
        schedulePeriodic(TICK_INTERVAL_MS, () -> control.post(new Event.Tick()));
        schedulePeriodic(PeerNode.TICK_INTERVAL_MS, this::tickPeers);
        schedulePeriodic(LOAD_SHARE_INTERVAL_MS, this::shareLoad);
        schedulePeriodic(settings.integer(SettingKey.ENDPOINT_LOAD_INTERVAL_MS), endpoints::pollLoads);
        schedulePeriodic(CACHE_POLL_INTERVAL_MS, endpoints::pollCacheEvents);
        schedulePeriodic(settings.integer(SettingKey.PLATFORM_VM_LIST_MS), this::pollVms);
        schedulePeriodic(DAY_TICK_INTERVAL_MS, daySummaries::tick);
        schedulePeriodic(
                settings.integer(SettingKey.REPORT_INTERVAL_MS),
                () -> daySummaries.writeSummary().subscribe().with(done -> {}, e -> {}));
        pollVms();
    }

    /** Refuses every request that is submitted after this call; may be called from any thread. */
    void startDrain(long deadlineMs) {
        control.post(new Event.DrainStarted(deadlineMs));
    }

    /** Returns a future that completes when no request is running or the timeout has passed. */
    Future<Void> awaitIdle(long timeoutMs) {
        Promise<Void> idle = Promise.promise();
        control.setIdleListener(idle::tryComplete);
        vertx.setTimer(Math.max(1, timeoutMs), ignored -> idle.tryComplete());
        return idle.future();
    }

    /** Ends the periodic tasks and the watch; what runs then ends with its calls. */
    void stop() {
        timerIds.forEach(vertx::cancelTimer);
        configuration.stop();
    }

    /** Writes the final day summary and announces to the peers that this router leaves. */
    Future<Void> leave() {
        Promise<Void> left = Promise.promise();
        daySummaries.record(
                FleetEvent.Kind.DRAIN, node.self().id(), "the router stopped after its requests had finished");
        daySummaries.writeFinalSummary().subscribe().with(done -> left.tryComplete(), error -> left.tryComplete());
        peers.send(node.leave(clock.getAsLong()));
        vertx.setTimer(FINAL_SUMMARY_TIMEOUT_MS, ignored -> left.tryComplete());
        return left.future();
    }

    /** Records the outcome of a request. */
    void recordOutcome(RequestOutcome outcome) {
        daySummaries.record(outcome);
        surgeDetector.recordOutcome(outcome);
    }

    void receive(Frame frame) {
        peers.send(node.receive(frame, clock.getAsLong()));
    }

    RouterSettings settings() {
        return settings;
    }

    ControlLoop control() {
        return control;
    }

    PeerNode node() {
        return node;
    }

    EndpointTracker endpoints() {
        return endpoints;
    }

    ConfigurationFollower configuration() {
        return configuration;
    }

    PlatformHealth platformHealth() {
        return platformHealth;
    }

    PlatformClient platform() {
        return platform;
    }

    DaySummaryService daySummaries() {
        return daySummaries;
    }

    DemandMeter demandMeter() {
        return demandMeter;
    }

    private void onConfigurationObject(ConfigurationObject object) {
        configuration.markChanged();
        journal.observeEra(StoreVersion.era(object.version()));
    }

    ShardedJournal journal() {
        return journal;
    }

    int liveRouters() {
        return liveRouters;
    }

    /** Returns the throughput bound of each pool in tokens/s, at most 0.5 s old; safe for use by any thread. */
    Map<String, Double> boundTokensPerSByPool() {
        return boundTokensPerSByPool;
    }

    /** Returns the configuration in effect; safe for use by any thread. */
    FleetConfig config() {
        return callerConfig.fleet();
    }

    /** Returns the configuration in effect, as requests are admitted under it; safe for use by any thread. */
    CallerConfig callerConfig() {
        return callerConfig;
    }

    private void tickPeers() {
        control.runGuarded("tick of the peers", () -> peers.send(node.tick(clock.getAsLong())));
        configuration.tick();
    }

    private void shareLoad() {
        long nowMs = clock.getAsLong();
        control.runGuarded("offered load", () -> node.recordOfferedLoad(demandMeter.readAndReset(nowMs), nowMs));
        control.runGuarded("publication of the load", () -> shareView(nowMs));
        control.runGuarded("membership", () -> confirmMembership(nowMs));
        control.runGuarded("surge detection", () -> surgeDetector.tick(nowMs));
    }

    private void shareView(long nowMs) {
        CoreView view = control.core().view();
        boundTokensPerSByPool =
                view.pools().stream().collect(Collectors.toUnmodifiableMap(PoolView::pool, PoolView::boundTokensPerS));
        publishLoad(view, nowMs);
    }

    private void confirmMembership(long nowMs) {
        List<String> live =
                new ArrayList<>(node.members().stream().map(MemberInfo::id).toList());
        // A router without contact to peers and the platform may be isolated, so it must not send orders.
        if (!live.isEmpty() || platformHealth.isReachable()) {
            live.add(node.self().id());
            lease.confirmMembership(live, nowMs);
        }
        liveRouters = node.members().size() + 1;
        updateBudget(liveRouters);
    }

    /**
     * Publishes at an interval proportional to the number of routers, so that the relayed bytes per router stay
     * constant.
     */
    private void publishLoad(CoreView view, long nowMs) {
        if (nowMs >= nextLoadPublishMs) {
            peerState.publishLoad(view);
            nextLoadPublishMs =
                    nowMs + LOAD_INTERVAL_PER_ROUTER_MS * (node.members().size() + 1);
        }
    }

    private void updateBudget(int localRouters) {
        int remoteRouters = node.remoteDataCentres().stream()
                .mapToInt(name -> node.remoteMembers(name).size())
                .sum();
        int owned = 0;
        for (int shard = 0; shard < journalSettings.shardCount(); shard++) {
            if (journalTransport.writerOf(shard).isEmpty()) {
                owned++;
            }
        }
        budget.setRates(
                CallRates.share(Math.max(1, localRouters + remoteRouters), journalSettings.shardCount(), owned));
    }

    private void pollVms() {
        platform.vms()
                .subscribe()
                .with(
                        vms -> {
                            platformHealth.recordSuccess();
                            control.runGuarded("list of endpoints", () -> endpoints.applyVmList(vms));
                            control.runGuarded("list of routers", () -> joinRouters(vms));
                        },
                        error -> platformHealth.recordFailure());
    }

    private void joinRouters(List<Vm> vms) {
        List<Seed> seeds = new ArrayList<>(configuredSeeds());
        vms.stream()
                .filter(vm -> vm.role().equals("router") && !vm.isLeaving())
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
        if (hasConfiguration && config.version() > config().version()) {
            daySummaries.record(
                    FleetEvent.Kind.CONFIGURATION, "configuration", "version " + config.version() + " is in effect");
        }
        LOG.log(System.Logger.Level.INFO, "configuration version {0} is in effect", Long.toString(config.version()));
        CallerConfig published = CallerConfig.of(config);
        peerState.applyLimits(config);
        control.post(new Event.ConfigChanged(config));
        hasConfiguration = true;
        // Published last, so that a request that is admitted under it reaches the core after it.
        callerConfig = published;
    }

    /** Receives every event before the decision core. */
    private void observeEvent(Event event) {
        if (event instanceof Event.RequestArrived arrived) {
            demandMeter.requestArrived(arrived.request());
        } else if (event instanceof Event.CallerDisconnected disconnected) {
            demandMeter.requestFinished(disconnected.requestId());
        } else if (event instanceof Event.EndpointLeaving leaving) {
            peerState.publishLeaving(leaving.endpointId());
        } else if (event instanceof Event.AttemptFailed failed) {
            if (failed.reason() == Reason.STAGE_DIED || failed.reason() == Reason.ENDPOINT_TIMEOUT) {
                endpoints.checkLiveness(failed.failedEndpointId());
            }
        } else if (event instanceof Event.EndpointRemoved removed && removed.hasCrashed()) {
            failedEndpoints.add(removed.endpointId());
            daySummaries.record(FleetEvent.Kind.FAILURE, removed.endpointId(), "the endpoint does not answer");
        } else if (event instanceof Event.EndpointJoined joined
                && failedEndpoints.remove(joined.endpoint().id())) {
            daySummaries.record(FleetEvent.Kind.RECOVERY, joined.endpoint().id(), "the endpoint answers again");
        }
    }

    private void performSharedAction(Action action) {
        if (action instanceof Action.CountRetry retry) {
            metrics.countRetry(retry.rank(), retry.reason());
            daySummaries.recordRetry(retry.caller(), retry.rank(), retry.reason());
        } else if (action instanceof Action.StateChanged change) {
            LOG.log(System.Logger.Level.INFO, "{0}: {1}", change.subject(), change.change());
            if (!change.change().equals(JOINED_CHANGE)) {
                daySummaries.record(FleetEvent.Kind.RESPONSE, change.subject(), change.change());
            }
        } else if (action instanceof Action.OrderEngine order) {
            orderSender.send(order);
        } else if (action instanceof Action.ShareQuarantine quarantine) {
            peerState.publishQuarantine(quarantine);
        } else if (action instanceof Action.ShareCrash crash) {
            peerState.publishCrash(crash);
        } else if (action instanceof Action.SharePromptCrash crash) {
            peerState.publishPromptCrash(crash);
        } else if (action instanceof Action.ShareProvenParts proven) {
            peerState.publishProvenParts(proven);
        }
    }

    private void schedulePeriodic(long intervalMs, Runnable task) {
        timerIds.add(vertx.setPeriodic(intervalMs, ignored -> control.runGuarded("periodic task", task)));
    }
}

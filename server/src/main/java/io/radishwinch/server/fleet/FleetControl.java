package io.radishwinch.server.fleet;

import io.radishwinch.cluster.PeerListener;
import io.radishwinch.cluster.PeerNode;
import io.radishwinch.cluster.configuration.ConfigurationObject;
import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.cluster.membership.RendezvousHash;
import io.radishwinch.cluster.membership.Seed;
import io.radishwinch.cluster.platform.CallBudget;
import io.radishwinch.cluster.platform.CallRates;
import io.radishwinch.cluster.platform.PlatformClient.Change;
import io.radishwinch.cluster.platform.PlatformClient.StoredObject;
import io.radishwinch.cluster.platform.ResilientPlatformClient;
import io.radishwinch.cluster.platform.RestoreDetector;
import io.radishwinch.cluster.platform.StoreVersion;
import io.radishwinch.cluster.platform.WatchFollower;
import io.radishwinch.core.DecisionCore.RequestView;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.chain.CostChainPlanner;
import io.radishwinch.core.chain.EndpointTable;
import io.radishwinch.core.chain.TableEndpointDirectory;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.impl.CoreSettings;
import io.radishwinch.core.impl.TableDecisionCore;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.placement.BalancedLayout;
import io.radishwinch.core.placement.LayoutPlanner;
import io.radishwinch.core.placement.LayoutSettings;
import io.radishwinch.protocol.generated.Frame;
import io.radishwinch.server.ConfigurationRejections;
import io.radishwinch.server.ControlLoop;
import io.radishwinch.server.PeerStateBridge;
import io.radishwinch.server.PlatformCounters;
import io.radishwinch.server.VertxScheduler;
import io.radishwinch.server.metrics.RouterMetrics;
import io.radishwinch.server.peer.PeerTransport;
import io.radishwinch.server.proxy.ContactLookup;
import io.radishwinch.server.proxy.EndpointNoticeListener;
import io.radishwinch.server.proxy.PeerRelays;
import io.radishwinch.server.proxy.RequestLimitListener;
import io.radishwinch.server.route.RoutingConfig;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Random;
import java.util.function.LongSupplier;

/** Owns the state of the control thread of a fleet router. Methods run on that thread unless documented otherwise. */
final class FleetControl {

    /** Interval of all periodic work, in ms; one shared interval, because each wake-up of the thread costs CPU time. */
    private static final long TICK_INTERVAL_MS = PeerNode.TICK_INTERVAL_MS;

    /** Ticks between two publications of this router's load. */
    private static final int TICKS_PER_LOAD_PUBLICATION = 5;

    /** Longest backoff while the platform is unreachable, in ms; also the longest time until its return is detected. */
    private static final long MAX_PLATFORM_BACKOFF_MS = 1_000;

    /**
     * Time-to-live of the gossip entry for a leaving endpoint, in ms. By then the other routers see the change in the
     * platform's list. It is short because an endpoint whose entry expired may return under the same identifier.
     */
    private static final long LEAVING_ENTRY_TTL_MS = 4_000;

    /** Number of live routers that try to take a lease; with more, most attempts would be conflicts. */
    private static final int LEASE_CANDIDATES = 3;

    /**
     * Fraction of the platform's rate limits that all routers use together; the rest is for operators and endpoints.
     */
    private static final double PLATFORM_RATE_SHARE = 0.5;

    /** Time-to-live of the gossip entry for a released lease, in ms; by then its candidates have read it. */
    private static final long RELEASED_LEASE_TTL_MS = 10_000;

    private final Vertx vertx;
    private final FleetSettings settings;
    private final LongSupplier clock;
    private final RouterMetrics metrics;
    private final PeerTransport peers;
    private final PeerNode node;
    private final Random random = new Random();
    private final FleetLog log;
    private final DecisionLogger decisionLogger;
    private final ResilientPlatformClient platform;
    private final CallBudget budget;
    private final ControlLoop control;
    private final EndpointRegistry registry;
    private final EndpointHealthChecker healthChecker;
    private final LayerOrderSender orderSender;
    private final EndpointReachability reachability;
    private final PeerDirectory relays;
    private final StreamRerouter rerouter;
    private final LeaseManager leaseManager;
    private final ConfigHolder config;
    private final FleetDialect dialect;
    private final PeerStateBridge peerState;
    private final RequestLimits requestLimits;
    private final EndpointNotices endpointNotices;
    private final WatchFollower endpointFollower;
    private final WatchFollower configFollower;
    private final RouterDirectory routerDirectory;
    private final PlatformLiveness platformLiveness;
    private final RestoreDetector restoreDetector = new RestoreDetector();
    private volatile int liveRouters = 1;
    private volatile boolean hasEndpointList;
    private boolean wasPlatformAvailable = true;
    private boolean hasRouterList;
    private boolean isWatching;
    private long routerListDeadlineMs;
    private long tickCount;
    private long tickTimerId = -1;

    FleetControl(
            Vertx vertx,
            FleetSettings settings,
            LongSupplier clock,
            RouterMetrics metrics,
            PeerTransport peers,
            FleetDialect dialect,
            FleetRouter.Clients clients,
            FleetLog log) {
        this.vertx = vertx;
        this.settings = settings;
        this.clock = clock;
        this.metrics = metrics;
        this.peers = peers;
        this.log = log;
        this.dialect = dialect;
        decisionLogger = new DecisionLogger(log, this::requestView);
        Context context = vertx.getOrCreateContext();
        node = new PeerNode(
                settings.routerId(),
                settings.dataCentre(),
                settings.peers(),
                System.currentTimeMillis(),
                random.nextLong());
        node.setSharesEndpointState(true, FleetCoreSettings.LOAD_BYTES_PER_S);
        node.electWatchers();
        VertxScheduler scheduler = new VertxScheduler(vertx, context, clock);
        budget = new CallBudget(scheduler, rates(1));
        platform = new ResilientPlatformClient(
                clients.platform(), budget, scheduler, random, new PlatformCounters(metrics), MAX_PLATFORM_BACKOFF_MS);
        leaseManager = new LeaseManager(
                settings.routerId(),
                node.self().incarnation(),
                settings.dataCentre(),
                platform,
                dialect.routerObjectPrefix() + "lease-",
                new MembershipView(),
                this::newNonce,
                this::publishLeaseReleased,
                log);
        control = new ControlLoop(context, clock, decisionCore(), this::performSharedAction);
        registry = new EndpointRegistry(control::post, new PeerPublisher(), log, settings.relistGraceMs());
        metrics.gauge(
                "radishwinch.endpoints.unreadable",
                "endpoints whose entry cannot be read, which get no requests",
                registry::unreadableCount);
        endpointNotices = new EndpointNotices(registry, control::execute, control::post, clock);
        reachability = createReachability(clients.endpoints());
        relays = createRelays();
        healthChecker = new EndpointHealthChecker(
                clients.endpoints(), registry, endpointNotices::isPaused, reachability, log, clock);
        orderSender = new LayerOrderSender(
                clients.endpoints(), registry, scheduler, control::post, leaseManager::recheckHeldLeases, log, clock);
        rerouter = new StreamRerouter(clients.endpoints(), registry, control::post, log);
        // A request that the traffic threads admit under a configuration reaches the core after it.
        config = new ConfigHolder(dialect, log, announced -> control.post(new Event.ConfigChanged(announced.fleet())));
        requestLimits = new RequestLimits(
                settings.routerId(),
                this::routersThatUse,
                control::execute,
                control::post,
                this::publishRequestLimit,
                clock,
                log);
        clients.endpoints().setLeavingListener(endpointNotices::leaving);
        peerState =
                new PeerStateBridge(node, control, new PeerStateReceiver(), this::applyObject, (sender, message) -> {});
        node.addListener(peerState);
        node.addListener(new HeartbeatReceiver());
        node.addListener(new ConfigurationRejections(
                metrics, (key, problem) -> log.stateChanged("config-rejected", key, problem)));
        control.setEventObserver(this::observeEvent);
        control.setActionObserver(decisionLogger::logAction);
        endpointFollower = new WatchFollower(
                platform, scheduler, random, dialect.endpointPrefix(), new EndpointReceiver(), MAX_PLATFORM_BACKOFF_MS);
        configFollower = new WatchFollower(
                platform,
                scheduler,
                random,
                dialect.configPrefix(),
                new PlatformReceiver(dialect.configPrefix()),
                MAX_PLATFORM_BACKOFF_MS);
        platformLiveness = new PlatformLiveness(platform);
        routerDirectory =
                new RouterDirectory(platform, dialect.routerObjectPrefix() + "router-", node.self(), this::newNonce);
    }

    private TableDecisionCore decisionCore() {
        long seed = random.nextLong();
        EndpointTable table = new EndpointTable(FleetCoreSettings.links(settings.dataCentre()));
        LayoutPlanner placement = new LayoutPlanner(LayoutSettings.defaults(), new BalancedLayout(), leaseManager);
        TableEndpointDirectory directory = new TableEndpointDirectory(table, FleetCoreSettings.health(), placement);
        CoreSettings core = FleetCoreSettings.core(settings.retryLimit()).withSeed(seed);
        return TableDecisionCore.create(core, directory, new CostChainPlanner(table, seed));
    }

    private EndpointReachability createReachability(EndpointControl endpoints) {
        return new EndpointReachability(
                endpoints, settings.dataCentre(), registry::joinedContacts, random, clock, this::onIsolationChanged);
    }

    private PeerDirectory createRelays() {
        OptionalInt relayPort =
                settings.relay().stream().mapToInt(Address::port).findFirst();
        return new PeerDirectory(settings.dataCentre(), relayPort, reachability, control::execute, clock, log, metrics);
    }

    private CallRates rates(int routerCount) {
        return new CallRates(
                PLATFORM_RATE_SHARE * settings.platformReadsPerS() / routerCount,
                PLATFORM_RATE_SHARE * settings.platformWritesPerS() / routerCount);
    }

    void start() {
        tickTimerId = vertx.setPeriodic(TICK_INTERVAL_MS, ignored -> tick());
        endpointFollower.listOnce();
        configFollower.listOnce();
        routerListDeadlineMs = clock.getAsLong() + settings.retryLimit().windowMs();
        routerDirectory.registerAndList(this::applyRouterList);
        join(List.of());
    }

    /** Tells the core that the router will drain. */
    void requestStop(long deadlineMs) {
        control.execute(leaseManager::requestStop);
        control.post(new Event.StopRequested(deadlineMs));
    }

    /** Starts to refuse new requests. */
    void startDrain(long deadlineMs) {
        control.post(new Event.DrainStarted(deadlineMs));
    }

    /** Ends the periodic tasks and the watches; what runs then ends with its calls. */
    void stop() {
        vertx.cancelTimer(tickTimerId);
        endpointFollower.stop();
        configFollower.stop();
    }

    /** Announces to the other routers that this one leaves. */
    void leave() {
        endpointFollower.stop();
        configFollower.stop();
        peers.send(node.leave(clock.getAsLong()));
    }

    void receive(Frame frame) {
        peers.send(node.receive(frame, clock.getAsLong()));
    }

    /** Returns the control loop; safe for use by any thread. */
    ControlLoop control() {
        return control;
    }

    /** Returns the addresses of the endpoints; safe for use by any thread. */
    ContactLookup contacts() {
        return registry;
    }

    /** Returns the receiver of the request limits that endpoints name; safe for use by any thread. */
    RequestLimitListener requestLimits() {
        return requestLimits;
    }

    /** Returns the receiver of what endpoints announce about themselves; safe for use by any thread. */
    EndpointNoticeListener endpointNotices() {
        return endpointNotices;
    }

    /** Returns the configuration in effect; safe for use by any thread. */
    RoutingConfig config() {
        return config.inEffect();
    }

    /** Returns the number of live routers, including this one; safe for use by any thread. */
    int liveRouters() {
        return liveRouters;
    }

    /** Returns whether the configuration and the endpoint list are known; safe for use by any thread. */
    boolean isReady() {
        return hasEndpointList && config.inEffect().version() > 0;
    }

    /** Returns the routers that take requests while this one reaches no endpoint; safe for use by any thread. */
    PeerRelays relays() {
        return relays;
    }

    /** Checks the link to the endpoints because a connection to one could not be opened; safe for use by any thread. */
    void suspectConnection(String endpointId) {
        control.execute(() -> reachability.suspect(endpointId));
    }

    private void onIsolationChanged(boolean isIsolated) {
        log.stateChanged(
                isIsolated ? "endpoints-unreachable" : "endpoints-reachable",
                settings.routerId(),
                isIsolated ? "requests are relayed to other routers" : "");
        leaseManager.setSuspended(isIsolated);
    }

    /** Checks an endpoint whose streams are unresponsive; safe for use by any thread. */
    void checkStalledStreams(String endpointId) {
        control.execute(() -> healthChecker.checkStalledStreams(endpointId));
    }

    private void tick() {
        long nowMs = clock.getAsLong();
        control.runGuarded("tick of the platform's state", () -> followAvailability(nowMs));
        control.runGuarded("tick of the platform's watches", () -> followPlatform(nowMs));
        control.runGuarded("tick of the endpoint registry", () -> registry.tick(nowMs));
        control.runGuarded("tick of the health checker", () -> healthChecker.tick(nowMs));
        control.runGuarded("tick of the order sender", orderSender::tick);
        control.runGuarded("tick of the leases", () -> leaseManager.tick(nowMs));
        control.runGuarded("tick of the request limits", () -> requestLimits.tick(nowMs));
        if (++tickCount % TICKS_PER_LOAD_PUBLICATION == 0) {
            control.runGuarded("publication of the load", this::publishLoad);
        }
        control.runGuarded("tick of the peers", () -> peers.send(node.tick(nowMs)));
        control.post(new Event.Tick());
    }

    private void followAvailability(long nowMs) {
        boolean isAvailable = platform.isAvailable();
        if (isAvailable != wasPlatformAvailable) {
            wasPlatformAvailable = isAvailable;
            registry.setPlatformReachable(isAvailable, nowMs);
            log.stateChanged(isAvailable ? "dependency-regained" : "dependency-lost", "platform", "");
        }
    }

    /** Watches the platform if this router was elected, and tells the others whether its changes arrive. */
    private void followPlatform(long nowMs) {
        boolean isWatcher = node.isElectedWatcher();
        if (isWatcher != isWatching) {
            isWatching = isWatcher;
            log.stateChanged(isWatcher ? "platform-watch-started" : "platform-watch-stopped", settings.routerId(), "");
            if (!isWatcher) {
                endpointFollower.stop();
                configFollower.stop();
            }
        }
        if (isWatcher) {
            endpointFollower.start();
            configFollower.start();
        }
        boolean isFollowing = endpointFollower.isCurrent() && configFollower.isCurrent();
        if (isWatcher && isFollowing) {
            platformLiveness.tick(nowMs);
        }
        node.setPlatformWatchState(isFollowing && platformLiveness.isResponding(), registry.relistGraceMs(nowMs));
    }

    private void publishLeaseReleased(String leaseKey) {
        peerState.publishLeaseReleased(leaseKey, RELEASED_LEASE_TTL_MS);
    }

    private void publishRequestLimit(String endpointId, OptionalDouble limitPerS) {
        peerState.publishRequestLimit(endpointId, limitPerS, RequestLimits.TTL_MS);
    }

    /**
     * Returns the routers that may send requests to an endpoint: those of its data centre if it is an engine, because
     * others use it only while their own engines do not hold all layers, and all routers otherwise.
     */
    private List<String> routersThatUse(String endpointId) {
        List<String> local = new ArrayList<>(List.of(settings.routerId()));
        node.members().forEach(member -> local.add(member.id()));
        Optional<EndpointEntry> entry = registry.entry(endpointId);
        boolean isEngine = entry.isPresent()
                && config.inEffect()
                        .fleet()
                        .enginePools()
                        .containsKey(entry.get().service());
        if (isEngine && entry.get().dataCentre().equals(settings.dataCentre())) {
            return local;
        }
        if (isEngine && !node.remoteMembers(entry.get().dataCentre()).isEmpty()) {
            return node.remoteMembers(entry.get().dataCentre()).stream()
                    .map(MemberInfo::id)
                    .toList();
        }
        node.remoteDataCentres().forEach(name -> node.remoteMembers(name).forEach(member -> local.add(member.id())));
        return local;
    }

    /** Returns the live routers of all data centres other than this one. */
    private List<MemberInfo> liveMembers() {
        List<MemberInfo> live = new ArrayList<>(node.members());
        node.remoteDataCentres().forEach(name -> live.addAll(node.remoteMembers(name)));
        return live;
    }

    private void publishLoad() {
        peerState.publishLoad(control.core().view());
        List<MemberInfo> peers = liveMembers();
        relays.setPeers(peers);
        int live = peers.size() + 1;
        if (live != liveRouters) {
            liveRouters = live;
            budget.setRates(rates(live));
            boolean isSmallFleet = live <= FleetCoreSettings.MAX_ROUTERS_SHARING_LOAD;
            node.setSharesEndpointState(
                    isSmallFleet, isSmallFleet ? FleetCoreSettings.LOAD_BYTES_PER_S : PeerNode.LOAD_BYTES_PER_S);
        }
        if (hasRouterList || clock.getAsLong() >= routerListDeadlineMs) {
            control.post(new Event.RouterCountChanged(live));
        }
    }

    private void applyRouterList(Collection<Seed> known) {
        hasRouterList = true;
        control.post(new Event.RouterCountChanged(known.size() + 1));
        join(known);
    }

    /** Adopts what the watchers know of an outage of the platform that this router may not have noticed. */
    private final class HeartbeatReceiver implements PeerListener {

        @Override
        public void platformHeartbeat(long relistGraceMs) {
            if (relistGraceMs > 0) {
                registry.extendRelistGrace(clock.getAsLong() + relistGraceMs);
            }
        }
    }

    private void join(Collection<Seed> known) {
        List<Seed> seeds = new ArrayList<>(known);
        for (Address address : settings.seeds()) {
            boolean isKnown = seeds.stream().anyMatch(seed -> seed.address().equals(address));
            if (!isKnown && !address.equals(settings.peers())) {
                seeds.add(new Seed(address.toString(), settings.dataCentre(), address));
            }
        }
        peers.send(node.join(seeds, clock.getAsLong()));
    }

    /** Membership of all data centres, as the lease manager uses it. */
    private final class MembershipView implements LeaseManager.LiveMembers {

        @Override
        public Optional<Long> incarnation(String routerId) {
            return liveMembers().stream()
                    .filter(member -> member.id().equals(routerId))
                    .map(MemberInfo::incarnation)
                    .findFirst();
        }

        @Override
        public boolean isCandidate(String key) {
            List<String> ids = new ArrayList<>(List.of(settings.routerId()));
            node.members().forEach(member -> ids.add(member.id()));
            if (!key.equals(settings.dataCentre())) {
                node.remoteDataCentres()
                        .forEach(name -> node.remoteMembers(name).forEach(member -> ids.add(member.id())));
            }
            return RendezvousHash.isAmongTop(settings.routerId(), "lease/" + key, ids, LEASE_CANDIDATES);
        }

        @Override
        public boolean hasRouters(String dataCentre) {
            return dataCentre.equals(settings.dataCentre())
                    || !node.remoteMembers(dataCentre).isEmpty();
        }
    }

    /** Shares a change seen at the platform, so that routers that the platform rejects receive it from this one. */
    private void offerToPeers(Change change) {
        if (change.key().equals(dialect.configKey())) {
            offerConfigToPeers(change);
        } else {
            node.offerConfiguration(
                    change.key(), change.version(), change.value().orElse(null), clock.getAsLong());
        }
    }

    /**
     * Shares a configuration under the version that it names itself, so that a store that was restored from an older
     * copy does not replace a later one at any router.
     */
    private void offerConfigToPeers(Change change) {
        if (change.value().isEmpty()) {
            log.stateChanged("config-missing", dialect.configKey(), "the one in effect is kept");
            return;
        }
        dialect.configVersion(change.value().get())
                .peek(version -> node.offerConfiguration(
                        change.key(), version, change.value().get(), clock.getAsLong()))
                .peekLeft(problem -> log.stateChanged("config-unreadable", dialect.configKey(), problem));
    }

    /** Applies an object newer than the known one, received from the platform or from another router. */
    private void applyObject(ConfigurationObject object) {
        if (object.key().startsWith(dialect.endpointPrefix())) {
            applyEndpointObject(object);
        } else if (object.key().equals(dialect.configKey()) && !object.isDeleted()) {
            offerConfiguration(object.value(), object.version());
        }
    }

    private void applyEndpointObject(ConfigurationObject object) {
        String instanceId = object.key().substring(dialect.endpointPrefix().length());
        long nowMs = clock.getAsLong();
        observeEra(StoreVersion.era(object.version()), nowMs);
        if (object.isDeleted()) {
            registry.applyRemoval(instanceId, nowMs);
            return;
        }
        hasEndpointList = true;
        registry.applyEncoded(instanceId, () -> dialect.decodeEndpoint(instanceId, object.value()), nowMs);
    }

    /**
     * Notices that the store was restored from an older copy, by the first object of its new era. Other routers may
     * pass it on before this one reads the store.
     */
    private void observeEra(long era, long nowMs) {
        if (restoreDetector.observe(era)) {
            log.stateChanged("store-restored", "platform", "era " + era);
            registry.onStoreRestored(nowMs);
            leaseManager.onStoreRestored(nowMs);
            routerDirectory.register();
        }
    }

    private void offerConfiguration(byte[] value, long version) {
        if (config.offer(value, version)) {
            RoutingConfig current = config.inEffect();
            registry.configure(current.fleet(), clock.getAsLong());
        }
    }

    /** Shares the platform's objects under a prefix with the other routers. */
    private class PlatformReceiver implements WatchFollower.Receiver {
        private final String prefix;

        PlatformReceiver(String prefix) {
            this.prefix = prefix;
        }

        @Override
        public void onChange(Change change) {
            offerToPeers(change);
        }

        @Override
        public void onListingDiscarded(long storeVersion, long neededVersion) {
            log.stateChanged(
                    "listing-discarded",
                    prefix,
                    "store version " + StoreVersion.toString(storeVersion) + ", expected at least "
                            + StoreVersion.toString(neededVersion));
        }
    }

    /** Shares the platform's endpoint list, whose listings show deletions as well. */
    private final class EndpointReceiver extends PlatformReceiver {

        EndpointReceiver() {
            super(dialect.endpointPrefix());
        }

        @Override
        public void onListing(Collection<StoredObject> objects, long storeVersion) {
            hasEndpointList = true;
            List<ConfigurationObject> listing = objects.stream()
                    .map(object -> new ConfigurationObject(object.key(), object.version(), object.value()))
                    .toList();
            node.offerConfigurationListing(dialect.endpointPrefix(), listing, storeVersion, clock.getAsLong());
        }
    }

    /** Publishes endpoint states detected by this router to the other routers of the data centre. */
    private final class PeerPublisher implements EndpointRegistry.EndpointStateListener {

        @Override
        public void endpointLeaving(String endpointId) {
            peerState.publishLeaving(endpointId, LEAVING_ENTRY_TTL_MS);
        }

        @Override
        public void endpointUnreachable(String endpointId) {
            peerState.publishUnreachable(endpointId);
        }
    }

    /** Applies endpoint states detected by another router of the data centre. */
    private final class PeerStateReceiver implements PeerStateBridge.PeerEndpointListener {

        @Override
        public void endpointLeaving(String endpointId) {
            registry.markLeavingByPeer(endpointId, clock.getAsLong());
        }

        @Override
        public void endpointUnreachable(String endpointId) {
            healthChecker.check(endpointId);
        }

        @Override
        public void requestLimitChanged(String endpointId, OptionalDouble limitPerS) {
            requestLimits.apply(endpointId, limitPerS);
        }

        @Override
        public void leaseReleased(String leaseKey) {
            leaseManager.recheck(leaseKey);
        }
    }

    private void observeEvent(Event event) {
        decisionLogger.logEvent(event, config.inEffect().version());
        if (event instanceof Event.AttemptFailed failed) {
            boolean mayBeDead = failed.reason() == Reason.STAGE_DIED || failed.reason() == Reason.ENDPOINT_TIMEOUT;
            if (mayBeDead) {
                healthChecker.check(failed.failedEndpointId());
            } else if (failed.reason() == Reason.ENDPOINT_CHANGED) {
                healthChecker.checkHoldings(failed.failedEndpointId());
            }
        }
    }

    private void performSharedAction(Action action) {
        if (action instanceof Action.CountRetry retry) {
            metrics.countRetry(retry.rank(), retry.reason());
        } else if (action instanceof Action.StateChanged change) {
            log.stateChanged("state-changed", change.subject(), change.change());
        } else if (action instanceof Action.OrderEngine order) {
            orderSender.send(order);
        } else if (action instanceof Action.RerouteAttempt reroute) {
            rerouter.reroute(reroute);
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

    private Optional<RequestView> requestView(String requestId) {
        return control.core().request(requestId);
    }

    private String newNonce() {
        return HexFormat.of().toHexDigits(random.nextLong());
    }
}

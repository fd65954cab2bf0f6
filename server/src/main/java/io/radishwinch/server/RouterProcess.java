package io.radishwinch.server;

import io.radishwinch.config.build.BuildIdentity;
import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import io.radishwinch.server.http.CallerServer;
import io.radishwinch.server.http.JournalAccess;
import io.radishwinch.server.metrics.RouterMetrics;
import io.radishwinch.server.peer.PeerTls;
import io.radishwinch.server.peer.PeerTransport;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/** Runs one router: its control thread, traffic threads, servers and clients. */
public final class RouterProcess {
    /** Reason that the readiness check gives while the router drains. */
    static final String DRAINING_REASON = "the router is shutting down";

    private static final System.Logger LOG = System.getLogger(RouterProcess.class.getName());

    private final RouterSettings settings;
    private final RouterClock clock = new RouterClock();
    private final RouterMetrics metrics = new RouterMetrics();
    private final Vertx controlVertx =
            Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(2));
    private final Vertx trafficVertx;

    private PeerTransport peers;
    private ControlPlane plane;
    private CallerServer callers;
    private volatile int peerPort;
    private volatile int adminPort;
    private volatile boolean isDraining;
    private volatile boolean isClosing;

    /** Creates a router without starting it. */
    public RouterProcess(RouterSettings settings) {
        this.settings = settings;
        this.trafficVertx = Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(settings.integer(SettingKey.TRAFFIC_THREADS))
                .setWorkerPoolSize(2));
    }

    /** Starts all servers. The returned future fails if an address is in use or a key or TLS file is unreadable. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        controlVertx.getOrCreateContext().runOnContext(ignored -> startPeers().onComplete(started));
        return started.future();
    }

    /**
     * Runs on the control thread, because each part of the control plane must be created on the context that owns it.
     */
    private Future<Void> startPeers() {
        peers = new PeerTransport(controlVertx, PeerTls.of(settings), metrics, frame -> plane.receive(frame));
        return peers.listen(settings.text(SettingKey.PEER_HOST), settings.integer(SettingKey.PEER_PORT))
                .compose(this::startServers);
    }

    private Future<Void> startServers(int listeningPort) {
        peerPort = listeningPort;
        plane = new ControlPlane(controlVertx, settings, clock, metrics, peers, listeningPort);
        InternalErrors errors = plane.control().errors();
        errors.bindTo(metrics);
        errors.receiveFrom(controlVertx, "the control thread");
        errors.receiveFrom(trafficVertx, "the traffic threads");
        callers = new CallerServer(trafficVertx, settings, callerParts());
        AdminControl adminControl = new AdminControl(plane, metrics::scrape, this::notReadyReason);
        registerGauges();
        plane.start();
        AdminServer admin = new AdminServer(trafficVertx, settings, adminControl);
        startTlsReload(admin);
        return callers.start()
                .compose(ignored -> admin.start())
                .onSuccess(port -> adminPort = port)
                .mapEmpty();
    }

    private CallerServer.Dependencies callerParts() {
        return new CallerServer.Dependencies(
                plane.control(),
                plane.endpoints(),
                new JournalAccess(plane.control(), plane.journal()),
                plane::callerConfig,
                new OutcomeRecorder(
                        metrics,
                        plane.control(),
                        plane::recordOutcome,
                        new ResponseCutLog(new StructuredLog(clock)),
                        () -> isClosing),
                RouterProcess::newRequestId,
                this::isReady);
    }

    private void startTlsReload(AdminServer admin) {
        TlsReloader reloader = new TlsReloader();
        reloader.add(
                "callers", files(SettingKey.CALLER_TLS_CERT_FILE, SettingKey.CALLER_TLS_KEY_FILE), callers::reloadTls);
        reloader.add(
                "operators", files(SettingKey.ADMIN_TLS_CERT_FILE, SettingKey.ADMIN_TLS_KEY_FILE), admin::reloadTls);
        PeerTls.of(settings)
                .ifPresent(tls -> reloader.add(
                        "routers", List.of(tls.certFile(), tls.keyFile(), tls.caFile()), () -> peers.reloadTls(tls)));
        reloader.start(controlVertx, settings.integer(SettingKey.TLS_RELOAD_MS));
    }

    private List<String> files(SettingKey... keys) {
        return Arrays.stream(keys).map(settings::text).toList();
    }

    private void registerGauges() {
        metrics.build(BuildIdentity.ofProcess());
        metrics.gauge("radishwinch.caller.connections", "open connections of callers", callers::openConnections);
        metrics.gauge("radishwinch.caller.body.bytes", "memory taken by request bodies", callers::bodyBytes);
        metrics.gauge("radishwinch.config.version", "version of the configuration in effect", () -> plane.config()
                .version());
    }

    /**
     * Drains the router: readiness fails at once, running requests finish, their responses are written, the day summary
     * is written and the router leaves the membership.
     *
     * @return future that completes when the router has left or the drain timeout has passed
     */
    public Future<Void> drain() {
        isDraining = true;
        LOG.log(System.Logger.Level.INFO, "draining; build {0}", BuildIdentity.ofProcess());
        Promise<Void> drained = Promise.promise();
        long timeoutMs = settings.integer(SettingKey.DRAIN_TIMEOUT_MS);
        long deadlineMs = plane.control().nowMs() + timeoutMs;
        plane.startDrain(deadlineMs);
        plane.control().execute(() -> plane.awaitIdle(timeoutMs)
                .compose(ignored -> awaitWritten(deadlineMs))
                .onComplete(
                        ignored -> plane.control().execute(() -> plane.leave().onComplete(drained))));
        return drained.future();
    }

    /** Returns a future that completes when the responses to all finished requests are written or the time is over. */
    private Future<Void> awaitWritten(long deadlineMs) {
        Promise<Void> written = Promise.promise();
        callers.whenWritten().onComplete(ignored -> written.tryComplete());
        long leftMs = deadlineMs - plane.control().nowMs();
        controlVertx.setTimer(Math.max(1, leftMs), ignored -> written.tryComplete());
        return written.future();
    }

    /** Closes all connections and stops all threads without waiting for requests. */
    public Future<Void> close() {
        isClosing = true;
        return trafficVertx.close().eventually(this::stopControl).eventually(() -> controlVertx.close());
    }

    /** Ends the tasks of the control thread, which would otherwise call clients that are closed with their Vert.x. */
    private Future<Void> stopControl() {
        Promise<Void> ended = Promise.promise();
        controlVertx.getOrCreateContext().runOnContext(ignored -> {
            if (plane != null) {
                plane.stop();
            }
            ended.complete();
        });
        return ended.future();
    }

    /** Returns what counts the exceptions that a fault of the router explains. */
    InternalErrors errors() {
        return plane.control().errors();
    }

    /** Returns the listen port for callers. */
    public int callerPort() {
        return callers.port();
    }

    /** Returns the listen port for operators. */
    public int adminPort() {
        return adminPort;
    }

    /** Returns the listen port for other routers. */
    public int peerPort() {
        return peerPort;
    }

    /** Returns the number of live routers in the data centre, including this one; at most 0.5 s old. */
    public int liveRouters() {
        return plane.liveRouters();
    }

    /** Returns the metrics of this router. */
    public RouterMetrics metrics() {
        return metrics;
    }

    /** Returns whether the router accepts new requests. */
    public boolean isReady() {
        return notReadyReason().isEmpty();
    }

    private Optional<String> notReadyReason() {
        if (isDraining) {
            return Optional.of(DRAINING_REASON);
        }
        return plane.callerConfig().isEmpty() ? Optional.of("no configuration yet") : Optional.empty();
    }

    private static String newRequestId() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return HexFormat.of().toHexDigits(random.nextLong()) + HexFormat.of().toHexDigits(random.nextLong());
    }
}

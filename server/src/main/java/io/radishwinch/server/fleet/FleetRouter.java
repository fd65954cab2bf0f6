package io.radishwinch.server.fleet;

import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.config.build.BuildIdentity;
import io.radishwinch.server.InternalErrors;
import io.radishwinch.server.LogFields;
import io.radishwinch.server.OutcomeCounter;
import io.radishwinch.server.RouterClock;
import io.radishwinch.server.metrics.RouterMetrics;
import io.radishwinch.server.peer.PeerTransport;
import io.radishwinch.server.proxy.ProxyServer;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.function.Function;

/** Runs one router of a fleet: its control thread, its traffic thread and its servers. */
public final class FleetRouter {

    private static final int HTTP_OK = 200;
    private static final int HTTP_NOT_FOUND = 404;
    private static final int HTTP_UNAVAILABLE = 503;

    /**
     * Time after a stop request for which new requests are still served, in ms; the load balancer needs 2 s to react.
     */
    private static final long DRAIN_DELAY_MS = 2_800;

    /** Time after a stop request by which the load balancer opens no new connections, in ms; two readiness checks. */
    private static final long OUT_OF_ROTATION_MS = 2_000;

    /** Part of the stop grace period that is reserved for closing connections, in ms. */
    private static final long CLOSE_MARGIN_MS = 500;

    /**
     * Part of the stop grace period, after the last request must have ended, in which its response is written, in ms.
     */
    private static final long FLUSH_MARGIN_MS = 200;

    /** Time in which the message that this router leaves reaches the other routers, in ms. */
    private static final long LEAVE_DELAY_MS = 50;

    private final FleetSettings settings;
    private final FleetDialect dialect;
    private final Function<Vertx, Clients> clientFactory;
    private final RouterClock clock = new RouterClock();
    private final FleetLog log = new FleetLog(clock);
    private final RouterMetrics metrics = new RouterMetrics();
    private final Vertx controlVertx = Vertx.vertx(
            new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
    private final Vertx trafficVertx = Vertx.vertx(
            new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));

    private final Promise<Void> started = Promise.promise();
    private PeerTransport peers;
    private FleetControl plane;
    private ProxyServer proxy;
    private volatile boolean isDraining;

    /**
     * Clients of the platform and the endpoints.
     *
     * @param platform client of the platform's object API
     * @param endpoints client for status reports and orders
     */
    public record Clients(PlatformClient platform, EndpointControl endpoints) {}

    /**
     * Creates a router without starting it.
     *
     * @param clientFactory creates the clients that the control thread uses
     */
    public FleetRouter(FleetSettings settings, FleetDialect dialect, Function<Vertx, Clients> clientFactory) {
        this.settings = settings;
        this.dialect = dialect;
        this.clientFactory = clientFactory;
    }

    /** Starts all servers. The returned future fails if an address is in use. */
    public Future<Void> start() {
        log.lifecycle(LogFields.of("starting").with("router", settings.routerId()));
        controlVertx.getOrCreateContext().runOnContext(ignored -> startControl().onComplete(started));
        return started.future().onSuccess(ignored -> logStart());
    }

    private void logStart() {
        // Reads the identity of the build when the servers listen, so that it does not delay them.
        metrics.build(BuildIdentity.ofProcess());
        log.lifecycle(buildFields("started")
                .with("dataCentre", settings.dataCentre())
                .with("callers", settings.callers())
                .with("peers", settings.peers()));
    }

    /**
     * Runs on the control thread, because each part of the control plane must be created on the context that owns it.
     */
    private Future<Void> startControl() {
        peers = new PeerTransport(controlVertx, Optional.empty(), metrics, frame -> plane.receive(frame));
        plane = new FleetControl(
                controlVertx, settings, clock, metrics, peers, dialect, clientFactory.apply(controlVertx), log);
        InternalErrors errors = plane.control().errors();
        errors.bindTo(metrics);
        errors.receiveFrom(controlVertx, "the control thread");
        errors.receiveFrom(trafficVertx, "the traffic thread");
        OutcomeLogger outcomes = new OutcomeLogger(log, new OutcomeCounter(metrics), metrics);
        proxy = new ProxyServer(
                trafficVertx,
                new ProxyServer.Dependencies(
                        plane.control(),
                        dialect.proxy(),
                        plane.contacts(),
                        plane::config,
                        plane::liveRouters,
                        outcomes,
                        outcomes,
                        plane.requestLimits(),
                        plane.endpointNotices(),
                        plane.relays(),
                        plane::suspectConnection,
                        plane::checkStalledStreams));
        metrics.gauge("radishwinch.config.version", "version of the configuration in effect", () -> plane.config()
                .version());
        metrics.gauge("radishwinch.routers.live", "routers that this one believes alive", plane::liveRouters);
        metrics.gauge("radishwinch.caller.connections", "open connections of callers", proxy::openConnections);
        return peers.listen(settings.peers().host(), settings.peers().port())
                .onSuccess(port -> plane.start())
                .compose(port -> startTraffic());
    }

    private Future<Void> startTraffic() {
        Promise<Void> listening = Promise.promise();
        trafficVertx.getOrCreateContext().runOnContext(ignored -> proxy.start(settings.callers(), settings.relay())
                .compose(started -> serve(settings.readiness(), this::handleReadiness))
                .compose(done -> serve(settings.metrics(), this::handleMetrics))
                .onComplete(listening));
        return listening.future();
    }

    private Future<Void> serve(Address address, Handler<HttpServerRequest> handler) {
        return trafficVertx
                .createHttpServer()
                .requestHandler(handler)
                .listen(address.port(), address.host())
                .mapEmpty();
    }

    /** Logs that the settings were reloaded. */
    public void logReload() {
        log.lifecycle(LogFields.of("reloaded").with("router", settings.routerId()));
    }

    /**
     * Stops gracefully: readiness fails at once, new requests are served for a short time, then no more connections are
     * accepted and running requests finish. A router that is still starting stops when it has started.
     *
     * @return future that completes when the process may exit
     */
    public Future<Void> stop() {
        isDraining = true;
        long deadlineMs = clock.getAsLong() + settings.stopGraceMs() - CLOSE_MARGIN_MS;
        log.lifecycle(buildFields("stopping"));
        return started.future().compose(ignored -> drain(deadlineMs));
    }

    /** Returns the fields of a line that names this router and its build. */
    private LogFields buildFields(String event) {
        return LogFields.of(event).with("router", settings.routerId()).with("build", BuildIdentity.ofProcess());
    }

    private Future<Void> drain(long deadlineMs) {
        Promise<Void> stopped = Promise.promise();
        trafficVertx.getOrCreateContext().runOnContext(ignored -> {
            proxy.startDrain(OUT_OF_ROTATION_MS);
            trafficVertx.setTimer(DRAIN_DELAY_MS, timer -> closeConnections(deadlineMs + FLUSH_MARGIN_MS)
                    .onComplete(stopped));
        });
        plane.requestStop(deadlineMs);
        controlVertx
                .getOrCreateContext()
                .runOnContext(ignored -> controlVertx.setTimer(DRAIN_DELAY_MS, timer -> plane.startDrain(deadlineMs)));
        return stopped.future()
                .compose(ignored -> leave())
                .onComplete(ignored -> log.lifecycle(buildFields("stopped")));
    }

    /** Closes all connections and stops all threads without waiting for requests. */
    public Future<Void> close() {
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

    private Future<Void> closeConnections(long deadlineMs) {
        log.lifecycle(LogFields.of("closing")
                .with("router", settings.routerId())
                .with("openRequests", proxy.openRequests())
                .with("openConnections", proxy.openConnections()));
        return proxy.shutdown(Math.max(1, deadlineMs - clock.getAsLong()));
    }

    private Future<Void> leave() {
        Promise<Void> left = Promise.promise();
        controlVertx.getOrCreateContext().runOnContext(ignored -> {
            plane.leave();
            controlVertx.setTimer(LEAVE_DELAY_MS, timer -> left.complete());
        });
        return left.future();
    }

    private void handleReadiness(HttpServerRequest request) {
        if (!request.path().equals(settings.readinessPath())) {
            request.response().setStatusCode(HTTP_NOT_FOUND).end();
            return;
        }
        boolean isReady = !isDraining && plane.isReady();
        request.response().setStatusCode(isReady ? HTTP_OK : HTTP_UNAVAILABLE).end();
    }

    private void handleMetrics(HttpServerRequest request) {
        request.response()
                .putHeader("Content-Type", "text/plain; version=0.0.4")
                .end(metrics.scrape());
    }
}

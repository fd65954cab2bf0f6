package io.radishwinch.server.proxy;

import io.radishwinch.cluster.membership.Address;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.EnginePoolSpec;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.server.ControlLoop;
import io.radishwinch.server.InternalErrors;
import io.radishwinch.server.http.BodyCollector;
import io.radishwinch.server.http.ContractIndex;
import io.radishwinch.server.http.DeliveryStats;
import io.radishwinch.server.http.ErrorMessages;
import io.radishwinch.server.http.ExchangeListener;
import io.radishwinch.server.http.MemoryBudget;
import io.radishwinch.server.http.PromptHashes;
import io.radishwinch.server.http.Refusal;
import io.radishwinch.server.http.Rejection;
import io.radishwinch.server.http.ResponseCut;
import io.radishwinch.server.route.ConnectionLimits;
import io.radishwinch.server.route.Route;
import io.radishwinch.server.route.RouteKind;
import io.radishwinch.server.route.RoutingConfig;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** HTTP server for callers. Confined to one traffic thread. */
public final class ProxyServer implements ExchangeListener {

    /** Share of the heap available to all request bodies; the rest is for connections and tables. */
    private static final double BODY_MEMORY_SHARE = 0.25;

    /**
     * Share of the expected completion tokens for which KV cache memory is reserved. Completions grow while they run
     * and use half of their final size on average; the rest is a margin.
     */
    private static final double KV_RESERVATION_RATIO = 0.75;

    /** Maximum time for which a caller may leave its response unread, in ms; equals the longest timeout of a route. */
    private static final long WRITE_TIMEOUT_MS = 30_000;

    /** Interval of the check for unresponsive streams and idle connections, in ms. */
    private static final long CHECK_INTERVAL_MS = 100;

    /**
     * Time without data before the first event after which the endpoint is asked for failed stages of its chains, in
     * ms.
     */
    private static final long STALLED_FIRST_EVENT_MS = 400;

    /** Time without data between events after which the endpoint is asked for failed stages of its chains, in ms. */
    private static final long STALLED_NEXT_EVENT_MS = 200;

    private static final int MAX_INITIAL_LINE_BYTES = 16 << 10;
    private static final int MAX_HEADER_BYTES = 64 << 10;

    /**
     * Multiple of the configured idle timeout after which idle connections are closed, so that the caller closes first.
     */
    private static final int IDLE_TIMEOUT_FACTOR = 3;

    /** Lowest idle timeout in ms; a caller may know of a longer one before this router does. */
    private static final long MIN_IDLE_TIMEOUT_MS = ConnectionLimits.defaults().idleTimeoutMs();

    /** Interval of the check for idle connections, in ms. */
    private static final long IDLE_CHECK_INTERVAL_MS = 5_000;

    private final Dependencies dependencies;
    private final Vertx vertx;
    private final Map<String, ProxyExchange> exchangesByRequestId = new HashMap<>();
    private ProxyScope scope;
    private long duplicateIdCount;
    private final CallerConnections callerConnections;
    private HttpServer server;
    private Optional<HttpServer> relayServer = Optional.empty();
    private long closeIdleAtMs = Long.MAX_VALUE;
    private long closeAllAtMs = Long.MAX_VALUE;
    private volatile boolean isDraining;

    /**
     * Components of the router that the server uses.
     *
     * @param control control loop
     * @param dialect translates the headers of the deployment
     * @param contacts lookup of endpoints
     * @param config supplies the configuration in effect; thread-safe
     * @param liveRouterCount supplies the number of live routers that share the endpoints; thread-safe
     * @param listener receives the outcome of every request
     * @param responseEnds receives how the response to each attempt ended
     * @param limits receives the request limits that endpoints name
     * @param notices receives what endpoints announce about themselves
     * @param relays other routers that take requests while this one reaches no endpoint
     * @param onConnectFailure receives the identifiers of endpoints to which no connection could be opened
     * @param onStalledEndpoint receives the identifiers of endpoints with unresponsive streams
     */
    public record Dependencies(
            ControlLoop control,
            ProxyDialect dialect,
            ContactLookup contacts,
            Supplier<RoutingConfig> config,
            Supplier<Integer> liveRouterCount,
            ExchangeListener listener,
            ResponseEndListener responseEnds,
            RequestLimitListener limits,
            EndpointNoticeListener notices,
            PeerRelays relays,
            Consumer<String> onConnectFailure,
            Consumer<String> onStalledEndpoint) {}

    /** Creates a server on the traffic thread of a Vert.x instance with one event loop. */
    public ProxyServer(Vertx vertx, Dependencies dependencies) {
        this.vertx = vertx;
        this.dependencies = dependencies;
        this.callerConnections = new CallerConnections(dependencies.control()::nowMs);
    }

    /**
     * Starts the servers for callers and, if it has an address, for requests that other routers relay. The future fails
     * if an address is in use.
     */
    public Future<Void> start(Address callers, Optional<Address> relay) {
        MemoryBudget bodyMemory = new MemoryBudget((long) (Runtime.getRuntime().maxMemory() * BODY_MEMORY_SHARE));
        scope = new ProxyScope(
                vertx,
                vertx.getOrCreateContext(),
                dependencies.control(),
                dependencies.dialect(),
                dependencies.contacts(),
                new EndpointConnectionPool(
                        vertx,
                        dependencies.dialect().requestIdHeader(),
                        dependencies.control()::nowMs,
                        dependencies.onConnectFailure()),
                dependencies.limits(),
                dependencies.notices(),
                dependencies.relays(),
                bodyMemory,
                this,
                dependencies.responseEnds(),
                () -> isDraining,
                WRITE_TIMEOUT_MS);
        vertx.setPeriodic(CHECK_INTERVAL_MS, ignored -> {
            reportStalledEndpoints();
            if (dependencies.relays().isIsolated()) {
                relayStuckRequests();
            }
            scope.connections().closeExpired();
            if (dependencies.control().nowMs() >= closeIdleAtMs) {
                callerConnections.closeIdle();
            }
        });
        vertx.setPeriodic(IDLE_CHECK_INTERVAL_MS, ignored -> closeUnusedConnections());
        HttpServerOptions options = new HttpServerOptions()
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                .setHandle100ContinueAutomatically(true)
                .setTcpNoDelay(true)
                // With upgrades to HTTP/2, Vert.x reports a connection only after its first request head.
                .setHttp2ClearTextEnabled(false)
                .setCompressionSupported(false);
        server = createServer(options, this::handle);
        Future<HttpServer> listening = server.listen(callers.port(), callers.host());
        if (relay.isPresent()) {
            HttpServer created = createServer(options, this::handleRelayed);
            relayServer = Optional.of(created);
            Address address = relay.get();
            listening = listening.compose(ignored -> created.listen(address.port(), address.host()));
        }
        return listening.mapEmpty();
    }

    private HttpServer createServer(HttpServerOptions options, Handler<HttpServerRequest> handler) {
        return vertx.createHttpServer(options)
                .connectionHandler(callerConnections::connectionOpened)
                .requestHandler(request -> {
                    callerConnections.requestStarted(request);
                    guard(request, () -> handler.handle(request));
                })
                .invalidRequestHandler(this::refuseInvalid);
    }

    /**
     * Starts draining: each connection closes after its next response, and idle connections close after a delay.
     *
     * @param closeIdleAfterMs delay in ms, after which new connections must reach other routers
     */
    public void startDrain(long closeIdleAfterMs) {
        isDraining = true;
        callerConnections.startDrain();
        closeIdleAtMs = dependencies.control().nowMs() + closeIdleAfterMs;
    }

    /**
     * Stops accepting connections. Connections without a request close at once, all others after their next response.
     * Must be called on the traffic thread.
     *
     * @param timeoutMs time after which the remaining connections are closed, in ms
     * @return future that completes when no connection is left, so that no request can be read any more and all
     *     responses are written
     */
    public Future<Void> shutdown(long timeoutMs) {
        callerConnections.startShutdown();
        closeAllAtMs = dependencies.control().nowMs() + timeoutMs;
        List<Future<Void>> closed = new ArrayList<>(List.of(server.shutdown(timeoutMs, TimeUnit.MILLISECONDS)));
        relayServer.ifPresent(relays -> closed.add(relays.shutdown(timeoutMs, TimeUnit.MILLISECONDS)));
        return Future.join(closed).mapEmpty();
    }

    /** Returns the number of requests that have not ended. */
    public int openRequests() {
        return exchangesByRequestId.size();
    }

    /** Returns the number of open connections of callers. */
    public int openConnections() {
        return callerConnections.count();
    }

    private void closeUnusedConnections() {
        long timeoutMs = Math.max(
                MIN_IDLE_TIMEOUT_MS, dependencies.config().get().limits().idleTimeoutMs());
        callerConnections.closeUnusedSince(dependencies.control().nowMs() - IDLE_TIMEOUT_FACTOR * timeoutMs);
    }

    private void reportStalledEndpoints() {
        long nowMs = dependencies.control().nowMs();
        Set<String> stalled = new HashSet<>();
        for (ProxyExchange exchange : exchangesByRequestId.values()) {
            exchange.stalledEndpoint(nowMs, STALLED_FIRST_EVENT_MS, STALLED_NEXT_EVENT_MS)
                    .ifPresent(stalled::add);
        }
        stalled.forEach(dependencies.onStalledEndpoint());
    }

    private void relayStuckRequests() {
        long nowMs = dependencies.control().nowMs();
        List.copyOf(exchangesByRequestId.values()).forEach(exchange -> exchange.relayIfStuck(nowMs));
    }

    /** Handles a request that another router relays, which is not relayed any further. */
    private void handleRelayed(HttpServerRequest request) {
        RelayHeaders.Limits limits = RelayHeaders.takeLimits(request.headers());
        if (dependencies.relays().isIsolated()) {
            RelayHeaders.setUnavailable(request.response().headers());
            reject(request, Terms.NONE, refusal(Reason.NO_CAPACITY));
        } else {
            // The core counts endpoints whose end it does not know, and may never have known these.
            limits.earlierEndpointIds().stream()
                    .filter(dependencies.contacts()::isFollowedByLaterLifetime)
                    .forEach(id -> dependencies.control().post(new Event.EndpointRemoved(id, false)));
            handle(request, Optional.of(limits));
        }
    }

    private void handle(HttpServerRequest request) {
        handle(request, Optional.empty());
    }

    /**
     * Handles a request.
     *
     * @param relayLimits limits on the runs of a relayed request, or empty for a request of a caller
     */
    private void handle(HttpServerRequest request, Optional<RelayHeaders.Limits> relayLimits) {
        RoutingConfig config = dependencies.config().get();
        if (config.version() == 0) {
            if (relayLimits.isPresent()) {
                RelayHeaders.setUnavailable(request.response().headers());
            }
            reject(request, Terms.NONE, Refusal.notConfigured());
            return;
        }
        String host = request.getHeader(HttpHeaders.HOST);
        Optional<Route> route =
                host == null ? Optional.empty() : config.routes().find(host, request.path());
        if (route.isEmpty()) {
            reject(request, new Terms(Optional.of(config), route, ""), refusal(Reason.UNKNOWN_PATH));
            return;
        }
        Optional<Contract> contract = findContract(request, route.get(), config);
        if (contract.isEmpty()) {
            reject(request, new Terms(Optional.of(config), route, ""), refusal(Reason.UNKNOWN_CALLER));
            return;
        }
        String caller = contract.get().caller();
        Terms terms = new Terms(Optional.of(config), route, caller);
        if (route.get().kind() == RouteKind.STREAM && request.version() == HttpVersion.HTTP_1_0) {
            String message = "a streamed response needs HTTP/1.1";
            reject(request, terms, Refusal.notRun(Reason.MALFORMED_REQUEST, message));
            return;
        }
        Either<String, RequestHead> head = dependencies.dialect().readRequest(request.headers());
        if (head.isLeft()) {
            reject(request, terms, Refusal.notRun(Reason.MALFORMED_REQUEST, head.getLeft()));
            return;
        }
        int maxHeaderBytes = config.limits().maxHeaderBytes();
        if (headerBytes(request) > maxHeaderBytes) {
            reject(request, terms, refusal(Reason.HEADER_TOO_LARGE));
            return;
        }
        long arrivedAtMs = dependencies.control().nowMs();
        BodyCollector.collect(
                vertx,
                request,
                config.limits().maxBodyBytes(),
                route.get().timeoutMs(),
                scope.bodyMemory(),
                body -> guard(request, () -> {
                    if (body.isLeft()) {
                        reject(request, terms, body.getLeft());
                    } else {
                        admitOrRelease(new ReceivedRequest(
                                request,
                                config,
                                route.get(),
                                caller,
                                head.get(),
                                body.get(),
                                arrivedAtMs,
                                relayLimits));
                    }
                }));
    }

    /** Runs a part of the admission of a request, which is refused as not run if an exception ends it. */
    private void guard(HttpServerRequest request, Runnable part) {
        try {
            part.run();
        } catch (RuntimeException | Error e) {
            String requestId = dependencies.dialect().requestId(request.headers());
            dependencies.control().errors().report(InternalErrors.Part.EXCHANGE, requestId, e);
            if (!request.response().ended()) {
                reject(request, Terms.NONE, refusal(Reason.INTERNAL_ERROR));
            }
        }
    }

    /** A request with a parsed head and a complete body, ready for the core. */
    private record ReceivedRequest(
            HttpServerRequest request,
            RoutingConfig config,
            Route route,
            String caller,
            RequestHead head,
            Buffer body,
            long arrivedAtMs,
            Optional<RelayHeaders.Limits> relayLimits) {}

    /** Releases the memory of the body if an exception ends the admission, as no exchange does it then. */
    private void admitOrRelease(ReceivedRequest received) {
        try {
            admit(received);
        } catch (RuntimeException | Error e) {
            scope.bodyMemory().release(received.body.length());
            throw e;
        }
    }

    private void admit(ReceivedRequest received) {
        Route route = received.route;
        RequestHead head = received.head;
        long timeoutMs = head.timeoutMs() == RequestHead.NONE
                ? route.timeoutMs()
                : Math.min(route.timeoutMs(), head.timeoutMs());
        String pool = route.poolFor(head.requestId().hashCode());
        Rank rank = received.config.callerRanks().getOrDefault(received.caller, route.rank());
        RequestSpec spec = new RequestSpec(
                uniqueId(head.requestId()),
                received.caller,
                rank,
                pool,
                head.promptTokens(),
                head.maxNewTokens(),
                received.arrivedAtMs,
                received.arrivedAtMs + timeoutMs,
                PromptHashes.fingerprint(
                        received.caller,
                        target(route, received.request.method(), received.request.path(), received.request.query()),
                        received.body.getBytes()),
                List.of(),
                head.sharedParts(),
                route.isRepeatable(),
                Math.min(
                        maxRuns(route),
                        received.relayLimits.map(RelayHeaders.Limits::maxRuns).orElse(Integer.MAX_VALUE)),
                (int) (KV_RESERVATION_RATIO * head.expectedNewTokens()),
                received.arrivedAtMs + Math.min(timeoutMs, route.targetMs() > 0 ? route.targetMs() : timeoutMs),
                received.relayLimits
                        .map(RelayHeaders.Limits::earlierEndpointIds)
                        .orElse(List.of()));
        EnginePoolSpec engines = received.config.fleet().enginePools().get(pool);
        ProxyExchange exchange = new ProxyExchange(
                scope,
                spec,
                received.request,
                route,
                head,
                received.body,
                maxConnections(received.config, pool),
                engines == null ? 1 : engines.tokensPerEvent(),
                received.relayLimits.isPresent());
        exchangesByRequestId.put(spec.requestId(), exchange);
        exchange.serve(dependencies.relays().isIsolated());
    }

    private static int maxRuns(Route route) {
        return route.kind() == RouteKind.AT_MOST_ONCE ? 1 : Math.max(1, route.maxRuns());
    }

    /**
     * Returns the target that a fingerprint names. The route stands for the host, as the host that a caller names may
     * be the address of a router.
     *
     * @param query query without its question mark, or null
     */
    static String target(Route route, HttpMethod method, String path, String query) {
        return route.name() + "\n" + method + " " + path + (query == null ? "" : "?" + query);
    }

    private Optional<Contract> findContract(HttpServerRequest request, Route route, RoutingConfig config) {
        Optional<Contract> known =
                config.contracts().find(dependencies.dialect().credentials(request.headers()));
        return route.isPublic() && known.isEmpty()
                ? Optional.ofNullable(config.fleet().contracts().get(RoutingConfig.PUBLIC_CALLER))
                : known;
    }

    /**
     * Makes a request identifier unique. A caller that reuses an identifier while its first request runs must not get
     * the response of that request.
     */
    private String uniqueId(String requestId) {
        return exchangesByRequestId.containsKey(requestId) ? requestId + "~" + ++duplicateIdCount : requestId;
    }

    /** Returns this router's share of an endpoint's connection limit, which applies to all routers together. */
    private int maxConnections(RoutingConfig config, String pool) {
        int limit = config.connectionLimits().getOrDefault(pool, Integer.MAX_VALUE);
        return Math.max(2, limit / Math.max(1, dependencies.liveRouterCount().get()));
    }

    private static int headerBytes(HttpServerRequest request) {
        int bytes = request.uri().length();
        for (Map.Entry<String, String> header : request.headers()) {
            bytes += header.getKey().length() + header.getValue().length();
        }
        return bytes;
    }

    private void refuseInvalid(HttpServerRequest request) {
        Throwable cause = request.decoderResult().cause();
        boolean isTooLarge = cause instanceof io.netty.handler.codec.TooLongFrameException;
        reject(request, Terms.NONE, refusal(isTooLarge ? Reason.HEADER_TOO_LARGE : Reason.MALFORMED_REQUEST));
        request.connection().close();
    }

    private static Refusal refusal(Reason reason) {
        return Refusal.notRun(reason, ErrorMessages.of(reason));
    }

    /**
     * What the admission of a request is based on, as far as it is known.
     *
     * @param caller name of the caller, or an empty string if unknown
     */
    private record Terms(Optional<RoutingConfig> config, Optional<Route> route, String caller) {
        private static final Terms NONE = new Terms(Optional.empty(), Optional.empty(), "");
    }

    private void reject(HttpServerRequest request, Terms terms, Refusal refusal) {
        String requestId = dependencies.dialect().requestId(request.headers());
        rejected(rejection(request, requestId, terms, refusal));
        HttpServerResponse response = request.response();
        ProxyErrorResponse.send(response, refusal, scope, requestId)
                .onFailure(ignored -> responseCut(ResponseCut.unwritten(requestId, refusal.reason(), response)));
    }

    @Override
    public void finished(RequestSpec request, DeliveryStats delivery, Optional<Refusal> refusal) {
        exchangesByRequestId.remove(request.requestId());
        dependencies.listener().finished(request, delivery, refusal);
    }

    private Rejection rejection(HttpServerRequest request, String requestId, Terms terms, Refusal refusal) {
        Rejection rejection = Rejection.of(requestId, terms.caller, terms.route.map(Route::rank), refusal)
                .withTerms(
                        terms.config.map(RoutingConfig::version).orElse(0L),
                        terms.route.map(Route::name).orElse(""));
        return refusal.reason() == Reason.UNKNOWN_CALLER
                ? rejection.withKeyDigest(
                        ContractIndex.digest(dependencies.dialect().credentials(request.headers())))
                : rejection;
    }

    @Override
    public void rejected(Rejection rejection) {
        dependencies.control().errors().observe(rejection.requestId(), () -> dependencies
                .listener()
                .rejected(rejection));
    }

    @Override
    public void responseCut(ResponseCut cut) {
        boolean isByStop = dependencies.control().nowMs() >= closeAllAtMs;
        dependencies.listener().responseCut(isByStop ? cut.byStop() : cut);
    }
}

package io.radishwinch.server.http;

import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import io.radishwinch.core.model.Reason;
import io.radishwinch.server.ControlLoop;
import io.radishwinch.server.engine.ClientOptions;
import io.radishwinch.server.engine.HttpEngineClient;
import io.radishwinch.server.engine.HttpServiceClient;
import io.vertx.core.Context;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.ServerSSLOptions;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** HTTP server for callers that runs one server instance on each traffic thread. */
public final class CallerServer {
    /** Share of the heap available to all request bodies. */
    private static final double BODY_MEMORY_SHARE = 0.25;

    private static final int IDLE_TIMEOUT_S = 300;
    private static final int MAX_LINE_BYTES = 8192;

    /** Negative port number for which Vert.x binds all listeners to the same free port. */
    private static final int SHARED_FREE_PORT = -1;

    private final Vertx vertx;
    private final RouterSettings settings;
    private final Dependencies dependencies;
    private final MemoryBudget bodyMemory =
            new MemoryBudget((long) (Runtime.getRuntime().maxMemory() * BODY_MEMORY_SHARE));
    private final AtomicInteger openConnections = new AtomicInteger();
    private final List<HttpServer> servers = new CopyOnWriteArrayList<>();
    private final List<TrafficThread> threads = new CopyOnWriteArrayList<>();
    private volatile int port;

    /**
     * Components of the router that the server uses.
     *
     * @param control control loop
     * @param endpoints lookup of endpoint addresses
     * @param journal journal of non-repeatable requests
     * @param config supplies the configuration in effect; thread-safe
     * @param listener receives the outcome of every request
     * @param requestIds supplies request identifiers that are unique in the fleet
     * @param isReady returns whether the router accepts new requests
     */
    public record Dependencies(
            ControlLoop control,
            EndpointLookup endpoints,
            JournalAccess journal,
            Supplier<CallerConfig> config,
            ExchangeListener listener,
            Supplier<String> requestIds,
            BooleanSupplier isReady) {}

    /** Creates a server on the traffic threads of the given Vert.x instance. */
    public CallerServer(Vertx vertx, RouterSettings settings, Dependencies dependencies) {
        this.vertx = vertx;
        this.settings = settings;
        this.dependencies = dependencies;
    }

    /** Starts the server. The future fails if the address is in use or a TLS file cannot be read. */
    public Future<Void> start() {
        int threads = settings.integer(SettingKey.TRAFFIC_THREADS);
        Future<String> first = vertx.deployVerticle(new TrafficThread());
        for (int i = 1; i < threads; i++) {
            first = first.compose(ignored -> vertx.deployVerticle(new TrafficThread(), new DeploymentOptions()));
        }
        return first.mapEmpty();
    }

    /** Reloads the TLS files on all traffic threads. New connections use them. */
    public Future<Boolean> reloadTls() {
        ServerSSLOptions options = new ServerSSLOptions()
                .setUseAlpn(true)
                .setKeyCertOptions(new PemKeyCertOptions()
                        .addCertPath(settings.text(SettingKey.CALLER_TLS_CERT_FILE))
                        .addKeyPath(settings.text(SettingKey.CALLER_TLS_KEY_FILE)));
        Future<Boolean> all = Future.succeededFuture(true);
        for (HttpServer server : servers) {
            all = all.compose(ignored -> server.updateSSLOptions(options, true));
        }
        return all;
    }

    /** Returns a future that succeeds when the responses that ended before this call are written or have failed. */
    public Future<Void> whenWritten() {
        return Future.join(threads.stream().map(TrafficThread::whenWritten).toList())
                .mapEmpty();
    }

    /** Returns the TCP port of the server. */
    public int port() {
        return port;
    }

    /** Returns the memory reserved for request bodies, in bytes. */
    public long bodyBytes() {
        return bodyMemory.usedBytes();
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return openConnections.get();
    }

    /** An event loop with its own server instance and connection pools. */
    private final class TrafficThread extends VerticleBase {
        private final PendingWrites pendingWrites = new PendingWrites();
        private Context threadContext;
        private HttpServer server;
        private HttpEngineClient engineClient;
        private HttpServiceClient serviceClient;

        @Override
        public Future<?> start() {
            ClientOptions options = ClientOptions.defaults();
            engineClient = new HttpEngineClient(vertx, options, dependencies.control()::nowMs, "");
            serviceClient = new HttpServiceClient(vertx, options, dependencies.control()::nowMs);
            threadContext = vertx.getOrCreateContext();
            ExchangeContext shared = exchangeContext();
            CallerApi api = new CallerApi(
                    shared, dependencies.config(), settings, dependencies.requestIds(), dependencies.isReady());
            server = vertx.createHttpServer(serverOptions())
                    .requestHandler(api.routes())
                    .invalidRequestHandler(this::onInvalidRequest)
                    .connectionHandler(this::onConnection);
            servers.add(server);
            threads.add(this);
            int setting = settings.integer(SettingKey.CALLER_PORT);
            return server.listen(setting == 0 ? SHARED_FREE_PORT : setting, settings.text(SettingKey.CALLER_HOST))
                    .onSuccess(listening -> port = listening.actualPort());
        }

        @Override
        public Future<?> stop() {
            Promise<Void> stopped = Promise.promise();
            server.close()
                    .eventually(() -> engineClient.close())
                    .eventually(() -> serviceClient.close())
                    .onComplete(stopped);
            return stopped.future();
        }

        private ExchangeContext exchangeContext() {
            return new ExchangeContext(
                    vertx,
                    threadContext,
                    dependencies.control(),
                    engineClient,
                    serviceClient,
                    dependencies.endpoints(),
                    dependencies.journal(),
                    bodyMemory,
                    dependencies.listener(),
                    pendingWrites,
                    settings.integer(SettingKey.CALLER_WRITE_TIMEOUT_MS));
        }

        /** Runs after the tasks that were submitted to this traffic thread before. */
        Future<Void> whenWritten() {
            Promise<Void> written = Promise.promise();
            threadContext.runOnContext(ignored -> pendingWrites.whenWritten().onComplete(written));
            return written.future();
        }

        private void onConnection(HttpConnection connection) {
            int openCount = openConnections.incrementAndGet();
            connection.closeHandler(ignored -> openConnections.decrementAndGet());
            if (openCount > settings.integer(SettingKey.CALLER_MAX_CONNECTIONS)) {
                reportRejected(Refusal.notRun(Reason.QUEUE_FULL, "too many connections"));
                connection.close();
            }
        }

        private void reportRejected(Refusal refusal) {
            dependencies.control().errors().observe("of a connection", () -> dependencies
                    .listener()
                    .rejected(Rejection.of("", refusal)));
        }

        private void onInvalidRequest(HttpServerRequest request) {
            Throwable cause = request.decoderResult().cause();
            boolean isTooLarge = cause instanceof io.netty.handler.codec.TooLongFrameException;
            Reason reason = isTooLarge ? Reason.HEADER_TOO_LARGE : Reason.MALFORMED_REQUEST;
            Refusal refusal = Refusal.notRun(reason, ErrorMessages.of(reason));
            reportRejected(refusal);
            ErrorResponse.send(request.response(), dependencies.requestIds().get(), refusal);
            request.connection().close();
        }
    }

    private HttpServerOptions serverOptions() {
        HttpServerOptions options = new HttpServerOptions()
                .setMaxHeaderSize(settings.integer(SettingKey.CALLER_MAX_HEADER_BYTES))
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setIdleTimeout(IDLE_TIMEOUT_S)
                .setTcpNoDelay(true)
                .setCompressionSupported(false);
        String certFile = settings.text(SettingKey.CALLER_TLS_CERT_FILE);
        if (!certFile.isEmpty()) {
            options.setSsl(true)
                    .setUseAlpn(true)
                    .setKeyCertOptions(new PemKeyCertOptions()
                            .addCertPath(certFile)
                            .addKeyPath(settings.text(SettingKey.CALLER_TLS_KEY_FILE)));
        }
        return options;
    }
}

package io.radishwinch.server.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.radishwinch.cluster.membership.Address;
import io.radishwinch.config.contract.KeyHash;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Limits;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.server.ControlLoop;
import io.radishwinch.server.InternalErrors;
import io.radishwinch.server.ViewlessCore;
import io.radishwinch.server.http.DeliveryStats;
import io.radishwinch.server.http.ExchangeListener;
import io.radishwinch.server.http.Refusal;
import io.radishwinch.server.http.Rejection;
import io.radishwinch.server.logguard.ExpectsInternalErrors;
import io.radishwinch.server.route.Backend;
import io.radishwinch.server.route.ConnectionLimits;
import io.radishwinch.server.route.Route;
import io.radishwinch.server.route.RouteKind;
import io.radishwinch.server.route.RouteTable;
import io.radishwinch.server.route.RoutingConfig;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests of callers that get neither an answer nor a refusal, over loopback sockets. */
class ProxyServerTest {
    private static final int WAIT_MS = 20_000;
    private static final long IDLE_TIMEOUT_MS = 400;

    /** Exceeds the idle limit, which the server multiplies and rounds to seconds. */
    private static final int WAITING_MS = 3_000;

    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n\r\n";

    private final Vertx vertx = Vertx.vertx();
    private final CompletableFuture<RequestSpec> arrived = new CompletableFuture<>();
    private final ControlLoop control =
            new ControlLoop(vertx.getOrCreateContext(), System::currentTimeMillis, new WaitingCore(), action -> {});

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Core in which all requests wait. */
    private final class WaitingCore extends ViewlessCore {
        @Override
        public List<Action> handle(Event event, long nowMs) {
            if (event instanceof Event.RequestArrived request) {
                arrived.complete(request.request());
            }
            return List.of();
        }
    }

    private static RoutingConfig config(List<Backend> backends) {
        return config(1, backends, true, contract(RoutingConfig.PUBLIC_CALLER, List.of()));
    }

    private static Contract contract(String caller, List<String> keyHashes) {
        return new Contract(caller, keyHashes, 1, new Limits(1, 1, 1), Map.of(), Rank.BATCH, Set.of(), Set.of());
    }

    private static RoutingConfig config(long version, List<Backend> backends, boolean isPublic, Contract contract) {
        Route route = new Route("r", "h", "/", RouteKind.STREAM, 60_000, 0, 0, Rank.BATCH, backends, 1, isPublic, true);
        FleetConfig fleet = new FleetConfig(version, Map.of(contract.caller(), contract), Map.of(), Map.of(), Map.of());
        return new RoutingConfig(
                version,
                new RouteTable(List.of(route)),
                fleet,
                Map.of(),
                new ConnectionLimits(16 << 10, 4 << 20, 10_000, IDLE_TIMEOUT_MS),
                Map.of());
    }

    /** Starts a server that all its requests wait in, and returns its port. */
    private int start(RoutingConfig config) throws Exception {
        return start(() -> config);
    }

    private int start(Supplier<RoutingConfig> config) throws Exception {
        Address callers = new Address("127.0.0.1", freePort());
        ProxyServer server = new ProxyServer(
                vertx,
                new ProxyServer.Dependencies(
                        control,
                        new PlainDialect(),
                        new NoContacts(),
                        config,
                        () -> 1,
                        new SilentListener(),
                        (requestId, end) -> {},
                        (endpointId, limit) -> {},
                        new NoNotices(),
                        PeerRelays.NONE,
                        endpointId -> {},
                        endpointId -> {}));
        CompletableFuture<Void> started = new CompletableFuture<>();
        vertx.getOrCreateContext().runOnContext(ignored -> server.start(callers, Optional.empty())
                .onComplete(done -> started.complete(null), started::completeExceptionally));
        started.get(WAIT_MS, TimeUnit.MILLISECONDS);
        return callers.port();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static Socket send(int port) throws IOException {
        return send(port, REQUEST);
    }

    private static Socket send(int port, String request) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    /**
     * Guards against a request whose connection is closed without an answer, because the configuration in force at the
     * start of the router limits the time for which connections without a request are kept.
     */
    @Test
    void aRequestThatWaitsIsNotCutByTheLimitOfIdleConnections() throws Exception {
        try (Socket socket = send(start(config(List.of(new Backend("m", 1)))))) {
            socket.setSoTimeout(WAITING_MS);
            assertThatThrownBy(() -> socket.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
        }
    }

    /** Guards against 401 for a key that one of two configurations has, if a request reads both. */
    @Test
    void aKeyIsLookedUpInTheConfigurationOfTheRoute() throws Exception {
        List<Backend> backends = List.of(new Backend("m", 1));
        RoutingConfig first = config(1, backends, false, contract("app", List.of(KeyHash.of("key"))));
        RoutingConfig second = config(2, backends, false, contract("app", List.of()));
        Iterator<RoutingConfig> configs = List.of(first).iterator();
        int port = start(() -> configs.hasNext() ? configs.next() : second);
        try (Socket socket = send(port, REQUEST.replace("\r\n\r\n", "\r\nAuthorization: Bearer key\r\n\r\n"))) {
            assertThat(arrived.get(WAIT_MS, TimeUnit.MILLISECONDS).caller()).isEqualTo("app");
        }
    }

    /** Guards against a request that waits for its answer after its admission has failed with an exception. */
    @Test
    @ExpectsInternalErrors
    void aRequestWhoseAdmissionFailsIsRefusedAsNotRun() throws Exception {
        try (Socket socket = send(start(config(List.of())))) {
            socket.setSoTimeout(WAIT_MS);
            byte[] answer = socket.getInputStream().readNBytes("HTTP/1.1 503".length());
            assertThat(new String(answer, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 503");
        }
        assertThat(control.errors().count(InternalErrors.Part.EXCHANGE)).isOne();
    }

    /** Lookup without endpoints. */
    private static final class NoContacts implements ContactLookup {
        @Override
        public Optional<EndpointContact> contact(String endpointId) {
            return Optional.empty();
        }

        @Override
        public Optional<String> endpointAt(String address) {
            return Optional.empty();
        }
    }

    /** Listener that ignores all outcomes. */
    private static final class SilentListener implements ExchangeListener {
        @Override
        public void finished(RequestSpec request, DeliveryStats delivery, Optional<Refusal> refusal) {}

        @Override
        public void rejected(Rejection rejection) {}
    }
}

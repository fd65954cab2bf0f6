package io.radishwinch.server.http;

import io.radishwinch.cluster.journal.Journal;
import io.radishwinch.core.DecisionCore;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Stage;
import io.radishwinch.server.ControlLoop;
import io.radishwinch.server.Exchange;
import io.radishwinch.server.InternalErrors;
import io.radishwinch.server.engine.ClientOptions;
import io.radishwinch.server.engine.EndpointAddress;
import io.radishwinch.server.engine.HttpEngineClient;
import io.radishwinch.server.engine.HttpServiceClient;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** One exchange over loopback sockets, whose endpoint, journal and decisions are scripted by a test. */
final class ExchangeFixture implements AutoCloseable {
    static final String REQUEST_ID = "r";
    static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    private static final String ENDPOINT = "e";
    private static final int WAIT_S = 20;
    private static final long WRITE_TIMEOUT_MS = 15_000;

    final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    final BlockingQueue<Optional<Refusal>> outcomes = new LinkedBlockingQueue<>();
    final BlockingQueue<CompletableFuture<Boolean>> recordings = new LinkedBlockingQueue<>();
    final BlockingQueue<CompletableFuture<Boolean>> grants = new LinkedBlockingQueue<>();
    final BlockingQueue<Journal.Decision.Granted> abandonedGrants = new LinkedBlockingQueue<>();
    private final BlockingQueue<List<Action>> decisions = new LinkedBlockingQueue<>();
    private final Vertx vertx = Vertx.vertx();
    private final Context controlContext = vertx.getOrCreateContext();
    private final ServerSocket endpoint = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    private final ControlLoop control =
            new ControlLoop(controlContext, System::currentTimeMillis, new ScriptedCore(), action -> {});
    private final HttpServer server;

    /** Referenced here, because Vert.x closes a client that is no longer reachable. */
    private HttpClient http2Client;

    private Socket caller;

    /** Creates the exchange under test. */
    interface ExchangeFactory {
        Exchange create(ExchangeContext shared, HttpServerRequest request);
    }

    ExchangeFixture(ExchangeFactory factory) throws Exception {
        server = vertx.createHttpServer()
                .requestHandler(request -> {
                    Exchange exchange = factory.create(context(vertx.getOrCreateContext()), request);
                    ((AbstractExchange<?>) exchange).submit();
                })
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(WAIT_S, TimeUnit.SECONDS);
    }

    static RequestSpec request(String pool, boolean isRepeatable) {
        long nowMs = System.currentTimeMillis();
        return new RequestSpec(
                REQUEST_ID, "app", Rank.INTERACTIVE, pool, 1, 8, nowMs, nowMs + 60_000, "f", List.of(), isRepeatable);
    }

    private ExchangeContext context(Context context) {
        ClientOptions options = ClientOptions.defaults().withIdleTimeoutMs(30_000);
        return new ExchangeContext(
                vertx,
                context,
                control,
                new HttpEngineClient(vertx, options, System::currentTimeMillis, ""),
                new HttpServiceClient(vertx, options, System::currentTimeMillis),
                endpointId -> new EndpointAddress(endpointId, "127.0.0.1", endpoint.getLocalPort()),
                new JournalAccess(control, new ScriptedJournal()),
                new MemoryBudget(Long.MAX_VALUE),
                new OutcomeListener(),
                new PendingWrites(),
                WRITE_TIMEOUT_MS);
    }

    /** Sends the caller's request, and returns its connection. */
    Socket call(String httpVersion) throws Exception {
        caller = new Socket("127.0.0.1", server.actualPort());
        caller.setSoTimeout(WAIT_S * 1_000);
        caller.getOutputStream()
                .write(("GET / " + httpVersion + "\r\nHost: r\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        await(Event.RequestArrived.class);
        return caller;
    }

    /** Returns the number of exceptions in exchanges. */
    long exchangeErrors() {
        return control.errors().count(InternalErrors.Part.EXCHANGE);
    }

    /** Sends the caller's request over HTTP/2, and returns the response that it gets. */
    Future<HttpClientResponse> callOverHttp2() throws Exception {
        HttpClientOptions options =
                new HttpClientOptions().setProtocolVersion(HttpVersion.HTTP_2).setHttp2ClearTextUpgrade(false);
        http2Client = vertx.createHttpClient(options);
        Future<HttpClientResponse> response = http2Client
                .request(HttpMethod.GET, server.actualPort(), "127.0.0.1", "/")
                .compose(HttpClientRequest::send);
        await(Event.RequestArrived.class);
        return response;
    }

    /** Starts an attempt, and returns the connection on which the endpoint received it. */
    Socket startAttempt(int epoch) throws Exception {
        decideStart(epoch);
        return acceptAttempt();
    }

    /** Starts an attempt without waiting for its call. */
    void decideStart(int epoch) {
        Chain chain = new Chain(List.of(new Stage(ENDPOINT, new LayerRange(0, 1))));
        decide(new Action.StartAttempt(REQUEST_ID, epoch, chain, 0, List.of(), 0, System.currentTimeMillis() + 60_000));
    }

    /** Returns the connection on which the endpoint receives the next call. */
    Socket acceptAttempt() throws Exception {
        endpoint.setSoTimeout(WAIT_S * 1_000);
        Socket connection = endpoint.accept();
        connection.setSoTimeout(WAIT_S * 1_000);
        readHead(connection);
        return connection;
    }

    /** Lets the core return this action. */
    void decide(Action action) {
        decisions.add(List.of(action));
        control.post(new Event.Tick());
    }

    /** Waits for an event of the exchange; events of other types before it are dropped. */
    <T extends Event> T await(Class<T> type) throws Exception {
        Event event;
        do {
            event = next(events);
        } while (!type.isInstance(event));
        return type.cast(event);
    }

    static <T> T next(BlockingQueue<T> queue) throws Exception {
        T next = queue.poll(WAIT_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("nothing happened within " + WAIT_S + " s");
        }
        return next;
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    static String readHead(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("connection ended inside a head: " + head);
            }
            head.append((char) next);
        }
        return head.toString();
    }

    /** Reads to the end of the connection, or of a response in chunks. */
    String readAll() throws IOException {
        StringBuilder text = new StringBuilder();
        byte[] buffer = new byte[1 << 16];
        while (text.indexOf(LAST_CHUNK, text.length() - LAST_CHUNK.length()) < 0) {
            int count = caller.getInputStream().read(buffer);
            if (count < 0) {
                break;
            }
            text.append(new String(buffer, 0, count, StandardCharsets.US_ASCII));
        }
        return text.toString();
    }

    @Override
    public void close() throws Exception {
        if (caller != null) {
            caller.close();
        }
        endpoint.close();
        if (http2Client != null) {
            http2Client.close();
        }
        vertx.close().toCompletionStage().toCompletableFuture().get(WAIT_S, TimeUnit.SECONDS);
    }

    private final class ScriptedCore implements DecisionCore {

        @Override
        public List<Action> handle(Event event, long nowMs) {
            if (event instanceof Event.Tick) {
                return decisions.remove();
            }
            events.add(event);
            return List.of();
        }

        @Override
        public Optional<RequestView> request(String requestId) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Optional<CallerView> caller(String name) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CoreView view() {
            throw new UnsupportedOperationException();
        }
    }

    /** Grants every call; the test decides when a call is granted and its outcome recorded. */
    private final class ScriptedJournal implements Journal {

        @Override
        public Uni<Decision> begin(String name, String idempotencyKey, byte[] fingerprint) {
            CompletableFuture<Boolean> grant = new CompletableFuture<>();
            grants.add(grant);
            return Uni.createFrom()
                    .completionStage(grant)
                    .map(ignored -> new Decision.Granted(name, idempotencyKey, fingerprint, "n"));
        }

        @Override
        public Uni<Boolean> complete(Decision.Granted grant, byte[] outcome) {
            CompletableFuture<Boolean> recording = new CompletableFuture<>();
            recordings.add(recording);
            return Uni.createFrom().completionStage(recording);
        }

        @Override
        public Uni<Boolean> abandon(Decision.Granted grant) {
            abandonedGrants.add(grant);
            return Uni.createFrom().item(true);
        }
    }

    private final class OutcomeListener implements ExchangeListener {

        @Override
        public void finished(RequestSpec request, DeliveryStats delivery, Optional<Refusal> refusal) {
            outcomes.add(refusal);
        }

        @Override
        public void rejected(Rejection rejection) {
            throw new UnsupportedOperationException();
        }
    }
}

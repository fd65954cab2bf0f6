package io.radishwinch.server.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.DecisionCore;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Stage;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.ControlLoop;
import io.radishwinch.server.http.DeliveryStats;
import io.radishwinch.server.http.ExchangeListener;
import io.radishwinch.server.http.MemoryBudget;
import io.radishwinch.server.http.Refusal;
import io.radishwinch.server.proxy.ScriptedEndpoint.End;
import io.radishwinch.server.proxy.ScriptedEndpoint.Script;
import io.radishwinch.server.route.Route;
import io.radishwinch.server.route.RouteKind;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against responses that break off and reach the caller as complete ones, over loopback sockets. */
class ProxyExchangeTest {
    private static final String ID = "a";
    private static final String ENDPOINT = "e@1";
    private static final String SEALED = "X-Request-Id: a\r\nConnection: close\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String STREAM = "Content-Type: text/event-stream\r\n";
    private static final String STREAM_HEAD = "HTTP/1.1 200 OK\r\n" + SEALED + STREAM + CHUNKED + "\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final int MAX_ATTEMPTS = 3;
    private static final long WAIT_S = 20;

    private final Vertx vertx = Vertx.vertx();
    private final RetryingCore core = new RetryingCore();
    private final CompletableFuture<Optional<Refusal>> outcome = new CompletableFuture<>();
    private ControlLoop control;
    private ScriptedEndpoint endpoint;

    @AfterEach
    void close() throws Exception {
        endpoint.close();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Retries each failed attempt until the maximum number of attempts, and cancels attempts when a test asks. */
    private static final class RetryingCore implements DecisionCore {
        private int epoch;

        @Override
        public List<Action> handle(Event event, long nowMs) {
            if (event instanceof Event.RequestArrived) {
                return List.of(start());
            } else if (event instanceof Event.AttemptFailed failed && failed.epoch() == epoch) {
                return List.of(epoch < MAX_ATTEMPTS ? start() : refusal(failed.reason()));
            } else if (event instanceof Event.AttemptFinished finished && finished.epoch() == epoch) {
                return List.of(new Action.Complete(ID));
            } else if (event instanceof Event.EndpointRemoved) {
                return List.of(new Action.CancelAttempt(ID, epoch, Reason.STAGE_DIED));
            }
            return List.of();
        }

        private Action start() {
            Stage stage = new Stage(ENDPOINT, new LayerRange(0, 1));
            return new Action.StartAttempt(ID, ++epoch, new Chain(List.of(stage)), 0, List.of(), 0, Long.MAX_VALUE);
        }

        private static Action refusal(Reason reason) {
            return new Action.Refuse(ID, reason, Verdict.MAY_HAVE_RUN, 0);
        }

        @Override
        public Optional<RequestView> request(String requestId) {
            return Optional.empty();
        }

        @Override
        public Optional<CallerView> caller(String caller) {
            return Optional.empty();
        }

        @Override
        public CoreView view() {
            throw new UnsupportedOperationException();
        }
    }

    /** Starts a router for requests of one kind whose endpoint answers with these scripts, and returns its port. */
    private int start(RouteKind kind, List<Script> scripts) throws Exception {
        endpoint = new ScriptedEndpoint(scripts);
        Context context = vertx.getOrCreateContext();
        control = new ControlLoop(context, System::currentTimeMillis, core, action -> {});
        EndpointContact contact = new EndpointContact(ENDPOINT, "e", "127.0.0.1", endpoint.port());
        ProxyScope scope = new ProxyScope(
                vertx,
                context,
                control,
                new PlainDialect(),
                new ContactLookup() {
                    @Override
                    public Optional<EndpointContact> contact(String endpointId) {
                        return Optional.of(contact);
                    }

                    @Override
                    public Optional<String> endpointAt(String address) {
                        return Optional.of(ENDPOINT);
                    }
                },
                new EndpointConnectionPool(vertx, System::currentTimeMillis),
                (endpointId, limit) -> {},
                new MemoryBudget(1 << 20),
                new ExchangeListener() {
                    @Override
                    public void finished(RequestSpec request, DeliveryStats delivery, Optional<Refusal> refusal) {
                        outcome.complete(refusal);
                    }

                    @Override
                    public void rejected(String requestId, String caller, Optional<Rank> rank, Refusal refusal) {}
                },
                (requestId, end) -> {},
                () -> false,
                TimeUnit.SECONDS.toMillis(WAIT_S));
        CompletableFuture<Integer> port = new CompletableFuture<>();
        context.runOnContext(ignored -> vertx.createHttpServer()
                .requestHandler(incoming -> submit(scope, kind, incoming))
                .listen(0, "127.0.0.1")
                .onComplete(server -> port.complete(server.actualPort()), port::completeExceptionally));
        return port.get(WAIT_S, TimeUnit.SECONDS);
    }

    private static void submit(ProxyScope scope, RouteKind kind, HttpServerRequest incoming) {
        Route route = new Route("r", "h", "/", kind, 60_000, 500, 200, Rank.INTERACTIVE, List.of(), 3, true, true);
        RequestSpec request = new RequestSpec(
                ID, "c", Rank.INTERACTIVE, "m", 1, 10, 0, Long.MAX_VALUE, "f", List.of(), route.isRepeatable());
        RequestHead head = new RequestHead(ID, RequestHead.NONE, 1, 10, 10, List.of(), RequestHead.NONE);
        new ProxyExchange(scope, request, incoming, route, head, Buffer.buffer(), 8, 1).submit();
    }

    /** Sends a request and returns everything that the caller receives until its connection is closed. */
    private static String call(int port) throws IOException {
        try (Socket socket = send(port)) {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private static Socket send(int port) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_S));
        String head = "POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static String events(int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(id -> "id: " + id + "\ndata: t" + id + "\n\n")
                .collect(Collectors.joining());
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Returns the body of a response in chunks, without the sizes of the chunks. */
    private static String bodyOf(String response) {
        return response.substring(response.indexOf("\r\n\r\n") + 4).replaceAll("(?m)^[0-9a-f]+\r\n|\r\n", "");
    }

    private static Script brokenStream() {
        return new Script(STREAM_HEAD + chunk(events(1, 2) + "id: 3\nda"), End.CLOSE);
    }

    private static Script restOfStream() {
        return new Script(STREAM_HEAD + chunk(events(3, 4)) + LAST_CHUNK, End.NONE);
    }

    /** Responses to a resumed request that do not continue its stream. */
    static Stream<Script> responsesThatDoNotContinueAStream() {
        String error = "Content-Type: text/plain\r\nContent-Length: 5\r\n\r\nerror";
        return Stream.of(
                new Script("HTTP/1.1 500 Internal Server Error\r\n" + SEALED + error, End.NONE),
                new Script("HTTP/1.1 404 Not Found\r\n" + SEALED + error, End.NONE),
                new Script("HTTP/1.1 500 Internal Server Error\r\n" + SEALED + "\r\nerror", End.CLOSE),
                new Script("HTTP/1.1 502 Bad Gateway\r\n" + SEALED + STREAM + CHUNKED + "\r\n" + LAST_CHUNK, End.NONE),
                new Script("HTTP/1.1 204 No Content\r\n" + SEALED + "\r\n", End.NONE),
                new Script("HTTP/1.1 202 Accepted\r\n" + SEALED + "Content-Length: 0\r\n\r\n", End.NONE),
                new Script(
                        "HTTP/1.1 206 Partial Content\r\n" + SEALED + STREAM + CHUNKED + "\r\n" + chunk(events(3, 3))
                                + LAST_CHUNK,
                        End.NONE),
                new Script("HTTP/1.1 200 OK\r\n" + SEALED + error, End.NONE),
                new Script("HTTP/1.1 200 OK\r\n" + SEALED + "Content-Length: 0\r\n\r\n", End.NONE),
                new Script(
                        "HTTP/1.1 200 OK\r\n" + SEALED + STREAM + "Content-Encoding: gzip\r\n" + CHUNKED + "\r\n"
                                + LAST_CHUNK,
                        End.NONE));
    }

    /** Guards against an error response to a resumed request that ends the caller's stream as if it were complete. */
    @ParameterizedTest
    @MethodSource("responsesThatDoNotContinueAStream")
    void aResumedRequestAnsweredWithoutAStreamIsResumedElsewhere(Script second) throws Exception {
        int port = start(RouteKind.STREAM, List.of(brokenStream(), second, restOfStream()));
        String response = call(port);
        assertThat(bodyOf(response)).isEqualTo(events(1, 4));
        assertThat(response).endsWith("\r\n" + LAST_CHUNK);
        assertThat(endpoint.requestHeads).hasSize(3).last().asString().contains("Last-Event-Id: 2");
    }

    /** Guards against a stream that nobody completes and that ends like a complete one. */
    @ParameterizedTest
    @MethodSource("responsesThatDoNotContinueAStream")
    void aStreamThatNoEndpointCompletesIsNotEndedAsComplete(Script other) throws Exception {
        String response = call(start(RouteKind.STREAM, List.of(brokenStream(), other, other)));
        assertThat(bodyOf(response)).isEqualTo(events(1, 2));
        assertThat(response).doesNotEndWith(LAST_CHUNK);
        assertThat(outcome.get(WAIT_S, TimeUnit.SECONDS)).isPresent();
    }

    @Test
    void aStreamThatBreaksOffInsideAnEventIsContinuedAfterItsLastCompleteEvent() throws Exception {
        String response = call(start(RouteKind.STREAM, List.of(brokenStream(), restOfStream())));
        assertThat(bodyOf(response)).isEqualTo(events(1, 4));
        assertThat(response).endsWith("\r\n" + LAST_CHUNK);
        assertThat(outcome.get(WAIT_S, TimeUnit.SECONDS)).isEmpty();
    }
}

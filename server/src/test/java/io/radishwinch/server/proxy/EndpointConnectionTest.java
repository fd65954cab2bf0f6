package io.radishwinch.server.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.server.proxy.UpstreamCall.OutgoingRequest;
import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.internal.net.NetSocketInternal;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests whose failure is lost because their connection is closed while they are written to it. */
class EndpointConnectionTest {
    private static final long WAIT_S = 20;
    private static final OutgoingRequest REQUEST =
            new OutgoingRequest(HttpMethod.GET, "/", MultiMap.caseInsensitiveMultiMap(), Buffer.buffer(), true);

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final CompletableFuture<String> failure = new CompletableFuture<>();
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Receives the failure of a response that never comes. */
    private final class FailureRecorder implements EndpointConnection.Listener {
        @Override
        public boolean isSurplus(int status, MultiMap headers) {
            return false;
        }

        @Override
        public void onResponseHead(int status, MultiMap headers) {}

        @Override
        public void onBodyChunk(Buffer chunk) {}

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(String message) {
            failure.complete(String.valueOf(message));
        }
    }

    /** A step of a test with an open connection and its socket. */
    private interface Step {
        void run(EndpointConnection connection, NetSocketInternal socket);
    }

    private void onConnection(Step step) {
        context.runOnContext(ignored -> vertx.createNetClient()
                .connect(server.getLocalPort(), "127.0.0.1")
                .onSuccess(opened -> {
                    NetSocketInternal socket = (NetSocketInternal) opened;
                    step.run(
                            new EndpointConnection(vertx, socket, PlainDialect.REQUEST_ID, () -> {}, () -> {}), socket);
                }));
    }

    /** Netty fails a write to a closed connection with an exception that has no message. */
    @Test
    void aWriteToAClosedConnectionFailsWithADescription() throws Exception {
        onConnection((connection, socket) -> {
            socket.channelHandlerContext().channel().close();
            connection.send(connection.encode(REQUEST), "a", new FailureRecorder());
        });
        assertThat(failure.get(WAIT_S, TimeUnit.SECONDS)).isNotBlank().isNotEqualTo("null");
    }

    /** The connection learns of the close in a later event, so that a request would still be sent on it. */
    @Test
    void aConnectionWhoseCloseIsNotReportedYetIsClosed() throws Exception {
        CompletableFuture<Boolean> isClosed = new CompletableFuture<>();
        onConnection((connection, socket) -> {
            socket.channelHandlerContext().channel().close();
            isClosed.complete(connection.isClosed());
        });
        assertThat(isClosed.get(WAIT_S, TimeUnit.SECONDS)).isTrue();
    }
}

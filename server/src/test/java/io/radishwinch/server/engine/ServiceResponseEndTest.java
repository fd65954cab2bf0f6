package io.radishwinch.server.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against responses of a service that break off and are taken for complete ones, over loopback sockets. */
class ServiceResponseEndTest {
    private static final int WAIT_S = 20;

    private Vertx vertx;
    private ServerSocket service;

    @BeforeEach
    void listen() throws IOException {
        vertx = Vertx.vertx();
        service = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        service.setSoTimeout(WAIT_S * 1_000);
    }

    @AfterEach
    void close() throws IOException {
        service.close();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Guards against an end that is taken for that of the body, with the body read before or after it. */
    @ParameterizedTest
    @CsvSource({
        "'', half, CLOSE, false, complete: half",
        "'', half, CLOSE, true, complete: half",
        "'', half, RESET, false, STAGE_DIED",
        "'', half, RESET, true, STAGE_DIED",
        "Content-Length: 10, half, CLOSE, false, STAGE_DIED",
        "Content-Length: 10, half, CLOSE, true, STAGE_DIED",
        "Content-Length: 10, half, RESET, false, STAGE_DIED",
        "Content-Length: 10, half, RESET, true, STAGE_DIED",
        "Transfer-Encoding: chunked, '4\r\nhalf\r\n', CLOSE, false, STAGE_DIED",
        "Transfer-Encoding: chunked, '4\r\nhalf\r\n', CLOSE, true, STAGE_DIED",
        "Transfer-Encoding: chunked, '4\r\nhalf\r\n', RESET, false, STAGE_DIED",
        "Transfer-Encoding: chunked, '4\r\nhalf\r\n', RESET, true, STAGE_DIED",
    })
    void onlyABodyThatEndsAsItsHeadAnnouncesIsComplete(
            String header, String body, String end, boolean isPausedAtEnd, String expected) throws Exception {
        HttpServiceClient client = new HttpServiceClient(vertx, ClientOptions.defaults(), System::currentTimeMillis);
        CompletableFuture<ServiceClient.Response> head = new CompletableFuture<>();
        CompletableFuture<String> outcome = new CompletableFuture<>();
        CompletableFuture<Void> hasBody = new CompletableFuture<>();
        Buffer received = Buffer.buffer();
        client.call(new ServiceClient.Call(
                        new EndpointAddress("e", "127.0.0.1", service.getLocalPort()),
                        HttpMethod.GET,
                        "/",
                        MultiMap.caseInsensitiveMultiMap(),
                        new ServiceClient.Body.Buffered(Buffer.buffer()),
                        System.currentTimeMillis() + 60_000))
                .response()
                .onSuccess(response -> {
                    response.body()
                            .exceptionHandler(cause -> outcome.complete(
                                    ((EndpointException) cause).reason().toString()));
                    response.body().endHandler(ignored -> outcome.complete("complete: " + received));
                    response.body().handler(chunk -> {
                        received.appendBuffer(chunk);
                        hasBody.complete(null);
                    });
                    head.complete(response);
                });
        try (Socket connection = service.accept()) {
            readHead(connection);
            String lines = "HTTP/1.1 200 OK\r\n" + (header.isEmpty() ? "" : header + "\r\n") + "\r\n";
            connection.getOutputStream().write((lines + body).getBytes(StandardCharsets.US_ASCII));
            ServiceClient.Response response = head.get(WAIT_S, TimeUnit.SECONDS);
            if (!isPausedAtEnd) {
                vertx.runOnContext(ignored -> response.body().resume());
                hasBody.get(WAIT_S, TimeUnit.SECONDS);
            }
            if (end.equals("RESET")) {
                connection.setSoLinger(true, 0);
            }
        }
        ServiceClient.Response ended = head.get(WAIT_S, TimeUnit.SECONDS);
        vertx.runOnContext(ignored -> ended.body().resume());
        assertThat(outcome.get(WAIT_S, TimeUnit.SECONDS)).isEqualTo(expected);
    }

    private static void readHead(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) socket.getInputStream().read());
        }
    }
}

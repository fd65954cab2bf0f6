package io.radishwinch.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.model.Reason;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class BodyCollectorTest {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int BUDGET_BYTES = 1 << 20;
    private static final int BODY_BYTES = 700_000;
    private static final int SMALL_BODY_BYTES = 1_000;
    private static final int MAX_POLLS = 20_000;

    private final Vertx vertx = Vertx.vertx();
    private final MemoryBudget budget = new MemoryBudget(BUDGET_BYTES);
    private final BlockingQueue<Either<Refusal, Buffer>> results = new LinkedBlockingQueue<>();
    private int port;

    @BeforeEach
    void start() throws Exception {
        HttpServer server = vertx.createHttpServer()
                .requestHandler(request -> BodyCollector.collect(
                        vertx, request, MAX_BODY_BYTES, TimeUnit.HOURS.toMillis(1), budget, results::add));
        port = server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get()
                .actualPort();
    }

    @AfterEach
    void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get();
    }

    private Socket send(String head, int bodyBytes) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.getOutputStream()
                .write(("POST / HTTP/1.1\r\nHost: x\r\n" + head + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().write(new byte[bodyBytes]);
        return socket;
    }

    private Either<Refusal, Buffer> nextResult() throws InterruptedException {
        return results.poll(30, TimeUnit.SECONDS);
    }

    private void awaitUsedBytes(long expected) throws InterruptedException {
        for (int i = 0; i < MAX_POLLS && budget.usedBytes() != expected; i++) {
            Thread.sleep(1);
        }
        assertThat(budget.usedBytes()).isEqualTo(expected);
    }

    // Guards against bodies that all begin to arrive and fill the memory together, so that none of them is served.
    @Test
    void aBodyThatFitsNotBesideThoseThatArriveIsRefusedBeforeItIsRead() throws Exception {
        try (Socket first = send("Content-Length: " + BODY_BYTES, 1)) {
            awaitUsedBytes(BODY_BYTES);
            try (Socket second = send("Content-Length: " + BODY_BYTES, 0)) {
                Refusal refusal = nextResult().getLeft();
                assertThat(refusal.reason()).isEqualTo(Reason.QUEUE_FULL);
                assertThat(refusal.retryAfterMs()).isPositive();
            }
            first.getOutputStream().write(new byte[BODY_BYTES - 1]);
            assertThat(nextResult().get().length()).isEqualTo(BODY_BYTES);
        }
        assertThat(budget.usedBytes()).isEqualTo(BODY_BYTES);
    }

    // Guards against large bodies that leave no memory for small requests.
    @Test
    void aSmallBodyIsReadWhileLargeOnesUseTheirShare() throws Exception {
        try (Socket first = send("Content-Length: " + BODY_BYTES, 1)) {
            awaitUsedBytes(BODY_BYTES);
            try (Socket second = send("Content-Length: " + SMALL_BODY_BYTES, SMALL_BODY_BYTES)) {
                assertThat(nextResult().get().length()).isEqualTo(SMALL_BODY_BYTES);
            }
            try (Socket third = send("Transfer-Encoding: chunked", 0)) {
                third.getOutputStream().write("3\r\nabc\r\n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertThat(nextResult().get().toString()).isEqualTo("abc");
            }
        }
    }

    // Guards against reservations that outlive a body that never arrives, or a body without a length that is too large.
    @Test
    void theMemoryOfABodyThatIsNotReadToItsEndIsReleased() throws Exception {
        send("Content-Length: " + BODY_BYTES, 10).close();
        assertThat(nextResult().getLeft().reason()).isEqualTo(Reason.CALLER_DISCONNECTED);
        try (Socket chunked = send("Transfer-Encoding: chunked", 0)) {
            chunked.getOutputStream()
                    .write((Integer.toHexString(MAX_BODY_BYTES + 1) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            chunked.getOutputStream().write(new byte[MAX_BODY_BYTES + 1]);
            assertThat(nextResult().isLeft()).isTrue();
        }
        assertThat(budget.usedBytes()).isZero();
    }
}

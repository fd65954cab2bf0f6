package io.radishwinch.standins;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Base class of the stand-ins: an HTTP server on the loopback address with its own event loop.
 *
 * <p>The public methods of stand-ins run on that event loop and block until they have finished, so they must not be
 * called from an event loop.
 */
abstract class StandInServer implements AutoCloseable {
    static final String LOOPBACK = "127.0.0.1";
    static final int MAX_BODY_BYTES = 6 << 20;
    private static final int MAX_HELD_REQUESTS = 10_000;
    private static final long CALL_TIMEOUT_S = 20;
    private static final int MAX_CLOSE_CHECKS = 5_000;

    protected final Vertx vertx;
    private final String deploymentId;
    private final Set<HttpConnection> connections = new HashSet<>();
    private final Queue<HttpServerRequest> heldRequests = new ArrayDeque<>();
    private Context context;
    private HttpServer server;
    private Future<Void> closing = Future.succeededFuture();
    private int port;
    private boolean isPaused;

    StandInServer(Vertx vertx) {
        this.vertx = vertx;
        this.deploymentId = await(vertx.deployVerticle(new VerticleBase() {
            @Override
            public Future<?> start() {
                StandInServer.this.context = context;
                return Future.succeededFuture();
            }
        }));
    }

    /** Handles one request; called on the event loop. */
    abstract void handle(HttpServerRequest request);

    /** Discards the running work after a crash; called on the event loop. */
    void onStopped() {}

    /** Returns the TCP port, which a restart does not change. */
    public int port() {
        return port;
    }

    /** Closes all connections and stops listening; {@link #restart} starts the stand-in again. */
    public void crash() {
        run(this::crashNow);
        awaitClosed();
    }

    /** Listens again on the same port after {@link #crash}. */
    public void restart() {
        awaitClosed();
        listen(port);
    }

    /** Sets whether requests are held without a response; connections stay open. */
    public void setPaused(boolean newPaused) {
        run(() -> {
            isPaused = newPaused;
            while (!isPaused && !heldRequests.isEmpty()) {
                HttpServerRequest request = heldRequests.remove();
                request.resume();
                handle(request);
            }
            onPauseChanged();
        });
    }

    @Override
    public void close() {
        crash();
        await(vertx.undeploy(deploymentId));
    }

    final void listen(int wantedPort) {
        HttpServerOptions options = new HttpServerOptions()
                .setHost(LOOPBACK)
                .setPort(wantedPort)
                .setTcpNoDelay(true)
                .setMaxHeaderSize(16 << 10);
        Promise<HttpServer> bound = Promise.promise();
        context.runOnContext(ignored -> vertx.createHttpServer(options)
                .connectionHandler(connection -> {
                    connections.add(connection);
                    // Tests reset connections on purpose, so the error needs no handling.
                    connection.exceptionHandler(reset -> {});
                    connection.closeHandler(closed -> connections.remove(connection));
                })
                .requestHandler(this::handleOrHold)
                .listen()
                .onComplete(bound));
        HttpServer listening = await(bound.future());
        run(() -> {
            server = listening;
            port = listening.actualPort();
        });
    }

    final void crashNow() {
        if (server == null) {
            return;
        }
        HttpServer old = server;
        server = null;
        heldRequests.clear();
        onStopped();
        closing = old.close();
        dropConnections();
    }

    /**
     * Waits until the port refuses connections.
     *
     * <p>The selector closes the listening socket some time after the future has completed; until then the kernel
     * accepts connections.
     */
    private void awaitClosed() {
        await(call(() -> closing));
        for (int i = 0; i < MAX_CLOSE_CHECKS && port != 0; i++) {
            try (Socket connection = new Socket(LOOPBACK, port)) {
                connection.setSoLinger(true, 0);
                Thread.sleep(1);
            } catch (IOException refused) {
                return;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    final void dropConnections() {
        List<HttpConnection> open = new ArrayList<>(connections);
        connections.clear();
        open.forEach(HttpConnection::close);
    }

    final boolean isPaused() {
        return isPaused;
    }

    final boolean isUp() {
        return server != null;
    }

    /** Handles the start or end of a pause; called on the event loop. */
    void onPauseChanged() {}

    final Context context() {
        return context;
    }

    final void run(Runnable action) {
        call(() -> {
            action.run();
            return null;
        });
    }

    final <T> T call(Callable<T> action) {
        Promise<T> result = Promise.promise();
        context.runOnContext(ignored -> {
            try {
                result.complete(action.call());
            } catch (Exception e) {
                result.fail(e);
            }
        });
        return await(result.future());
    }

    private void handleOrHold(HttpServerRequest request) {
        if (!isUp()) {
            request.connection().close();
        } else if (!isPaused) {
            handle(request);
        } else if (heldRequests.size() < MAX_HELD_REQUESTS) {
            request.pause();
            heldRequests.add(request);
        } else {
            request.connection().close();
        }
    }

    /** Reads a request body and passes it to the consumer, or responds with 413 if it is larger than the limit. */
    static void readBody(HttpServerRequest request, int maxBytes, Consumer<Buffer> consumer) {
        Buffer body = Buffer.buffer();
        boolean[] isTooLarge = new boolean[1];
        request.handler(chunk -> {
            if (!isTooLarge[0] && body.length() + chunk.length() > maxBytes) {
                isTooLarge[0] = true;
                respondNotRun(request.response(), 413);
            } else if (!isTooLarge[0]) {
                body.appendBuffer(chunk);
            }
        });
        request.endHandler(ignored -> {
            if (!isTooLarge[0]) {
                consumer.accept(body);
            }
        });
    }

    static void respondJson(HttpServerResponse response, int status, Buffer body) {
        response.setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(body);
    }

    /** Responds with the given status and marks the request as not run. */
    static void respondNotRun(HttpServerResponse response, int status) {
        response.setStatusCode(status).putHeader("X-Not-Run", "true").end();
    }

    static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(CALL_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for a stand-in", e);
        } catch (Exception e) {
            throw new IllegalStateException("operation of a stand-in failed: " + e.getMessage(), e);
        }
    }
}

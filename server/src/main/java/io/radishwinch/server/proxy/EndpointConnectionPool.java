package io.radishwinch.server.proxy;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.engine.EndpointException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnectOptions;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Connections to endpoints, kept for further requests; used by one traffic thread.
 *
 * <p>A connection serves one request at a time. It is kept only after a whole answer, and closed once unexpected bytes
 * arrive on it.
 */
final class EndpointConnectionPool {

    /** Time to open a connection, in ms; several round trips within a region. */
    private static final int CONNECT_TIMEOUT_MS = 400;

    /** Time for which an endpoint that names none is expected to keep a connection, in ms. */
    private static final long DEFAULT_KEEP_ALIVE_MS = 1_000;

    /** Part of the endpoint's keep-alive time for which a connection is used, so that requests do not cross a close. */
    private static final double KEEP_ALIVE_SHARE = 0.6;

    private static final int MAX_HEADER_BYTES = 64 << 10;

    private final HttpClientAgent client;
    private final LongSupplier nowMs;
    private final Map<String, AddressPool> poolsByAddress = new HashMap<>();

    EndpointConnectionPool(Vertx vertx, LongSupplier nowMs) {
        this.client = vertx.createHttpClient(new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MS)
                .setTcpNoDelay(true)
                .setKeepAliveTimeout(0)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setDecompressionSupported(false));
        this.nowMs = nowMs;
    }

    /**
     * Returns a connection to an endpoint.
     *
     * @param maxOpen largest number of open connections to it
     * @param maxIdleMs longest time for which the connection may have been unused, in ms
     * @return the connection, or a failure with an {@link EndpointException} that says that nothing was sent
     */
    Future<Connection> acquire(EndpointContact contact, int maxOpen, long maxIdleMs) {
        AddressPool target = poolsByAddress.computeIfAbsent(contact.address(), key -> new AddressPool());
        Connection kept = target.takeIdle(nowMs.getAsLong(), maxIdleMs);
        if (kept != null) {
            return Future.succeededFuture(kept);
        }
        if (target.openCount >= maxOpen) {
            return Future.failedFuture(
                    notSentException(contact, Reason.ENDPOINT_REFUSED, "connection limit reached", null));
        }
        target.openCount++;
        HttpConnectOptions options =
                new HttpConnectOptions().setHost(contact.host()).setPort(contact.port());
        return client.connect(options)
                .map(opened -> new Connection(target, opened))
                .recover(cause -> {
                    target.openCount--;
                    return Future.failedFuture(notSentException(
                            contact, Reason.STAGE_DIED, "no connection: " + cause.getMessage(), cause));
                });
    }

    /** Closes connections that were unused for too long. */
    void closeExpired() {
        long now = nowMs.getAsLong();
        poolsByAddress.values().forEach(target -> target.closeExpired(now));
        poolsByAddress.values().removeIf(target -> target.openCount == 0);
    }

    private static EndpointException notSentException(
            EndpointContact contact, Reason reason, String message, Throwable cause) {
        return new EndpointException(contact.endpointId(), reason, Verdict.NOT_RUN, message, cause);
    }

    /** Connections to one address. */
    private static final class AddressPool {
        private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();
        private int openCount;

        Connection takeIdle(long nowMs, long maxIdleMs) {
            // The most recently used connection is the least likely to be closed by the endpoint meanwhile.
            Connection last = idleConnections.peekLast();
            if (last == null || nowMs >= last.usableUntilMs || nowMs - last.idleSinceMs > maxIdleMs) {
                return null;
            }
            return idleConnections.pollLast();
        }

        void closeExpired(long nowMs) {
            for (Iterator<Connection> iterator = idleConnections.iterator(); iterator.hasNext(); ) {
                Connection connection = iterator.next();
                if (nowMs >= connection.usableUntilMs) {
                    iterator.remove();
                    connection.discard();
                }
            }
        }
    }

    /** One connection. */
    final class Connection {
        private final AddressPool addressPool;
        private final HttpClientConnection http;
        private boolean isClosed;
        private long idleSinceMs;
        private long usableUntilMs;

        Connection(AddressPool target, HttpClientConnection http) {
            this.addressPool = target;
            this.http = http;
            http.closeHandler(ignored -> onClosed());
            http.exceptionHandler(ignored -> discard());
        }

        HttpClientConnection http() {
            return http;
        }

        /** Keeps the connection for further requests. */
        void release(long keepAliveMs) {
            if (!isClosed) {
                long usableMs = (long) (KEEP_ALIVE_SHARE * (keepAliveMs > 0 ? keepAliveMs : DEFAULT_KEEP_ALIVE_MS));
                idleSinceMs = nowMs.getAsLong();
                usableUntilMs = idleSinceMs + usableMs;
                addressPool.idleConnections.addLast(this);
            }
        }

        /** Closes the connection; whatever still arrives on it is dropped. */
        void discard() {
            if (!isClosed) {
                onClosed();
                http.close();
            }
        }

        private void onClosed() {
            if (!isClosed) {
                isClosed = true;
                addressPool.openCount--;
                addressPool.idleConnections.remove(this);
            }
        }
    }
}

package io.radishwinch.server.proxy;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.Failures;
import io.radishwinch.server.engine.EndpointException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;

/**
 * Pools keep-alive connections to endpoints. Confined to one traffic thread.
 *
 * <p>A connection serves one request at a time. It returns to the pool only after a complete response, and is closed if
 * unexpected bytes arrive on it.
 *
 * <p>The identifier in a response tells which request it belongs to, but not which run of it. A connection therefore
 * carries each request once, so that all responses with the identifier of a request on its connection belong to the
 * same run.
 */
final class EndpointConnectionPool {

    /** Connect timeout in ms; long enough for several round trips within a region. */
    private static final int CONNECT_TIMEOUT_MS = 400;

    /** Keep-alive time assumed for endpoints that announce none, in ms. */
    private static final long DEFAULT_KEEP_ALIVE_MS = 1_000;

    /**
     * Share of the endpoint's keep-alive time during which a pooled connection is reused; avoids sending a request
     * while the endpoint closes the connection.
     */
    private static final double KEEP_ALIVE_SHARE = 0.6;

    /** Time for which no connection to an endpoint is reused after a surplus response, in ms. */
    private static final long REUSE_SUSPENSION_MS = 30_000;

    /** Time for which an endpoint counts as repeating its responses after a surplus one, in ms. */
    private static final long SURPLUS_MEMORY_MS = 30_000;

    /** Time after its last connection for which it is remembered what an endpoint names in its responses, in ms. */
    private static final long NAMING_MEMORY_MS = 60_000;

    /** Number of requests after which a connection is closed; bounds the memory for their identifiers. */
    private static final int MAX_REQUESTS_PER_CONNECTION = 256;

    private final Vertx vertx;
    private final NetClient client;
    private final String requestIdHeader;
    private final LongSupplier clockMs;
    private final Consumer<String> onConnectFailure;
    private final Map<String, AddressPool> poolsByAddress = new HashMap<>();
    private long openedConnections;

    /**
     * Creates an empty pool.
     *
     * @param requestIdHeader name of the header in which responses name their request
     * @param onConnectFailure receives the identifiers of endpoints to which no connection could be opened
     */
    EndpointConnectionPool(
            Vertx vertx, String requestIdHeader, LongSupplier clockMs, Consumer<String> onConnectFailure) {
        this.requestIdHeader = requestIdHeader;
        this.vertx = vertx;
        this.client = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true));
        this.clockMs = clockMs;
        this.onConnectFailure = onConnectFailure;
    }

    /**
     * Returns a pooled connection to an endpoint that has not carried the request, or opens a new one.
     *
     * @param requestId identifier of the request
     * @param maxOpen maximum number of open connections to the endpoint
     * @return the connection, or a failure with an {@link EndpointException} whose verdict is {@code NOT_RUN}
     */
    Future<Connection> acquire(EndpointContact contact, String requestId, int maxOpen) {
        AddressPool pool = poolOf(contact);
        Connection pooled = pool.takeIdle(requestId, clockMs.getAsLong());
        if (pooled != null) {
            pooled.recordRequest(requestId);
            return Future.succeededFuture(pooled);
        }
        return open(contact, requestId, maxOpen);
    }

    /**
     * Opens a connection to an endpoint. No earlier request can affect the response to its first one.
     *
     * @param requestId identifier of the request
     * @param maxOpen maximum number of open connections to the endpoint
     * @return the connection, or a failure with an {@link EndpointException} whose verdict is {@code NOT_RUN}
     */
    Future<Connection> open(EndpointContact contact, String requestId, int maxOpen) {
        AddressPool pool = poolOf(contact);
        if (pool.openCount >= maxOpen && !pool.closeOldestIdle()) {
            return Future.failedFuture(
                    notSentException(contact, Reason.ENDPOINT_REFUSED, "connection limit reached", null));
        }
        pool.openCount++;
        return client.connect(contact.port(), contact.host())
                .map(socket -> {
                    Connection connection = new Connection(pool, (NetSocketInternal) socket);
                    connection.recordRequest(requestId);
                    return connection;
                })
                .recover(cause -> {
                    pool.openCount--;
                    onConnectFailure.accept(contact.endpointId());
                    return Future.failedFuture(notSentException(
                            contact, Reason.STAGE_DIED, "connect failed: " + Failures.describe(cause), cause));
                });
    }

    private AddressPool poolOf(EndpointContact contact) {
        return poolsByAddress.computeIfAbsent(contact.address(), key -> new AddressPool());
    }

    /**
     * Closes the idle connections to an endpoint that has sent a surplus response, and reuses none for some time. The
     * copies that it owes to other connections are then never sent.
     */
    void suspendReuse(EndpointContact contact) {
        AddressPool pool = poolOf(contact);
        pool.reusableFromMs = clockMs.getAsLong() + REUSE_SUSPENSION_MS;
        boolean hasIdle = true;
        while (hasIdle) {
            hasIdle = pool.closeOldestIdle();
        }
    }

    /**
     * Returns whether a response can be attributed to the request of its connection. An endpoint that names the request
     * in its refusals, or in its other responses, does so in each of them: one that names none may be a late copy.
     *
     * @param isRefusal whether the response states that the request has not run
     */
    boolean isAttributable(EndpointContact contact, boolean isRefusal, boolean namesRequest) {
        AddressPool pool = poolOf(contact);
        pool.forgettableFromMs = clockMs.getAsLong() + NAMING_MEMORY_MS;
        return pool.namingOf(contact.endpointId()).isAttributable(isRefusal, namesRequest);
    }

    /** Returns whether an endpoint has lately sent a response to another request, so that others may be late copies. */
    boolean mayRepeatResponses(EndpointContact contact) {
        return clockMs.getAsLong() < poolOf(contact).repeatsUntilMs;
    }

    /** Closes the idle connections whose reuse time has expired. */
    void closeExpired() {
        long now = clockMs.getAsLong();
        poolsByAddress.values().forEach(pool -> pool.closeExpired(now));
        poolsByAddress.values().removeIf(pool -> pool.isForgettable(now));
    }

    private static EndpointException notSentException(
            EndpointContact contact, Reason reason, String message, Throwable cause) {
        return new EndpointException(contact.endpointId(), reason, Verdict.NOT_RUN, message, cause);
    }

    /** Pool of the connections to one address. */
    private static final class AddressPool {
        private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();
        private ResponseNaming naming = new ResponseNaming("");
        private int openCount;
        private long reusableFromMs;
        private long forgettableFromMs;
        private long repeatsUntilMs;

        private boolean isForgettable(long nowMs) {
            return openCount == 0 && nowMs >= Math.max(reusableFromMs, Math.max(forgettableFromMs, repeatsUntilMs));
        }

        private ResponseNaming namingOf(String endpointId) {
            if (!naming.endpointId.equals(endpointId)) {
                naming = new ResponseNaming(endpointId);
            }
            return naming;
        }

        /** Removes and returns the most recently used connection that is suitable, or returns null. */
        Connection takeIdle(String requestId, long nowMs) {
            // The most recently used connection is the least likely to have been closed by the endpoint.
            for (Iterator<Connection> iterator = idleConnections.descendingIterator(); iterator.hasNext(); ) {
                Connection connection = iterator.next();
                if (connection.http.isClosed()) {
                    // The connection removes itself when its close is reported to it.
                    continue;
                }
                if (nowMs < connection.usableUntilMs && !connection.hasCarried(requestId)) {
                    iterator.remove();
                    return connection;
                }
            }
            return null;
        }

        /** Closes the connection that has been idle for longest. Returns false if there is none. */
        boolean closeOldestIdle() {
            Connection oldest = idleConnections.pollFirst();
            if (oldest != null) {
                oldest.discard();
            }
            return oldest != null;
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

    /** In which responses an endpoint names their request. */
    private static final class ResponseNaming {
        private final String endpointId;
        private boolean namesRefusals;
        private boolean namesOtherResponses;

        ResponseNaming(String endpointId) {
            this.endpointId = endpointId;
        }

        boolean isAttributable(boolean isRefusal, boolean namesRequest) {
            if (isRefusal) {
                namesRefusals |= namesRequest;
                return namesRequest || !namesRefusals;
            }
            namesOtherResponses |= namesRequest;
            return namesRequest || !namesOtherResponses;
        }
    }

    /** A connection that is in use or idle in the pool. */
    final class Connection {
        private final AddressPool addressPool;
        private final EndpointConnection http;
        private final long id = ++openedConnections;
        private final int[] requestIdHashes = new int[MAX_REQUESTS_PER_CONNECTION];
        private int requestCount;
        private long usableUntilMs;

        Connection(AddressPool pool, NetSocketInternal socket) {
            this.addressPool = pool;
            this.http = new EndpointConnection(vertx, socket, requestIdHeader, this::onSurplus, this::onClosed);
        }

        EndpointConnection http() {
            return http;
        }

        /** Returns the number of this connection among those that this pool has opened, from 1. */
        long id() {
            return id;
        }

        /** Returns the number of requests for which the connection was acquired. */
        int requestCount() {
            return requestCount;
        }

        private void recordRequest(String requestId) {
            requestIdHashes[requestCount++] = requestId.hashCode();
        }

        /** Returns whether the connection may have carried a request; equal hashes count as equal identifiers. */
        private boolean hasCarried(String requestId) {
            int hash = requestId.hashCode();
            return IntStream.range(0, requestCount).anyMatch(i -> requestIdHashes[i] == hash);
        }

        /**
         * Returns the connection to the pool, or closes it after its last request, while reuse is suspended, and if
         * bytes follow the response.
         *
         * @param keepAliveMs keep-alive time that the endpoint announced, in ms, or 0 if it announced none
         */
        void release(long keepAliveMs) {
            long nowMs = clockMs.getAsLong();
            if (!http.isClosed() && !http.isIdle()) {
                http.closeBecauseOfSurplusBytes();
            } else if (http.isClosed()
                    || requestCount == MAX_REQUESTS_PER_CONNECTION
                    || nowMs < addressPool.reusableFromMs) {
                discard();
            } else {
                long usableMs = (long) (KEEP_ALIVE_SHARE * (keepAliveMs > 0 ? keepAliveMs : DEFAULT_KEEP_ALIVE_MS));
                usableUntilMs = nowMs + usableMs;
                addressPool.idleConnections.addLast(this);
            }
        }

        /** Closes the connection and drops any bytes that still arrive on it. */
        void discard() {
            http.close();
        }

        private void onSurplus() {
            addressPool.repeatsUntilMs = clockMs.getAsLong() + SURPLUS_MEMORY_MS;
        }

        private void onClosed() {
            addressPool.openCount--;
            addressPool.idleConnections.remove(this);
        }
    }
}

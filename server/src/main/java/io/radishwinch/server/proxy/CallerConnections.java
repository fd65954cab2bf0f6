package io.radishwinch.server.proxy;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Tracks the connections of callers and the number of active requests on each. Confined to one traffic thread. */
final class CallerConnections {

    private final Map<HttpConnection, Integer> activeRequestCounts = new HashMap<>();
    private final Set<HttpConnection> idleSinceDrainStart = new HashSet<>();
    private boolean isShuttingDown;

    void connectionOpened(HttpConnection connection) {
        if (isShuttingDown) {
            // Accepted before the listener was closed; none of its requests has been read.
            connection.close();
            return;
        }
        activeRequestCounts.put(connection, 0);
        connection.closeHandler(ignored -> {
            activeRequestCounts.remove(connection);
            idleSinceDrainStart.remove(connection);
        });
    }

    void requestStarted(HttpServerRequest request) {
        HttpConnection connection = request.connection();
        idleSinceDrainStart.remove(connection);
        activeRequestCounts.computeIfPresent(connection, (key, count) -> count + 1);
        request.response()
                .endHandler(ignored ->
                        activeRequestCounts.computeIfPresent(connection, (key, count) -> Math.max(0, count - 1)));
    }

    /** Returns the number of open connections. */
    int count() {
        return activeRequestCounts.size();
    }

    /** Records the connections that have no active request. */
    void startDrain() {
        activeRequestCounts.forEach((connection, count) -> {
            if (count == 0) {
                idleSinceDrainStart.add(connection);
            }
        });
    }

    /**
     * Closes the connections that have been idle since {@link #startDrain}, so that their callers reconnect to another
     * router. All other connections close after their next response, because closing them earlier could truncate it.
     */
    void closeIdle() {
        List.copyOf(idleSinceDrainStart).forEach(HttpConnection::close);
    }

    /** Closes each connection that opens from now on, before a request is read from it. */
    void startShutdown() {
        isShuttingDown = true;
    }
}

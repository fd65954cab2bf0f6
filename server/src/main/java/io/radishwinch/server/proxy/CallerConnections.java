package io.radishwinch.server.proxy;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/** Tracks the connections of callers and the number of active requests on each. Confined to one traffic thread. */
final class CallerConnections {

    private final LongSupplier clockMs;
    private final Map<HttpConnection, Activity> activities = new HashMap<>();
    private final Set<HttpConnection> idleSinceDrainStart = new HashSet<>();
    private boolean isShuttingDown;

    /**
     * Use of a connection.
     *
     * @param requests active requests
     * @param changedAtMs when their number last changed
     */
    private record Activity(int requests, long changedAtMs) {

        boolean isIdle() {
            return requests == 0;
        }
    }

    CallerConnections(LongSupplier clockMs) {
        this.clockMs = clockMs;
    }

    void connectionOpened(HttpConnection connection) {
        if (isShuttingDown) {
            // Accepted before the listener was closed; none of its requests has been read.
            connection.close();
            return;
        }
        activities.put(connection, new Activity(0, clockMs.getAsLong()));
        connection.closeHandler(ignored -> {
            activities.remove(connection);
            idleSinceDrainStart.remove(connection);
        });
    }

    void requestStarted(HttpServerRequest request) {
        HttpConnection connection = request.connection();
        idleSinceDrainStart.remove(connection);
        addRequests(connection, 1);
        request.response().endHandler(ignored -> addRequests(connection, -1));
    }

    private void addRequests(HttpConnection connection, int change) {
        activities.computeIfPresent(
                connection,
                (key, activity) -> new Activity(Math.max(0, activity.requests + change), clockMs.getAsLong()));
    }

    /** Returns the number of open connections. */
    int count() {
        return activities.size();
    }

    /** Closes the connections that have carried no request since a time. */
    void closeUnusedSince(long timeMs) {
        List<HttpConnection> unused = activities.entrySet().stream()
                .filter(entry -> entry.getValue().isIdle() && entry.getValue().changedAtMs <= timeMs)
                .map(Map.Entry::getKey)
                .toList();
        unused.forEach(HttpConnection::close);
    }

    /** Records the connections that have no active request. */
    void startDrain() {
        activities.forEach((connection, activity) -> {
            if (activity.isIdle()) {
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

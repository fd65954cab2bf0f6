package io.radishwinch.server.route;

import io.radishwinch.core.model.Rank;
import java.util.List;

/**
 * Route of the requests of one host under one path prefix.
 *
 * @param name name of the route
 * @param host host name that callers address
 * @param pathPrefix prefix of the path; starts and ends with a slash
 * @param kind kind of the route, which determines whether requests may be repeated
 * @param timeoutMs maximum time from arrival to the end of the response, in ms
 * @param targetMs target time for the response, or for the first event of a stream, in ms
 * @param maxPauseMs target for the longest pause between events of a stream, in ms, or 0 for other kinds
 * @param rank rank of requests whose caller has no rank configured
 * @param backends pools that serve the route
 * @param maxRuns maximum number of endpoints that may run one request
 * @param isPublic whether requests are accepted without a key
 * @param isResumable whether another endpoint may resume a stream
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMs,
        long targetMs,
        long maxPauseMs,
        Rank rank,
        List<Backend> backends,
        int maxRuns,
        boolean isPublic,
        boolean isResumable) {

    /** Creates a route with an immutable copy of the backends. */
    public Route {
        backends = List.copyOf(backends);
    }

    /** Returns whether a request may be retried after an attempt that may have run. */
    public boolean isRepeatable() {
        return kind == RouteKind.REPEATABLE || kind == RouteKind.STREAM && isResumable;
    }

    /**
     * Returns the pool for a request, selected by weight.
     *
     * @param hash hash of the request; equal hashes select the same pool
     */
    public String poolFor(int hash) {
        int totalWeight = 0;
        for (Backend backend : backends) {
            totalWeight += backend.weight();
        }
        int point = totalWeight == 0 ? 0 : Math.floorMod(hash, totalWeight);
        for (Backend backend : backends) {
            point -= backend.weight();
            if (point < 0) {
                return backend.pool();
            }
        }
        return backends.get(0).pool();
    }

    /** Returns a copy of this route that accepts requests without a key. */
    public Route asPublic() {
        return new Route(
                name,
                host,
                pathPrefix,
                kind,
                timeoutMs,
                targetMs,
                maxPauseMs,
                rank,
                backends,
                maxRuns,
                true,
                isResumable);
    }
}

package io.radishwinch.server.route;

import io.radishwinch.core.model.Rank;
import java.util.List;

/**
 * How requests under a path prefix are served.
 *
 * @param name name
 * @param host host that callers address
 * @param pathPrefix prefix of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMs longest time from arrival to the end of the answer, in ms
 * @param targetMs time within which an answer, or the first event of a stream, is on time, in ms
 * @param maxPauseMs longest pause between the events of a stream that is on time, in ms, or 0 for other kinds
 * @param rank urgency of requests whose caller has none of its own
 * @param backends pools that serve the route
 * @param maxRuns endpoints that may run one request
 * @param isPublic whether requests need no key
 * @param isResumable whether a stream may be continued by another endpoint
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

    /** Copies the list. */
    public Route {
        backends = List.copyOf(backends);
    }

    /** Returns whether a request may be sent again after it may have run. */
    public boolean isRepeatable() {
        return kind == RouteKind.REPEATABLE || kind == RouteKind.STREAM && isResumable;
    }

    /**
     * Returns the pool for a request.
     *
     * @param hash hash of the request, by which the weights divide the requests
     */
    public String poolFor(int hash) {
        int total = 0;
        for (Backend backend : backends) {
            total += backend.weight();
        }
        int point = total == 0 ? 0 : Math.floorMod(hash, total);
        for (Backend backend : backends) {
            point -= backend.weight();
            if (point < 0) {
                return backend.pool();
            }
        }
        return backends.get(0).pool();
    }

    /** Returns a copy whose requests need no key. */
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

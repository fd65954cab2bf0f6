package io.radishwinch.server.route;

/** Kind of a route: response type and whether requests may be repeated. */
public enum RouteKind {
    /** Requests may run more than once. */
    REPEATABLE,
    /** A request runs at most once. */
    AT_MOST_ONCE,
    /** The response is a stream of events. */
    STREAM
}

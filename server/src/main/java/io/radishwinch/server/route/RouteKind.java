package io.radishwinch.server.route;

/** What may be repeated on a route. */
public enum RouteKind {
    /** Requests may run more than once. */
    REPEATABLE,
    /** A request runs at most once. */
    AT_MOST_ONCE,
    /** The answer is a stream of events. */
    STREAM
}

package io.radishwinch.server.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request by its host and the longest matching path prefix. */
public final class RouteTable {

    private final Map<String, Map<String, Route>> byHost = new HashMap<>();
    private final List<Route> routes;

    /** Creates a table of the given routes. */
    public RouteTable(Collection<Route> routes) {
        this.routes = List.copyOf(routes);
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), key -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
    }

    /** Returns all routes, ordered by name. */
    public List<Route> routes() {
        List<Route> sorted = new ArrayList<>(routes);
        sorted.sort(Comparator.comparing(Route::name));
        return sorted;
    }

    /**
     * Returns the route of a request, or empty if no route matches.
     *
     * @param host value of the Host header, with or without a port
     * @param path path of the request, without the query
     */
    public Optional<Route> find(String host, String path) {
        Map<String, Route> byPrefix = byHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
        if (byPrefix == null) {
            return Optional.empty();
        }
        // Route prefixes end with a slash, so only path prefixes that end with a slash can match.
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            Route route = byPrefix.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host;
    }
}

package io.radishwinch.server.http;

import io.radishwinch.server.engine.EndToEndHeaders;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Filters the headers that are passed between callers and plain services. */
final class ServiceHeaders {
    /** Headers that the HTTP client and server set. */
    private static final Set<String> SET_BY_TRANSPORT = Set.of("host", "content-length", "expect");

    private static final String INTERNAL_PREFIX = "x-radishwinch-";

    private ServiceHeaders() {}

    /** Returns the headers of the request to the service, without the caller's bearer key and internal headers. */
    static MultiMap forService(MultiMap headers, String requestId) {
        MultiMap copy = EndToEndHeaders.copy(headers, SET_BY_TRANSPORT);
        copy.remove("Authorization");
        for (String name : List.copyOf(copy.names())) {
            if (name.toLowerCase(Locale.ROOT).startsWith(INTERNAL_PREFIX)) {
                copy.remove(name);
            }
        }
        copy.set("X-Request-Id", requestId);
        return copy;
    }

    /** Copies the headers of the service's response to the response for the caller. */
    static void copyToCaller(MultiMap from, MultiMap to) {
        to.addAll(EndToEndHeaders.copy(from, SET_BY_TRANSPORT));
        to.remove(HttpHeaders.CONTENT_LENGTH);
    }
}

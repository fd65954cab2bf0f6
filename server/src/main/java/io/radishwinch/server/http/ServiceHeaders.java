package io.radishwinch.server.http;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Headers that pass between callers and plain services. */
final class ServiceHeaders {
    /** Headers of one connection only (RFC 9110 section 7.6.1), and those that the HTTP client sets itself. */
    private static final Set<String> CONNECTION_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "host",
            "content-length",
            "expect");

    private ServiceHeaders() {}

    /** Returns the headers for the service; the caller's bearer key stays in the router. */
    static MultiMap towardsService(MultiMap headers, String requestId) {
        MultiMap copy = MultiMap.caseInsensitiveMultiMap();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean internal = name.startsWith("x-radishwinch-") || name.equals("authorization");
            if (!internal && !CONNECTION_HEADERS.contains(name)) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        copy.set("X-Request-Id", requestId);
        return copy;
    }

    /** Copies the headers of an answer. */
    static void towardsCaller(MultiMap from, MultiMap to) {
        for (Map.Entry<String, String> header : from) {
            if (!CONNECTION_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                to.add(header.getKey(), header.getValue());
            }
        }
        to.remove(HttpHeaders.CONTENT_LENGTH);
    }
}

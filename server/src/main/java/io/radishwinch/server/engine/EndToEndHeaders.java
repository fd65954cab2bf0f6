package io.radishwinch.server.engine;

import io.vertx.core.MultiMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Copies headers that concern more than one connection. */
public final class EndToEndHeaders {

    /** Headers of one connection, RFC 9110 section 7.6.1, in lower case. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private EndToEndHeaders() {}

    /**
     * Returns a copy without the headers of one connection, those that the Connection header lists, and others.
     *
     * @param without further names to leave out, in lower case
     */
    public static MultiMap copy(MultiMap headers, Set<String> without) {
        Set<String> listed = new HashSet<>();
        for (String value : headers.getAll("Connection")) {
            for (String name : value.split(",", -1)) {
                listed.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        MultiMap copy = MultiMap.caseInsensitiveMultiMap();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !listed.contains(name) && !without.contains(name)) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }
}

package io.radishwinch.server.engine;

import io.vertx.core.MultiMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Copies end-to-end headers and leaves out hop-by-hop headers. */
public final class EndToEndHeaders {

    /** Names of hop-by-hop headers in lower case, RFC 9110 section 7.6.1. */
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
     * Returns a copy without hop-by-hop headers, headers listed in the Connection header, and the given ones.
     *
     * @param excluded names of further headers to leave out, in lower case
     */
    public static MultiMap copy(MultiMap headers, Set<String> excluded) {
        Set<String> listed = new HashSet<>();
        for (String value : headers.getAll("Connection")) {
            for (String name : value.split(",", -1)) {
                listed.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        MultiMap copy = MultiMap.caseInsensitiveMultiMap();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !listed.contains(name) && !excluded.contains(name)) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }
}

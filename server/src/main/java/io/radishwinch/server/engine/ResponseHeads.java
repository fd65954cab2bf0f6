package io.radishwinch.server.engine;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Detects response heads that begin with bytes of another response.
 *
 * <p>If bytes that form no whole line precede a response, an HTTP decoder reads its status line as their continuation,
 * and the response gets the status of the bytes. Its own status line is then inside the reason phrase or a header.
 */
public final class ResponseHeads {

    /** Beginning of a response, which no single line of a response head contains. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}");

    private ResponseHeads() {}

    /**
     * Returns whether a second response begins inside a head, so that its status and its headers are not those of the
     * response.
     */
    public static boolean containsStatusLine(String reasonPhrase, Iterable<Map.Entry<String, String>> headers) {
        if (STATUS_LINE.matcher(reasonPhrase).find()) {
            return true;
        }
        for (Map.Entry<String, String> header : headers) {
            if (STATUS_LINE.matcher(header.getValue()).find()) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a second response begins inside the head of a response. */
    static boolean containsStatusLine(HttpClientResponse response) {
        return containsStatusLine(response.statusMessage(), response.headers());
    }

    /** Returns the response to a request, or a failure if a second response begins inside its head. */
    public static Future<HttpClientResponse> responseTo(HttpClientRequest request) {
        return request.response()
                .compose(response -> containsStatusLine(response)
                        ? Future.failedFuture("response follows bytes that belong to none")
                        : Future.succeededFuture(response));
    }
}
